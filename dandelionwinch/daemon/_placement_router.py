"""Sends placement requests to the placement owner of the data centre."""

from dandelionwinch.daemon import _wire
from dandelionwinch.peers import peer_pb2
from dandelionwinch import placement

PLACE_TIMEOUT_S = 0.25
# Jobs are placed locally for this long after the owner failed to reply.
OWNER_BACKOFF_S = 2.0
# Largest number of excluded upstreams in a request to the owner.
MAX_EXCLUDED = 32


class PlacementRouter:
    """Places jobs locally or through the placement owner.

    The owner of a data centre and model places the jobs of all instances
    there, so its load estimates include every job that was sent to the
    upstreams nearby. This only improves the placement: without a reply
    from the owner the job is placed locally.
    """

    def __init__(self, core):
        self._core = core
        self._backoff_until = {}

    async def choose(self, query):
        """Chooses the upstreams of a job.

        Args:
            query: A placement.Query.

        Returns:
            A placement.Choice or placement.Refusal.
        """
        core = self._core
        owner = self._remote_owner(query.model)
        if owner is None:
            return core.scheduler.place_locally(query)
        reply = await core.peers.call(
            owner.member.peer_address,
            'Place',
            self._request(query),
            PLACE_TIMEOUT_S,
        )
        if reply is None:
            self._backoff_until[owner.name] = core.now() + OWNER_BACKOFF_S
            core.event('decider.silent', owner.name)
            return core.scheduler.place_locally(query)
        choice = _wire.load_choice(reply)
        if isinstance(choice, placement.Refusal):
            return choice
        if self._accepts_jobs(choice):
            return choice
        return core.scheduler.place_locally(query)

    def _remote_owner(self, model):
        """Returns the owner, or None to place the job locally."""
        core = self._core
        now = core.now()
        nearby = {
            peer.name: peer
            for peer in core.members.usable(now)
            if peer.member.data_centre == core.data_centre
        }
        if not nearby:
            return None
        name = placement.choose_owner(nearby, core.data_centre, model)
        if name == core.name or self._backoff_until.get(name, now) > now:
            return None
        return nearby[name]

    def _request(self, query):
        core = self._core
        ejected = core.scheduler.estimates.ejected(core.now())
        held = core.load_reports.held()
        excluded = sorted(query.exclude | held | set(ejected))
        return peer_pb2.PlaceRequest(
            model=query.model,
            prompt_tokens=query.prompt_tokens,
            output_tokens=query.output_tokens,
            prefix=query.prefix,
            exclude=excluded[:MAX_EXCLUDED],
        )

    def _accepts_jobs(self, choice):
        """Tells whether the upstreams of the owner's choice accept jobs.

        A hold that came while the owner chose was confirmed without this
        job, and the owner may have an older configuration.
        """
        names = {choice.prefill, choice.decode} - {''}
        return all(map(self._core.scheduler.accepts_jobs, names))

    def handle(self, request):
        """Places a job for a peer and returns the PlaceReply."""
        query = placement.Query(
            request.model,
            request.prompt_tokens,
            request.output_tokens,
            request.prefix,
            frozenset(request.exclude),
        )
        return _wire.dump_choice(self._core.scheduler.place_locally(query))

"""Asks the usual decider of the data centre where a job runs."""

from dandelionwinch.daemon import _wire
from dandelionwinch.peers import peer_pb2
from dandelionwinch import placement

PLACE_TIMEOUT_S = 0.25
# How long a decider that did not answer is left alone.
OWNER_BACKOFF_S = 2.0
MAX_EXCLUDED = 32


class PlacementRouter:
    """Places jobs here or at the usual decider.

    The decider knows all that was sent to the upstreams near it. It is
    asked for quality only: without its answer the job is placed here.
    """

    def __init__(self, core):
        self._core = core
        self._backoff_until = {}

    async def choose(self, query):
        """Returns the placement.Choice or Refusal for a job."""
        core = self._core
        owner = self._remote_owner(query.model)
        if owner is None:
            return core.scheduler.choose(query)
        reply = await core.peers.call(
            owner.member.peer_address,
            'Place',
            self._request(query),
            PLACE_TIMEOUT_S,
        )
        if reply is None:
            self._backoff_until[owner.name] = core.now() + OWNER_BACKOFF_S
            core.event('decider.silent', owner.name)
            return core.scheduler.choose(query)
        choice = _wire.load_choice(reply)
        if isinstance(choice, placement.Refusal) or self._is_configured(
            choice
        ):
            return choice
        return core.scheduler.choose(query)

    def _remote_owner(self, model):
        """Returns the decider, None if that is this instance."""
        core = self._core
        now = core.now()
        near = {
            known.name: known
            for known in core.members.usable(now)
            if known.member.data_centre == core.data_centre
        }
        if not near:
            return None
        name = placement.usual_decider(near, core.data_centre, model)
        if name == core.name or self._backoff_until.get(name, now) > now:
            return None
        return near[name]

    def _request(self, query):
        quarantined = self._core.scheduler.estimates.quarantined(
            self._core.now()
        )
        excluded = sorted(query.exclude | set(quarantined))
        return peer_pb2.PlaceRequest(
            model=query.model,
            prompt_tokens=query.prompt_tokens,
            output_tokens=query.output_tokens,
            prefix=query.prefix,
            exclude=excluded[:MAX_EXCLUDED],
        )

    def _is_configured(self, choice):
        names = {choice.prefill, choice.decode} - {''}
        catalog = self._core.catalog
        return all(catalog.get('upstream', name) for name in names)

    def handle(self, request):
        """Answers a peer that asks where a job runs."""
        query = placement.Query(
            request.model,
            request.prompt_tokens,
            request.output_tokens,
            request.prefix,
            frozenset(request.exclude),
        )
        return _wire.dump_choice(self._core.scheduler.choose(query))

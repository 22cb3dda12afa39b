"""A simulated instance that replicates the configuration."""

import attrs

from dandelionwinch import membership
from dandelionwinch import revisions
from dandelionwinch.search import _simulation
from dandelionwinch import settings

POLL_INTERVAL_S = 1.0


@attrs.define
class Peer:
    """A simulated instance that replicates the configuration.

    Attributes:
        polled_at: When it last read the store, by its own clock.
        requested_ids: Ids of members to request from each peer, by address.
    """

    scenario: object
    process: _simulation.Process
    data_centre: str
    members: membership.Membership
    freshness: membership.Freshness
    departures: membership.Departures
    timing: settings.TimingSettings
    documents: revisions.Documents = attrs.field(factory=revisions.Documents)
    store_revision: int = 0
    polled_at: float = float('-inf')
    requested_ids: dict = attrs.field(factory=dict)

    def start(self):
        """Starts the periodic steps."""
        self.process.call_later(0, self._gossip)
        self.process.call_later(0.1, self._poll)

    def now(self):
        """Returns the time of the process's monotonic clock."""
        return self.process.now()

    def admits(self):
        """Returns whether the instance admits new work now."""
        now = self.now()
        data_centres = membership.populated_data_centres(self.remaining())
        return (
            self.documents.revision > 0
            and not self.members.was_paused(now)
            and not self.freshness.is_cut_off(data_centres, now)
        )

    def remaining(self):
        """Returns the known instances that are not certainly gone."""
        return self.departures.remaining(
            self.members.all_instances(), self.now()
        )

    def _gossip(self):
        self.process.call_later(self.timing.beat_s, self._gossip)
        now = self.now()
        listed = self.scenario.listed()
        self.members.merge_list(listed)
        self.departures.list_read(item.name for item in listed)
        self.members.local.revision = self.documents.revision
        for address in self.members.tick(now):
            self.exchange(address)

    def exchange(self, address):
        """Exchanges digests with a peer."""
        requested_at = self.now()
        data_centre = self.members.data_centre_at(address)
        digest = self._digest(address, data_centre)

        def replied(reply):
            if reply is not None:
                self._merge(address, reply)
                self._update_freshness(requested_at, address, reply)

        self.scenario.call(self, address, digest, replied)

    def _update_freshness(self, requested_at, address, reply):
        if reply.revision <= self.documents.revision:
            self.freshness.merge_ages(
                reply.sender.data_centre, requested_at, reply
            )
        else:
            self.scenario.pull(self, address)

    def _digest(self, key, data_centre):
        now = self.now()
        digest = self.members.digest(now, data_centre, key)
        digest.asked.extend(self.requested_ids.pop(key, ()))
        digest.revision = self.documents.revision
        self.freshness.add_ages(digest, now)
        return digest

    def _merge(self, key, digest):
        self.requested_ids[key] = self.members.merge(digest, self.now())

    def respond(self, digest):
        """Merges a peer's digest and returns the reply."""
        key = digest.sender.peer_address
        self._merge(key, digest)
        if digest.revision > self.documents.revision:
            self.scenario.pull(self, key)
        return self._digest(key, digest.sender.data_centre)

    def _poll(self):
        self.process.call_later(POLL_INTERVAL_S, self._poll)
        now = self.now()
        is_delegate = self.members.local in self.members.delegates(
            self.data_centre, now
        )
        if is_delegate or now - self.polled_at > 30.0:
            self.fetch()

    def fetch(self):
        """Reads the newest configuration from the store."""
        requested_at = self.now()
        self.polled_at = requested_at
        program = revisions.fetch(self.store_revision)

        def fetched(result):
            if isinstance(result, revisions.Fetched):
                self.store_revision = result.store_revision
                self.freshness.store_read(requested_at)
                self.adopt(result.revision, result.documents)

        self.process.run(program, fetched)

    def adopt(self, revision, documents):
        """Adopts a higher revision and sends it to all live peers."""
        if not self.documents.adopt(revision, documents):
            return
        self.members.local.revision = self.documents.revision
        self.members.tick(self.now())
        for peer in self.members.live(self.now()):
            if peer is not self.members.local:
                self.exchange(peer.member.peer_address)

    def handle(self, _process, request, _reply):
        """Rejects a request that is not for the store."""
        raise TypeError(f'"{request!r}" is not a store request')


class PartitionedStore(_simulation.FaultyStore):
    """The shared store as seen by a process that may be cut off from it."""

    def __init__(self, sim, shared, scenario, name):
        super().__init__(sim)
        self._memory = shared._memory
        self._shared = shared
        self._scenario = scenario
        self._name = name

    def submit(self, request, reply):
        """Executes a request unless the store is down or unreachable."""
        self.down_until = self._shared.down_until
        if self._name in self._scenario.without_store:
            self.down_until = self._sim.now + 1
        super().submit(request, reply)

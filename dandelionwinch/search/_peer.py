"""One instance's part in keeping the configuration, for the search."""

import attrs

from dandelionwinch import membership
from dandelionwinch import revisions
from dandelionwinch.search import _world
from dandelionwinch import settings

POLL_S = 1.0


@attrs.define
class Peer:
    """One instance's part in keeping the configuration."""

    search: object
    process: _world.Process
    data_centre: str
    members: membership.Membership
    freshness: membership.Freshness
    departures: membership.Departures
    timing: settings.TimingSettings
    documents: revisions.Documents = attrs.field(factory=revisions.Documents)
    store_revision: int = 0
    polled_at: float = float('-inf')
    asked: dict = attrs.field(factory=dict)

    def start(self):
        """Starts the periodic steps."""
        self.process.soon(0, self._beat)
        self.process.soon(0.1, self._poll)

    def now(self):
        """Returns the process's monotonic clock."""
        return self.process.now()

    def admits(self):
        """Tells whether the instance takes new work at this moment."""
        now = self.now()
        data_centres = membership.populated_data_centres(self.remaining())
        return (
            self.documents.revision > 0
            and not self.members.is_suspect(now)
            and not self.freshness.is_cut_off(data_centres, now)
        )

    def remaining(self):
        """Returns known instances that are not certainly gone."""
        return self.departures.remaining(
            self.members.all_instances(), self.now()
        )

    def _beat(self):
        self.process.soon(self.timing.beat_s, self._beat)
        now = self.now()
        lines = self.search.listed()
        self.members.merge_list(lines)
        self.departures.list_read(line.name for line in lines)
        self.members.local.revision = self.documents.revision
        for address in self.members.tick(now):
            self.exchange(address)

    def exchange(self, address):
        """Exchanges digests with a peer."""
        asked_at = self.now()
        data_centre = self.members.data_centre_at(address)
        digest = self._digest(address, data_centre)

        def replied(reply):
            if reply is not None:
                self._take(address, reply)
                self._note(asked_at, address, reply)

        self.search.call(self, address, digest, replied)

    def _note(self, asked_at, address, reply):
        if reply.revision <= self.documents.revision:
            self.freshness.merge_ages(
                reply.sender.data_centre, asked_at, reply
            )
        else:
            self.search.pull(self, address)

    def _digest(self, key, data_centre):
        now = self.now()
        digest = self.members.digest(now, data_centre)
        digest.asked.extend(self.asked.pop(key, ()))
        digest.revision = self.documents.revision
        self.freshness.add_ages(digest, now)
        return digest

    def _take(self, key, digest):
        self.asked[key] = self.members.merge(digest, self.now())

    def answer(self, digest):
        """Answers a peer's digest."""
        key = digest.sender.peer_address
        self._take(key, digest)
        if digest.revision > self.documents.revision:
            self.search.pull(self, key)
        return self._digest(key, digest.sender.data_centre)

    def _poll(self):
        self.process.soon(POLL_S, self._poll)
        now = self.now()
        speaks = self.members.local in self.members.delegates(
            self.data_centre, now
        )
        if speaks or now - self.polled_at > 30.0:
            self.fetch()

    def fetch(self):
        """Reads the newest configuration from the store."""
        asked_at = self.now()
        self.polled_at = asked_at
        program = revisions.fetch(self.store_revision)

        def fetched(result):
            if isinstance(result, revisions.Fetched):
                self.store_revision = result.store_revision
                self.freshness.store_read(asked_at)
                self.adopt(result.revision, result.documents)

        self.process.run(program, fetched)

    def adopt(self, revision, documents):
        """Takes over a higher revision and tells all peers."""
        if not self.documents.adopt(revision, documents):
            return
        self.members.local.revision = self.documents.revision
        self.members.tick(self.now())
        for known in self.members.live(self.now()):
            if known is not self.members.local:
                self.exchange(known.member.peer_address)

    def handle(self, _process, request, _reply):
        """No other requests are made here."""
        raise TypeError(f'"{request!r}" is not a store request')


class GatedStore(_world.FaultyStore):
    """The store as one process reaches it."""

    def __init__(self, world, shared, search, name):
        super().__init__(world)
        self._memory = shared._memory
        self._shared = shared
        self._search = search
        self._name = name

    def submit(self, request, reply):
        """Runs a request if store and network let it through."""
        self.down_until = self._shared.down_until
        if self._name in self._search.storeless:
            self.down_until = self._world.now + 1
        super().submit(request, reply)

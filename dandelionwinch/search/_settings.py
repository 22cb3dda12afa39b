"""Searches for instances that serve under an old configuration."""

import math

from dandelionwinch.adapters import endpointslices
from dandelionwinch import effects
from dandelionwinch import membership
from dandelionwinch.peers import peer_pb2
from dandelionwinch import revisions
from dandelionwinch.search import _peer
from dandelionwinch.search import _world
from dandelionwinch import settings

DATA_CENTRES = ('Ndaragwa', 'Nanyuki', 'Naromoru')
INSTANCES_PER_DATA_CENTRE = 2
RUN_S = 300.0
FAULTS_UNTIL_S = 200.0
CHECK_S = 0.25
COMMAND_TIMEOUT_S = 20.0
RPC_TIMEOUT_S = 1.0
LIST_LAG_S = 5.0


class _Search:
    """One seeded run of changes under partitions and outages."""

    def __init__(self, seed):
        self.world = _world.World(seed, FAULTS_UNTIL_S)
        self.store = _world.FaultyStore(self.world)
        self.platform = _world.PlatformList(self.world, LIST_LAG_S)
        self.timing = settings.TimingSettings()
        self.peers = {}
        self.storeless = set()
        self.groups = {}
        self.accepted = 0
        self.in_force = []
        self._sequence = 0
        self._commits = {}
        self._lines = {}

    def run(self):
        """Runs to the end and returns the faults."""
        for data_centre in DATA_CENTRES:
            for _number in range(INSTANCES_PER_DATA_CENTRE):
                self._start(data_centre)
        self.world.after(0.5, self._seed)
        self.world.after(5, self._command)
        self.world.after(5, self._disturb)
        self.world.after(1, self._check)
        self.world.run(RUN_S)
        self._check_end()
        return self.world.faults

    def _start(self, data_centre):
        self._sequence += 1
        name = f'{data_centre.lower()}-{self._sequence}'
        gate = _peer.GatedStore(self.world, self.store, self, name)
        holder = []
        process = _world.Process(
            self.world, name, gate, lambda *args: holder[0].handle(*args)
        )
        member = peer_pb2.Member(
            name=name,
            data_centre=data_centre,
            peer_address=name,
            incarnation=self._sequence,
            weight=1.0,
        )
        seeds = list(self.peers)
        members = membership.Membership(
            member, self.timing, self.world.rng, seeds
        )
        freshness = membership.Freshness(data_centre, self.timing.cut_off_s)
        departures = membership.Departures(self.timing.gone_margin_s)
        peer = _peer.Peer(
            self,
            process,
            data_centre,
            members,
            freshness,
            departures,
            self.timing,
        )
        self.platform.add(name)
        self._lines[name] = endpointslices.ListedInstance(
            name, data_centre, name, name, name, True, False
        )
        holder.append(peer)
        self.peers[name] = peer
        peer.start()

    def _seed(self):
        effects.drive(
            revisions.change(
                lambda _held: {'data_centre/x': {'n': 0}}, 'seed'
            ),
            self.store.execute,
            None,
        )

    def listed(self):
        """Returns the platform's list."""
        return [self._lines[name] for name in sorted(self.platform.read())]

    def reaches(self, first, second):
        """Tells whether the network lets two instances talk."""
        groups = self.groups
        return groups.get(first, 0) == groups.get(second, 0)

    def call(self, caller, address, digest, replied):
        """Carries a digest to a peer and its answer back."""
        world = self.world
        peer = self.peers.get(address)
        lost = world.chance(0.05)
        if peer is None or lost or not self._open(caller, peer):
            world.after(RPC_TIMEOUT_S, replied, None)
            return
        waiting = [True]

        def back(reply):
            if waiting.pop() if waiting else False:
                replied(reply)

        def arrive():
            reply = peer.answer(digest)
            if self._open(caller, peer):
                caller.process.soon(_world.LATENCY_S, back, reply)

        caller.process.soon(RPC_TIMEOUT_S, back, None)
        peer.process.soon(_world.LATENCY_S, arrive)

    def _open(self, caller, peer):
        return peer.process.alive and self.reaches(
            caller.process.name, peer.process.name
        )

    def pull(self, caller, address):
        """Fetches newer documents from a peer."""
        peer = self.peers.get(address)
        if peer is None or not self._open(caller, peer):
            return

        def arrive():
            held = peer.documents
            documents = held.changed_since(caller.documents.revision)
            caller.process.soon(
                _world.LATENCY_S, caller.adopt, held.revision, documents
            )

        peer.process.soon(_world.LATENCY_S, arrive)

    def _command(self):
        world = self.world
        if world.now > RUN_S - 60:
            return
        world.after(2 + 10 * world.rng.random(), self._command)
        peer = world.rng.choice(list(self.peers.values()))
        if not peer.admits():
            return
        self._sequence += 1
        number = self._sequence
        program = revisions.change(
            lambda _documents: {'policy/p': {'n': number}}, str(number)
        )
        peer.process.run(program, lambda result: self._told(peer, result))

    def _told(self, peer, result):
        if isinstance(result, revisions.Changed):
            self._commits[result.revision] = self.world.now
            peer.fetch()
            data_centres = membership.populated_data_centres(peer.remaining())
            watch = revisions.RolloutTracker(
                result.revision, data_centres, self.timing.cut_off_s
            )
            self._await(peer, watch, result.revision, peer.now())

    def _await(self, peer, watch, revision, committed_at):
        now = peer.now()
        peer.members.local.revision = peer.documents.revision
        members = peer.remaining()
        if watch.observe(members, now).accepted:
            self.accepted = max(self.accepted, revision)
        elif now - committed_at < COMMAND_TIMEOUT_S:
            peer.process.soon(
                0.1, self._await, peer, watch, revision, committed_at
            )

    def _disturb(self):
        world = self.world
        if world.now > FAULTS_UNTIL_S:
            self._heal()
            self.store.down_until = 0.0
            return
        world.after(10 * world.rng.random(), self._disturb)
        peer = world.rng.choice(list(self.peers.values()))
        match world.rng.randrange(6):
            case 0:
                peer.process.pause(20 * world.rng.random())
            case 1 if world.chance(0.4):
                self._replace(peer)
            case 2:
                self.store.outage(20 * world.rng.random())
            case 3:
                self._cut_data_centre()
            case 4:
                self._cut_some()
            case 5:
                self._heal()

    def _replace(self, peer):
        peer.process.kill()
        self.platform.ended(peer.process.name)
        del self.peers[peer.process.name]
        self._start(peer.data_centre)

    def _cut_data_centre(self):
        self.world.faults.partitions += 1
        data_centre = self.world.rng.choice(DATA_CENTRES)
        storeless = self.world.chance(0.7)
        for name, peer in self.peers.items():
            if peer.data_centre == data_centre:
                self.groups[name] = 1
                if storeless:
                    self.storeless.add(name)

    def _cut_some(self):
        self.world.faults.partitions += 1
        for name in self.peers:
            if self.world.chance(0.3):
                self.groups[name] = self.world.rng.randrange(3)
            if self.world.chance(0.3):
                self.storeless.add(name)

    def _heal(self):
        self.groups.clear()
        self.storeless.clear()

    def _check(self):
        world = self.world
        world.after(CHECK_S, self._check)
        for name, peer in self.peers.items():
            if peer.process.paused() or not peer.admits():
                continue
            if peer.documents.revision < self.accepted:
                raise _world.Broken(
                    f'{world.now:.2f} s: instance "{name}" takes work under '
                    f'revision {peer.documents.revision}, but '
                    f'{self.accepted} was accepted'
                )
        self._note_in_force()

    def _note_in_force(self):
        held = [
            peer.documents.revision
            for peer in self.peers.values()
            if peer.admits() and not peer.process.paused()
        ]
        lowest = min(held, default=math.inf)
        for revision in [r for r in self._commits if r <= lowest]:
            committed_at = self._commits.pop(revision)
            self.in_force.append(self.world.now - committed_at)

    def _check_end(self):
        behind = [
            name
            for name, peer in self.peers.items()
            if peer.documents.revision < self.accepted or not peer.admits()
        ]
        if behind:
            raise _world.Broken(
                f'{self.world.now:.2f} s: instances {behind} are still '
                'behind or refuse work although all faults ended'
            )


def search_settings(seed):
    """Runs one seed.

    Returns:
        The Faults that were injected.

    Raises:
        Broken: If a promise was broken.
    """
    return _Search(seed).run()


def in_force_times(seed):
    """Returns seconds from commit to in force, for one seed."""
    search = _Search(seed)
    search.run()
    return search.in_force

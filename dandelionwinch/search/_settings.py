"""Searches for instances that admit work under an old configuration."""

import math

from dandelionwinch.adapters import endpointslices
from dandelionwinch import effects
from dandelionwinch import membership
from dandelionwinch.peers import peer_pb2
from dandelionwinch import revisions
from dandelionwinch.search import _peer
from dandelionwinch.search import _simulation
from dandelionwinch import settings

DATA_CENTRES = ('Ndaragwa', 'Nanyuki', 'Naromoru')
INSTANCES_PER_DATA_CENTRE = 2
RUN_S = 300.0
FAULTS_UNTIL_S = 200.0
CHECK_INTERVAL_S = 0.25
COMMAND_TIMEOUT_S = 20.0
RPC_TIMEOUT_S = 1.0
LIST_LAG_S = 5.0


class _SettingsScenario:
    """A run with configuration changes under partitions and outages.

    A revision is committed to the store, then adopted by each instance.
    Its rollout is accepted once a RolloutTracker finds that no instance
    admits work under an older one. It is in force, by the records of the
    simulation, once no admitting instance holds an older one.

    Attributes:
        peers: Peer by name, for the instances that run.
        without_store: Names of the instances that cannot reach the store.
        partition_groups: Group by instance name, 0 by default; instances
            reach each other within a group.
        accepted: Highest revision whose rollout was accepted.
        in_force: Seconds from each commit until no admitting instance
            held an older revision.
    """

    def __init__(self, seed):
        self.sim = _simulation.Simulation(seed, FAULTS_UNTIL_S)
        self.store = _simulation.FaultyStore(self.sim)
        self.live_list = _simulation.LiveList(self.sim, LIST_LAG_S)
        self.timing = settings.TimingSettings()
        self.peers = {}
        self.without_store = set()
        self.partition_groups = {}
        self.accepted = 0
        self.in_force = []
        self._sequence = 0
        self._commits = {}
        self._listed = {}

    def run(self):
        """Runs to the end and checks that all instances caught up."""
        for data_centre in DATA_CENTRES:
            for _number in range(INSTANCES_PER_DATA_CENTRE):
                self._start(data_centre)
        self.sim.call_later(0.5, self._write_initial_config)
        self.sim.call_later(5, self._change_settings)
        self.sim.call_later(5, self._inject_faults)
        self.sim.call_later(1, self._check)
        self.sim.run(RUN_S)
        self._check_end()
        return self.sim.faults

    def _start(self, data_centre):
        self._sequence += 1
        name = f'{data_centre.lower()}-{self._sequence}'
        process_store = _peer.PartitionedStore(
            self.sim, self.store, self, name
        )
        # Filled after the peer is made, which needs the process.
        handlers = []
        process = _simulation.Process(
            self.sim,
            name,
            process_store,
            lambda *args: handlers[0].handle(*args),
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
            member, self.timing, self.sim.rng, seeds
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
        self.live_list.add(name)
        self._listed[name] = endpointslices.ListedInstance(
            name, data_centre, name, name, name, True, False
        )
        handlers.append(peer)
        self.peers[name] = peer
        peer.start()

    def _write_initial_config(self):
        effects.drive(
            revisions.change(
                lambda _held: {'data_centre/x': {'n': 0}}, 'seed'
            ),
            self.store.execute,
            None,
        )

    def listed(self):
        """Returns the instances on the platform's list."""
        return [self._listed[name] for name in sorted(self.live_list.read())]

    def reaches(self, first, second):
        """Returns whether two instances are in the same partition."""
        groups = self.partition_groups
        return groups.get(first, 0) == groups.get(second, 0)

    def call(self, caller, address, digest, replied):
        """Delivers a digest to a peer, and its reply to the caller.

        The caller gets the reply or None after RPC_TIMEOUT_S, whichever
        comes first.
        """
        sim = self.sim
        peer = self.peers.get(address)
        lost = sim.chance(0.05)
        if peer is None or lost or not self._is_connected(caller, peer):
            sim.call_later(RPC_TIMEOUT_S, replied, None)
            return
        # Empty once the caller got the reply or the timeout.
        pending = [True]

        def finish(reply):
            # Only the first call is passed on.
            if pending.pop() if pending else False:
                replied(reply)

        def arrive():
            reply = peer.respond(digest)
            if self._is_connected(caller, peer):
                caller.process.call_later(_simulation.LATENCY_S, finish, reply)

        caller.process.call_later(RPC_TIMEOUT_S, finish, None)
        peer.process.call_later(_simulation.LATENCY_S, arrive)

    def _is_connected(self, caller, peer):
        return peer.process.alive and self.reaches(
            caller.process.name, peer.process.name
        )

    def pull(self, caller, address):
        """Fetches newer documents from a peer."""
        peer = self.peers.get(address)
        if peer is None or not self._is_connected(caller, peer):
            return

        def arrive():
            held = peer.documents
            documents = held.changed_since(caller.documents.revision)
            caller.process.call_later(
                _simulation.LATENCY_S, caller.adopt, held.revision, documents
            )

        peer.process.call_later(_simulation.LATENCY_S, arrive)

    def _change_settings(self):
        sim = self.sim
        if sim.now > RUN_S - 60:
            # The last changes get time to be adopted, as `_check_end`
            # requires.
            return
        sim.call_later(2 + 10 * sim.rng.random(), self._change_settings)
        peer = sim.rng.choice(list(self.peers.values()))
        if not peer.admits():
            return
        self._sequence += 1
        number = self._sequence
        program = revisions.change(
            lambda _documents: {'policy/p': {'n': number}}, str(number)
        )
        peer.process.run(
            program, lambda result: self._on_changed(peer, result)
        )

    def _on_changed(self, peer, result):
        if isinstance(result, revisions.Changed):
            self._commits[result.revision] = self.sim.now
            peer.fetch()
            data_centres = membership.populated_data_centres(peer.remaining())
            tracker = revisions.RolloutTracker(
                result.revision, data_centres, self.timing.cut_off_s
            )
            self._poll_rollout(peer, tracker, result.revision, peer.now())

    def _poll_rollout(self, peer, tracker, revision, committed_at):
        now = peer.now()
        peer.members.local.revision = peer.documents.revision
        members = peer.remaining()
        if tracker.observe(members, now).accepted:
            self.accepted = max(self.accepted, revision)
        elif now - committed_at < COMMAND_TIMEOUT_S:
            peer.process.call_later(
                0.1, self._poll_rollout, peer, tracker, revision, committed_at
            )

    def _inject_faults(self):
        sim = self.sim
        if sim.now > FAULTS_UNTIL_S:
            self._heal()
            self.store.down_until = 0.0
            return
        sim.call_later(10 * sim.rng.random(), self._inject_faults)
        peer = sim.rng.choice(list(self.peers.values()))
        match sim.rng.randrange(6):
            case 0:
                peer.process.pause(20 * sim.rng.random())
            case 1 if sim.chance(0.4):
                self._replace(peer)
            case 2:
                self.store.outage(20 * sim.rng.random())
            case 3:
                self._partition_data_centre()
            case 4:
                self._partition_some()
            case 5:
                self._heal()

    def _replace(self, peer):
        peer.process.kill()
        self.live_list.remove_after_lag(peer.process.name)
        del self.peers[peer.process.name]
        self._start(peer.data_centre)

    def _partition_data_centre(self):
        self.sim.faults.partitions += 1
        data_centre = self.sim.rng.choice(DATA_CENTRES)
        without_store = self.sim.chance(0.7)
        for name, peer in self.peers.items():
            if peer.data_centre == data_centre:
                self.partition_groups[name] = 1
                if without_store:
                    self.without_store.add(name)

    def _partition_some(self):
        self.sim.faults.partitions += 1
        for name in self.peers:
            if self.sim.chance(0.3):
                self.partition_groups[name] = self.sim.rng.randrange(3)
            if self.sim.chance(0.3):
                self.without_store.add(name)

    def _heal(self):
        self.partition_groups.clear()
        self.without_store.clear()

    def _check(self):
        sim = self.sim
        sim.call_later(CHECK_INTERVAL_S, self._check)
        for name, peer in self.peers.items():
            if peer.process.is_paused() or not peer.admits():
                continue
            if peer.documents.revision < self.accepted:
                raise _simulation.InvariantViolated(
                    f'{sim.now:.2f} s: instance "{name}" admits work under '
                    f'revision {peer.documents.revision} although revision '
                    f'{self.accepted} is accepted'
                )
        self._record_in_force()

    def _record_in_force(self):
        held = [
            peer.documents.revision
            for peer in self.peers.values()
            if peer.admits() and not peer.process.is_paused()
        ]
        lowest = min(held, default=math.inf)
        for revision in [r for r in self._commits if r <= lowest]:
            committed_at = self._commits.pop(revision)
            self.in_force.append(self.sim.now - committed_at)

    def _check_end(self):
        behind = [
            name
            for name, peer in self.peers.items()
            if peer.documents.revision < self.accepted or not peer.admits()
        ]
        if behind:
            raise _simulation.InvariantViolated(
                f'{self.sim.now:.2f} s: instances {behind} are still '
                'behind or refuse work after all faults ended'
            )


def search_settings(seed):
    """Runs one seed and checks that no instance admits work when behind.

    Returns:
        The Faults that were injected.

    Raises:
        InvariantViolated: If an instance admitted work under a revision
            older than the accepted one, or did not catch up in the end.
    """
    return _SettingsScenario(seed).run()


def in_force_times(seed):
    """Returns the seconds from commit to in force of each change of a run."""
    scenario = _SettingsScenario(seed)
    scenario.run()
    return scenario.in_force

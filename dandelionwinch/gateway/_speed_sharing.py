"""Agrees with the other instances on the speeds of engines.

Each engine has one instance that judges its speed, chosen by rendezvous
hashing of the engine's id. The others report their samples to it; it
publishes the speed when that changes, and now and then for new instances. If
it is gone, another one judges, and the last speed stays in use meanwhile.
"""

from dandelionwinch.gateway import _speed_link
from dandelionwinch import upstreams
from dandelionwinch import utils

# Interval of reports and judgements. An engine that gets slow must lose its
# work within about a second.
TICK_S = 0.25


class SpeedSharing:
    """Reports samples of engines, judges some, and takes over speeds.

    Args:
        loop: The event loop.
        fleet: Fleet.
        speeds: dispatch.EngineSpeeds.
        link: PeerLink.
        name: Name of the local instance.
        log: EventLog.
    """

    __slots__ = (
        '_fleet',
        '_judges',
        '_judges_of',
        '_link',
        '_log',
        '_loop',
        '_name',
        '_speeds',
        '_timer',
    )

    def __init__(self, loop, fleet, speeds, link, name, log):
        self._loop = loop
        self._fleet = fleet
        self._speeds = speeds
        self._link = _speed_link.SpeedLink(loop, link, self)
        self._name = name
        self._log = log
        # Name of the judge of each engine, for the names it was chosen from.
        self._judges = {}
        self._judges_of = frozenset()
        self._timer = None

    def start(self):
        """Starts the periodic exchange with other instances."""
        self._timer = self._loop.call_later(TICK_S, self._tick)

    def close(self):
        """Stops it."""
        if self._timer is not None:
            self._timer.cancel()

    def take_times(self, samples):
        """Takes in samples of engines that this instance judges."""
        mine = [s for s in samples if self._judge(s.upstream_id) == self._name]
        self._speeds.add_samples(mine, self._loop.time())

    def take_speeds(self, verdicts, sender):
        """Takes over speeds from the judge of their engines."""
        for verdict in verdicts:
            if self._judge(verdict.upstream_id) == sender:
                self._take(verdict, sender)

    def _take(self, verdict, source):
        registry = self._fleet.registry
        if registry.get(verdict.upstream_id) is None:
            return
        before = self._speeds.take_verdict(verdict, self._loop.time())
        speed = verdict.speed / verdict.slowness
        if before != speed:
            self._log.event(
                'upstream.speed',
                upstream=verdict.upstream_id,
                work=verdict.work.value,
                speed=round(speed, 3),
                before=round(before, 3),
                source=source,
            )

    def _judge(self, upstream_id):
        """Returns the name of the instance that judges an engine."""
        names = self._link.peers.keys()
        if names != self._judges_of:
            self._judges_of = frozenset(names)
            self._judges.clear()
        if upstream_id not in self._judges:

            def score(name):
                return utils.rendezvous_score(1.0, upstream_id, name)

            self._judges[upstream_id] = max([self._name, *names], key=score)
        return self._judges[upstream_id]

    def _tick(self):
        self._timer = self._loop.call_later(TICK_S, self._tick)
        self._report()
        self._publish()

    def _report(self):
        now = self._loop.time()
        by_judge = {}
        for sample in self._speeds.take_samples(now):
            judge = self._judge(sample.upstream_id)
            by_judge.setdefault(judge, []).append(sample)
        self._speeds.add_samples(by_judge.pop(self._name, ()), now)
        for judge, samples in by_judge.items():
            self._link.send_times(samples, self._link.peers[judge])

    def _publish(self):
        services = {}
        for upstream in self._fleet.registry:
            entry = upstream.entry
            is_engine = entry.role is not upstreams.Role.PLAIN
            if is_engine and upstream.in_service:
                services.setdefault(entry.service, []).append(entry)
        verdicts = []
        for entries in services.values():
            judged = {e.id for e in entries if self._judge(e.id) == self._name}
            verdicts += self._speeds.judge(entries, judged, self._loop.time())
        for verdict in verdicts:
            self._take(verdict, 'own')
        self._link.send_speeds(verdicts)

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
        '_link',
        '_log',
        '_loop',
        '_name',
        '_names',
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
        # Names of all instances, and for each engine the score and the name
        # of its judge among them.
        self._names = frozenset([name])
        self._judges = {}
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
        if upstream_id not in self._judges:
            self._judges[upstream_id] = _best(upstream_id, self._names)
        _score, name = self._judges[upstream_id]
        return name

    def _update_names(self):
        """Follows the instances that come and go.

        All engines are not scored anew for all instances: with 300 instances
        and 3,000 engines that took most of a core while instances registered.
        """
        names = frozenset([self._name, *self._link.peers])
        if names == self._names:
            return
        added, gone = names - self._names, self._names - names
        self._names = names
        registry = self._fleet.registry
        self._judges = {
            upstream_id: max(judge, _best(upstream_id, added), key=_score_of)
            if added
            else judge
            for upstream_id, judge in self._judges.items()
            if judge[1] not in gone and registry.get(upstream_id) is not None
        }

    def _tick(self):
        self._timer = self._loop.call_later(TICK_S, self._tick)
        self._update_names()
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
        judged = {}
        for upstream_id in self._speeds.observed_ids():
            upstream = self._fleet.registry.get(upstream_id)
            if upstream is None or not _is_engine(upstream):
                continue
            if self._judge(upstream_id) == self._name:
                judged.setdefault(upstream.entry.service, set()).add(
                    upstream_id
                )
        verdicts = []
        for service, ids in judged.items():
            entries = [
                upstream.entry
                for upstream in self._fleet.registry.in_service(service)
                if _is_engine(upstream)
            ]
            verdicts += self._speeds.judge(entries, ids, self._loop.time())
        for verdict in verdicts:
            self._take(verdict, 'own')
        self._link.send_speeds(verdicts)


def _is_engine(upstream):
    is_plain = upstream.entry.role is upstreams.Role.PLAIN
    return upstream.in_service and not is_plain


def _best(upstream_id, names):
    """Returns score and name of the judge of an engine among some names."""
    return max(
        (utils.rendezvous_score(1.0, upstream_id, name), name)
        for name in names
    )


def _score_of(judge):
    score, _name = judge
    return score

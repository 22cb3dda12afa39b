"""The datagrams by which the simulated instances agree on speeds."""

import functools

from dandelionwinch import utils

# Interval at which each instance reports its samples and judges engines.
INTERVAL_S = 0.25


class Exchange:
    """Carries samples to the judges of engines, and their verdicts to all.

    Args:
        simulation: The simulation, for its placers, engines and events.
        until_s: Time from which nothing is sent.
    """

    def __init__(self, simulation, until_s):
        self._simulation = simulation
        self._until_s = until_s
        instances = range(len(simulation.placers))
        self._judges = {
            name: max(
                instances,
                key=lambda n, name=name: utils.rendezvous_score(1.0, name, n),
            )
            for name in simulation.engines
        }

    def start(self):
        """Schedules the first round of each instance, spread over time."""
        count = len(self._simulation.placers)
        for number in range(count):
            at = INTERVAL_S * number / count
            self._simulation.schedule(at, self._tick, number)

    def _tick(self, number, now):
        simulation = self._simulation
        by_judge = {}
        for sample in simulation.placers[number].speeds.take_samples(now):
            judge = self._judges[sample.upstream_id]
            by_judge.setdefault(judge, []).append(sample)
        for judge, samples in by_judge.items():
            speeds = simulation.placers[judge].speeds
            self._send(speeds.add_samples, samples, now)
        for verdict in self._judge(number, now):
            for placer in simulation.placers:
                self._send(placer.speeds.take_verdict, verdict, now)
        if now + INTERVAL_S < self._until_s:
            simulation.schedule(now + INTERVAL_S, self._tick, number)

    def _judge(self, number, now):
        upstreams = self._simulation.upstreams[number].values()
        judged = {id_ for id_, n in self._judges.items() if n == number}
        return self._simulation.placers[number].speeds.judge(
            [upstream.entry for upstream in upstreams], judged, now
        )

    def _send(self, take, message, now):
        at = now + self._simulation.round_trip_s / 2
        self._simulation.schedule(at, functools.partial(take, message))

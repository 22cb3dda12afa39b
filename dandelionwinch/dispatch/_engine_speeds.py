"""The speed of each engine relative to the others of its service.

One instance sees too few requests of an engine to tell its speed from
waits. So all instances report their samples of an engine to one of them, its
judge, which compares the engine with the others of its kind and publishes its
speed. All instances use what was published, so that their choices agree.

An engine whose speed was not published has the speed 1. So has one that
differs from the others by no more than the errors of the samples, so that
sessions stay where the engines have one speed.
"""

import enum
import itertools
import math
import statistics

import attrs

from dandelionwinch.dispatch import _speed_window

# Standard errors of a comparison by which a difference is reduced.
ERRORS_FOR_DIFFERENCE = 2.0
# Step of published speeds in octaves. A speed is published anew when it has
# changed by more, so that sessions do not move with each sample.
STEP_OCTAVES = 0.125
# Other engines without which an engine is not compared. Of two, neither is the
# usual one, and what they read may differ.
MIN_OTHERS = 2
# Other engines with which one is compared at most; more tell little more.
MAX_OTHERS = 64
# Octaves by which an engine must be slower than it usually is to count as slow
# now, and below which it no longer does.
BEGIN_SLOW_OCTAVES = 1.0
END_SLOW_OCTAVES = 0.5
# Largest difference from the typical speed in octaves.
MAX_OCTAVES = 2.0
# Age from which a published speed no longer counts.
MAX_VERDICT_AGE_S = 60.0
# Time after which a speed is published again, for new instances and in case a
# datagram was lost.
REPUBLISH_S = 20.0
# Least time between two publications of the same speed with other quartiles,
# and between two reports of the gaps of an engine, which keep the datagrams
# few. Twice of both lowers the credit in simulations of engines of unequal
# speeds, see docs/design/placement.md.
QUARTILES_INTERVAL_S = 1.0
GAPS_INTERVAL_S = 0.5
# Smaller prompts yield no sample: their time is mostly a fixed one.
MIN_SAMPLE_TOKENS = 1000
# Samples that wait to be reported.
MAX_WAITING_SAMPLES = 200


class Work(enum.Enum):
    """The kind of work that a speed belongs to."""

    READ = 'read'
    DECODE = 'decode'


@attrs.frozen
class Sample:
    """A time that one engine took.

    Attributes:
        ended_at: Time of its response in seconds.
        tokens: Size of the prompt without its cached tokens; 0 for a gap
            between two events.
        taken_s: Time until its response, without the round trip, or the gap.
    """

    upstream_id: str
    work: Work
    ended_at: float
    tokens: int
    taken_s: float


@attrs.frozen
class Verdict:
    """What the judge of an engine publishes.

    Attributes:
        quartiles: Logarithms to base 2 of the quartiles of the time in
            seconds, of a token of a prompt or of a gap.
        speed: Speed relative to the others, 1 for a usual one.
        slowness: How many times as long its work takes at the moment.
    """

    upstream_id: str
    work: Work
    quartiles: tuple[float, float, float]
    speed: float
    slowness: float = 1.0


class EngineSpeeds:
    """Samples, judgements and published speeds of one instance."""

    __slots__ = (
        '_gaps',
        '_gaps_at',
        '_reads',
        '_verdicts',
        '_waiting',
        '_windows',
    )

    def __init__(self):
        self._waiting = []
        # Gaps since the last report, by engine.
        self._gaps = {}
        self._gaps_at = 0.0
        # Where this instance judges: ReadTimes by engine, and SpeedWindow by
        # engine and work.
        self._reads = {}
        self._windows = {}
        # The last Verdict with its time, by engine and work.
        self._verdicts = {}

    def read_speed(self, entry, now):
        """Returns the relative speed at which an engine reads prompts."""
        return self._speed(entry.id, Work.READ, now)

    def decode_speed(self, entry, now):
        """Returns the relative speed at which an engine decodes."""
        return self._speed(entry.id, Work.DECODE, now)

    def _speed(self, upstream_id, work, now):
        verdict = self._verdict(upstream_id, work, now)
        return 1.0 if verdict is None else verdict.speed / verdict.slowness

    def _verdict(self, upstream_id, work, now):
        verdict, at = self._verdicts.get((upstream_id, work), (None, 0.0))
        if verdict is None or now - at > MAX_VERDICT_AGE_S:
            return None
        return verdict

    def observe_read(self, entry, tokens, taken_s, now):
        """Records the time of a prompt.

        Args:
            entry: Entry of the engine.
            tokens: Size of the prompt without its cached tokens.
            taken_s: Time until its response, without the round trip.
            now: Time in seconds.
        """
        if taken_s > 0:
            self._add(Sample(entry.id, Work.READ, now, tokens, taken_s))

    def observe_gap(self, entry, gap_s):
        """Records a gap between two events of an answer."""
        if gap_s > 0:
            self._gaps.setdefault(entry.id, []).append(gap_s)

    def _add(self, sample):
        if len(self._waiting) < MAX_WAITING_SAMPLES:
            self._waiting.append(sample)

    def take_samples(self, now):
        """Returns the Samples since the last call, to be reported.

        The gaps of an engine in GAPS_INTERVAL_S count as one sample, their
        median.
        """
        if now - self._gaps_at >= GAPS_INTERVAL_S:
            self._gaps_at = now
            for upstream_id, gaps in self._gaps.items():
                gap_s = statistics.median(gaps)
                self._add(Sample(upstream_id, Work.DECODE, now, 0, gap_s))
            self._gaps.clear()
        taken, self._waiting = self._waiting, []
        return taken

    def add_samples(self, samples, now):
        """Adds Samples of engines that this instance judges."""
        for sample in samples:
            if sample.work is Work.DECODE:
                self._window(sample.upstream_id, Work.DECODE).add(
                    sample.ended_at, 1, sample.taken_s
                )
                continue
            reads = self._reads.setdefault(
                sample.upstream_id, _speed_window.ReadTimes()
            )
            reads.add(sample.ended_at, sample.tokens, sample.taken_s)

    def _window(self, upstream_id, work):
        key = upstream_id, work
        if key not in self._windows:
            self._windows[key] = _speed_window.SpeedWindow()
        return self._windows[key]

    def take_verdict(self, verdict, now):
        """Takes over what the judge of an engine published.

        Returns:
            The speed that was in use before.
        """
        before = self._speed(verdict.upstream_id, verdict.work, now)
        self._verdicts[verdict.upstream_id, verdict.work] = (verdict, now)
        return before

    def judge(self, entries, judged, now):
        """Judges engines anew.

        Args:
            entries: Entries of the engines of a service.
            judged: Ids of those that this instance judges.
            now: Time in seconds.

        Returns:
            The Verdicts that are to be published, that is those that have
            changed and those that were published long ago.
        """
        verdicts = []
        known = {}
        for entry in entries:
            if entry.id not in judged:
                continue
            self._add_reads(entry.id, now)
            for work in Work:
                role = None if work is Work.DECODE else entry.role
                if (work, role) not in known:
                    known[work, role] = self._known(entries, work, role, now)
                verdict = self._judge(entry, work, known[work, role], now)
                if verdict is not None and self._is_due(verdict, now):
                    verdicts.append(verdict)
        return verdicts

    def _is_due(self, verdict, now):
        """Tells whether a Verdict is to be published."""
        key = verdict.upstream_id, verdict.work
        known, at = self._verdicts.get(key, (None, 0.0))
        if known is None or now - at > REPUBLISH_S:
            return True
        pairs = zip(known.quartiles, verdict.quartiles, strict=True)
        moved = max(abs(now_ - before) for before, now_ in pairs)
        changed = (known.speed, known.slowness) != (
            verdict.speed,
            verdict.slowness,
        )
        if now - at < QUARTILES_INTERVAL_S:
            return changed
        return changed or moved > STEP_OCTAVES

    def _add_reads(self, upstream_id, now):
        reads = self._reads.get(upstream_id)
        for ended_at, tokens, taken_s in reads.take(now) if reads else ():
            if tokens >= MIN_SAMPLE_TOKENS:
                window = self._window(upstream_id, Work.READ)
                window.add(ended_at, tokens, taken_s)

    def observed_ids(self):
        """Returns the ids of the engines that this instance has samples of."""
        return self._reads.keys() | {id_ for id_, _work in self._windows}

    def _known(self, entries, work, role, now):
        """Returns id and published quartiles of engines of a role.

        Args:
            entries: Entries of the engines of a service.
            work: Work.
            role: Role, None for all.
            now: Time in seconds.
        """
        verdicts = (
            self._verdict(entry.id, work, now)
            for entry in entries
            if role is None or entry.role is role
        )
        found = (v for v in verdicts if v is not None)
        return [
            (verdict.upstream_id, verdict.quartiles)
            for verdict in itertools.islice(found, MAX_OTHERS + 1)
        ]

    def _judge(self, entry, work, known, now):
        window = self._windows.get((entry.id, work))
        typical = window and window.typical(now)
        if not typical:
            return None
        others = [q for id_, q in known if id_ != entry.id][:MAX_OTHERS]
        ahead = _ahead(typical.quartiles, others)
        speed = self._stepped(entry, work, ahead, typical.error, now)
        slowness = self._slowness(entry, work, typical, now)
        return Verdict(entry.id, work, typical.quartiles, speed, slowness)

    def _slowness(self, entry, work, typical, now):
        """Returns how many times as long as usual its work takes now.

        It is a power of 2, and above 1 only until the engine is no slower
        than usual or gives no samples.
        """
        window = self._windows[entry.id, work]
        low, median, _high = typical.quartiles
        if work is Work.READ:
            usual, recent = median, window.recent_mean(now)
        else:
            usual, recent = low, window.recent_quartile(now)
        if recent is None:
            return 1.0
        octaves = recent - usual
        known = self._verdict(entry.id, work, now)
        is_slow = known is not None and known.slowness > 1.0
        if octaves < (END_SLOW_OCTAVES if is_slow else BEGIN_SLOW_OCTAVES):
            return 1.0
        return 2.0 ** min(MAX_OCTAVES, max(1.0, math.floor(octaves)))

    def _stepped(self, entry, work, ahead, error, now):
        """Returns a speed that changes in steps.

        Args:
            entry: Entry of the engine.
            work: Work.
            ahead: Octaves by which the engine is faster than is typical.
            error: Standard error of its typical time in octaves.
            now: Time in seconds.
        """
        surplus = abs(ahead) - ERRORS_FOR_DIFFERENCE * error
        surplus = min(MAX_OCTAVES, max(0.0, surplus))
        octaves = math.copysign(surplus, ahead)
        known = self._verdict(entry.id, work, now)
        before = math.log2(known.speed) if known is not None else 0.0
        if abs(octaves - before) <= STEP_OCTAVES:
            octaves = before
        # Rounded, so that it is the same in a datagram.
        return round(2.0 ** (STEP_OCTAVES * round(octaves / STEP_OCTAVES)), 4)

    def forget(self, upstream_id):
        """Drops what is known of an engine, as after its restart."""
        self._reads.pop(upstream_id, None)
        for work in Work:
            self._windows.pop((upstream_id, work), None)
            self._verdicts.pop((upstream_id, work), None)


def _ahead(quartiles, others):
    """Returns by how many octaves an engine is faster than is usual.

    It is the least by which all quartiles differ in the same direction.

    Args:
        quartiles: Quartiles of the engine's times.
        others: Those of the other engines.
    """
    if len(others) < MIN_OTHERS:
        return 0.0
    usual = [
        statistics.median(values)
        for values in zip(quartiles, *others, strict=True)
    ]
    ahead = [one - own for one, own in zip(usual, quartiles, strict=True)]
    least = min(ahead, key=abs)
    if all(difference * least > 0 for difference in ahead):
        return least
    return 0.0

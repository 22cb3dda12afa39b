"""What an instance believes of each upstream's load."""

import collections

import attrs

from dandelionwinch import settings

FIRST_QUARANTINE_S = 0.5
LONGEST_QUARANTINE_S = 15.0
CHUNK_EFFICIENCY = 0.8
GAP_MARGIN = 0.95
BATCH_MARGIN = 0.9
NONSENSE_FACTOR = 20
SENT_KEPT = 512


@attrs.frozen
class Report:
    """An upstream's own report of its load.

    Attributes:
        made_at: Time at which the upstream made it.
        running: Jobs that decode.
        waiting_tokens: Prompt tokens not prefilled yet.
        kv_tokens: Tokens held in the KV cache.
    """

    made_at: float
    running: int
    waiting_tokens: float
    kv_tokens: float
    role: settings.Role
    away: bool = False


@attrs.frozen
class _Sent:
    at: float
    prefill_tokens: float
    kv_tokens: float
    decodes: bool


@attrs.define
class LoadEstimate:
    """One upstream: its figures, its last report and what was sent since."""

    name: str
    data_centre: str
    role: settings.Role
    prefill_rate: float
    decode_rate: float
    kv_capacity: int
    max_batch: int
    report: Report | None = None
    sent: collections.deque = attrs.field(factory=collections.deque)
    sent_decodes: int = 0
    sent_kv_tokens: float = 0.0
    quarantined_until: float = float('-inf')
    failures: int = 0
    held: bool = False

    def usable(self, now):
        """Tells whether new work may be placed here."""
        return self.allowed() and now >= self.quarantined_until

    def allowed(self):
        """Tells whether it may get work, though it failed of late."""
        away = self.report is not None and self.report.away
        return not (self.held or away)

    def record_sent(self, item):
        """Notes work that was sent here."""
        if len(self.sent) >= SENT_KEPT:
            self._drop_oldest()
        self.sent.append(item)
        self.sent_decodes += item.decodes
        self.sent_kv_tokens += item.kv_tokens

    def _drop_oldest(self):
        item = self.sent.popleft()
        self.sent_decodes -= item.decodes
        self.sent_kv_tokens -= item.kv_tokens

    def record_report(self, report):
        """Takes a report; what was sent before it is part of it."""
        self.report = report
        self.role = report.role
        self.failures = 0
        while self.sent and self.sent[0].at <= report.made_at:
            self._drop_oldest()

    def backlog(self, now, rate, inflow=0.0):
        """Returns prompt tokens that wait here, by a fluid model.

        Args:
            now: Time in seconds.
            rate: Tokens per second that the upstream takes off.
            inflow: Tokens per second that others have sent since the
                last report.
        """
        tokens = 0.0
        last = now
        if self.report is not None:
            tokens = self.report.waiting_tokens
            last = self.report.made_at
        elif self.sent:
            last = min(now, self.sent[0].at)
        net = rate - inflow
        for item in self.sent:
            if not item.prefill_tokens:
                continue
            tokens = max(0.0, tokens - net * (item.at - last))
            tokens += item.prefill_tokens
            last = item.at
        return max(0.0, tokens - net * (now - last))

    def decoding(self):
        """Returns the number of jobs that decode here."""
        known = self.report.running if self.report else 0
        return known + self.sent_decodes

    def kv_used(self):
        """Returns the tokens held in the KV cache."""
        known = self.report.kv_tokens if self.report else 0.0
        return known + self.sent_kv_tokens

    def chunk_share(self, gap_s):
        """Returns the share of time that it should give to prompts.

        A batch that fills up needs its upstream's time for itself, and a
        prompt taken in then would slow more answers than it starts.

        Args:
            gap_s: Longest allowed time between tokens.
        """
        slots = max(1, self.slots(gap_s))
        return min(1.0, max(0.0, 1.0 - self.decoding() / slots))

    def prefill_speed(self, gap_s):
        """Returns the prompt tokens per second that it can prefill."""
        if self.role is settings.Role.PREFILL:
            return self.prefill_rate
        share = self.chunk_share(gap_s)
        return self.prefill_rate * CHUNK_EFFICIENCY * share

    def slots(self, gap_s):
        """Returns how many jobs can decode here within the gap."""
        by_gap = self.decode_rate * gap_s * GAP_MARGIN
        return int(min(self.max_batch * BATCH_MARGIN, by_gap))


class LoadEstimates:
    """The beliefs of one instance about all upstreams it may use."""

    __slots__ = ('_by_name',)

    def __init__(self):
        self._by_name = {}

    def set_upstreams(self, upstreams):
        """Takes over the upstreams of a new configuration.

        Args:
            upstreams: Iterable of Belief with the configured figures;
                what is already known of an upstream is kept.
        """
        fresh = {}
        for upstream in upstreams:
            held = self._by_name.get(upstream.name)
            if held is not None:
                upstream.report = held.report
                upstream.sent = held.sent
                upstream.sent_decodes = held.sent_decodes
                upstream.sent_kv_tokens = held.sent_kv_tokens
                upstream.quarantined_until = held.quarantined_until
                upstream.failures = held.failures
                upstream.held = held.held
                if held.report is not None:
                    upstream.role = held.role
            fresh[upstream.name] = upstream
        self._by_name = fresh

    def get(self, name):
        """Returns a Belief, or None."""
        return self._by_name.get(name)

    def all(self):
        """Returns all beliefs."""
        return list(self._by_name.values())

    def report(self, name, report):
        """Takes in an upstream's report.

        A report that is older than the one held is dropped, as is one
        that cannot be true.

        Returns:
            Whether the report was taken.
        """
        belief = self._by_name.get(name)
        if belief is None or not _makes_sense(belief, report):
            return False
        if belief.report and report.made_at <= belief.report.made_at:
            return False
        belief.record_report(report)
        return True

    def sent(self, name, now, prefill_tokens, kv_tokens, decodes):
        """Notes work that was sent to an upstream."""
        belief = self._by_name.get(name)
        if belief is not None:
            belief.record_sent(_Sent(now, prefill_tokens, kv_tokens, decodes))

    def quarantined(self, now):
        """Returns the names of upstreams that are left alone now."""
        return [
            name
            for name, belief in self._by_name.items()
            if belief.quarantined_until > now
        ]

    def failed(self, name, now):
        """Notes a failure; the upstream is left alone for a while."""
        belief = self._by_name.get(name)
        if belief is None:
            return
        wait_s = FIRST_QUARANTINE_S * 2**belief.failures
        belief.failures = min(belief.failures + 1, 10)
        wait_s = min(wait_s, LONGEST_QUARANTINE_S)
        belief.quarantined_until = now + wait_s


def _makes_sense(belief, report):
    if report.running < 0 or report.waiting_tokens < 0:
        return False
    if report.kv_tokens < 0:
        return False
    return report.running <= NONSENSE_FACTOR * belief.max_batch

"""Estimates the load of each upstream from its reports and what was sent."""

import collections

import attrs

from dandelionwinch import settings

# Duration of the ejection after a first failure. It doubles with each further
# failure until the next load report.
INITIAL_EJECT_S = 0.5
MAX_EJECT_S = 15.0
# Part of the prefill rate that chunked prefill between decodes reaches.
CHUNK_EFFICIENCY = 0.8
# Parts of the allowed token gap and of the largest batch that are used.
GAP_RATIO = 0.95
BATCH_RATIO = 0.9
# A report of more running jobs than this many largest batches is implausible.
MAX_RUNNING_FACTOR = 20
MAX_SENT_RECORDS = 512


@attrs.frozen
class Report:
    """The load that an upstream reports.

    Attributes:
        made_at: Time at which the upstream made the report.
        running: Number of jobs that are decoding.
        waiting_tokens: Prompt tokens that are not prefilled yet.
        kv_tokens: Tokens in the KV cache.
        away: Whether it is changing its role and so accepts no work.
    """

    made_at: float
    running: int
    waiting_tokens: float
    kv_tokens: float
    role: settings.Role
    away: bool = False


@attrs.frozen
class _Sent:
    """Work that this instance sent to an upstream."""

    at: float
    prefill_tokens: float
    kv_tokens: float
    decodes: bool


@attrs.define
class LoadEstimate:
    """Load of one upstream, by its last report and the work sent since.

    Attributes:
        prefill_rate: Prompt tokens per second.
        decode_rate: Output tokens per second.
        kv_capacity: Tokens that fit in the KV cache.
        max_batch: Largest number of jobs that decode at once.
        report: The last report, None before the first.
        sent: Work of this instance sent since the last report.
        sent_decodes: Number of jobs in `sent` that decode.
        sent_kv_tokens: KV cache tokens of the jobs in `sent`.
        ejected_until: Time up to which it gets work only if there is no
            other upstream.
        failures: Failures since the last report, at most 10.
        held: Whether it gets no new work, as before a role change.
    """

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
    ejected_until: float = float('-inf')
    failures: int = 0
    held: bool = False

    def usable(self, now):
        """Tells whether it accepts work and is not ejected."""
        return self.accepts_work() and now >= self.ejected_until

    def accepts_work(self):
        """Tells whether it is neither held nor changing its role."""
        away = self.report is not None and self.report.away
        return not (self.held or away)

    def record_sent(self, item):
        """Records work that was sent to the upstream."""
        if len(self.sent) >= MAX_SENT_RECORDS:
            self._drop_oldest()
        self.sent.append(item)
        self.sent_decodes += item.decodes
        self.sent_kv_tokens += item.kv_tokens

    def _drop_oldest(self):
        item = self.sent.popleft()
        self.sent_decodes -= item.decodes
        self.sent_kv_tokens -= item.kv_tokens

    def record_report(self, report):
        """Replaces the report and drops the sent work that it includes."""
        self.report = report
        self.role = report.role
        self.failures = 0
        while self.sent and self.sent[0].at <= report.made_at:
            self._drop_oldest()

    def backlog(self, now, rate, inflow=0.0):
        """Returns the prompt tokens that wait to be prefilled.

        This is a fluid model: the tokens reported decrease at a constant
        rate, and those sent by this instance since then are added.

        Args:
            now: Time in seconds.
            rate: Prompt tokens per second that the upstream prefills.
            inflow: Prompt tokens per second that other instances have
                sent to it since the last report.
        """
        tokens = 0.0
        last = now
        if self.report is not None:
            tokens = self.report.waiting_tokens
            last = self.report.made_at
        elif self.sent:
            last = min(now, self.sent[0].at)
        net_rate = rate - inflow
        for item in self.sent:
            if not item.prefill_tokens:
                continue
            tokens = max(0.0, tokens - net_rate * (item.at - last))
            tokens += item.prefill_tokens
            last = item.at
        return max(0.0, tokens - net_rate * (now - last))

    def decoding(self):
        """Returns the number of decoding jobs, reported and sent since."""
        reported = self.report.running if self.report else 0
        return reported + self.sent_decodes

    def kv_used(self):
        """Returns the tokens in the KV cache, reported and sent since."""
        reported = self.report.kv_tokens if self.report else 0.0
        return reported + self.sent_kv_tokens

    def chunk_share(self, gap_s):
        """Returns the part of its time left for chunked prefill, 0 to 1.

        As its batch fills up, an upstream needs its time for decoding. A
        prompt prefilled then would delay more answers than it starts.

        Args:
            gap_s: Longest allowed time between tokens.
        """
        slots = max(1, self.slots(gap_s))
        return min(1.0, max(0.0, 1.0 - self.decoding() / slots))

    def prefill_speed(self, gap_s):
        """Returns the prompt tokens per second that it can prefill now."""
        if self.role is settings.Role.PREFILL:
            return self.prefill_rate
        share = self.chunk_share(gap_s)
        return self.prefill_rate * CHUNK_EFFICIENCY * share

    def slots(self, gap_s):
        """Returns how many jobs can decode at once within the token gap."""
        by_gap = self.decode_rate * gap_s * GAP_RATIO
        return int(min(self.max_batch * BATCH_RATIO, by_gap))


class LoadEstimates:
    """Load estimates of all upstreams that an instance may use, by name."""

    __slots__ = ('_by_name',)

    def __init__(self):
        self._by_name = {}

    def set_upstreams(self, upstreams):
        """Replaces the upstreams by those of a new configuration.

        Args:
            upstreams: Iterable of LoadEstimate with the configured rates
                and sizes. The load and health of upstreams that stay are
                copied to them.
        """
        by_name = {}
        for upstream in upstreams:
            previous = self._by_name.get(upstream.name)
            if previous is not None:
                upstream.report = previous.report
                upstream.sent = previous.sent
                upstream.sent_decodes = previous.sent_decodes
                upstream.sent_kv_tokens = previous.sent_kv_tokens
                upstream.ejected_until = previous.ejected_until
                upstream.failures = previous.failures
                upstream.held = previous.held
                if previous.report is not None:
                    upstream.role = previous.role
            by_name[upstream.name] = upstream
        self._by_name = by_name

    def get(self, name):
        """Returns a LoadEstimate, or None."""
        return self._by_name.get(name)

    def all(self):
        """Returns all load estimates."""
        return list(self._by_name.values())

    def record_report(self, name, report):
        """Applies a load report of an upstream.

        A report is dropped if it is not newer than the last one, or if it
        is implausible.

        Returns:
            Whether the report was applied.
        """
        estimate = self._by_name.get(name)
        if estimate is None or not _is_plausible(estimate, report):
            return False
        if estimate.report and report.made_at <= estimate.report.made_at:
            return False
        estimate.record_report(report)
        return True

    def record_sent(self, name, now, prefill_tokens, kv_tokens, decodes):
        """Records work that was sent to an upstream."""
        estimate = self._by_name.get(name)
        if estimate is not None:
            estimate.record_sent(
                _Sent(now, prefill_tokens, kv_tokens, decodes)
            )

    def ejected(self, now):
        """Returns the names of the upstreams that are ejected."""
        return [
            name
            for name, estimate in self._by_name.items()
            if estimate.ejected_until > now
        ]

    def record_failure(self, name, now):
        """Ejects an upstream after a failure, with exponential backoff."""
        estimate = self._by_name.get(name)
        if estimate is None:
            return
        wait_s = INITIAL_EJECT_S * 2**estimate.failures
        estimate.failures = min(estimate.failures + 1, 10)
        wait_s = min(wait_s, MAX_EJECT_S)
        estimate.ejected_until = now + wait_s


def _is_plausible(estimate, report):
    if report.running < 0 or report.waiting_tokens < 0:
        return False
    if report.kv_tokens < 0:
        return False
    return report.running <= MAX_RUNNING_FACTOR * estimate.max_batch

"""A fluid model of one engine with continuous batching."""

import collections
import heapq

import attrs

from dandelionwinch import settings

# Part of the prefill rate that chunked prefill beside decodes reaches.
CHUNK_EFFICIENCY = 0.8
# Part of the allowed token gap that a batch uses.
GAP_RATIO = 0.95
# Each job of a smaller batch is decoded no faster than in this one.
MIN_BATCH = 8
# Part of its time that an engine prefills, however large its batch is.
MIN_PREFILL_RATIO = 0.05
# Size of the prefix cache, as a part of the KV cache.
CACHE_RATIO = 0.5
_EPSILON = 1e-9


@attrs.define
class JobState:
    """The progress of one job.

    Attributes:
        job: The Job.
        to_prefill: Prompt tokens that are still to prefill.
        to_decode: Output tokens after the first that are still to decode.
        link_rtt_s: Round trip that the link to another data centre adds.
        attempts: Number of failed attempts.
        prefill_upstream: Number of the engine that prefills, or -1.
        decode_upstream: Number of the engine that decodes, or -1 while
            it is not chosen.
    """

    job: object
    to_prefill: float = 0.0
    to_decode: float = 0.0
    first_token_at: float | None = None
    ended_at: float | None = None
    link_rtt_s: float = 0.0
    attempts: int = 0
    prefill_upstream: int = -1
    decode_upstream: int = -1

    @property
    def kv_tokens(self):
        """Returns the tokens that it needs in the KV cache."""
        return self.job.prompt_tokens + self.job.output_tokens


class PrefixCache:
    """Sizes of cached prefixes; evicts the least recently used first."""

    __slots__ = ('_sizes', '_capacity', '_total_tokens')

    def __init__(self, capacity):
        self._sizes = collections.OrderedDict()
        self._capacity = capacity
        self._total_tokens = 0

    def hit_tokens(self, prefix, tokens):
        """Returns how many tokens of a prefix are cached."""
        cached_tokens = self._sizes.get(prefix, 0)
        if cached_tokens:
            self._sizes.move_to_end(prefix)
        return min(cached_tokens, tokens)

    def add(self, prefix, tokens):
        """Caches a prefix and returns the prefixes evicted for it."""
        evicted = []
        previous = self._sizes.pop(prefix, 0)
        tokens = max(previous, tokens)
        self._sizes[prefix] = tokens
        self._total_tokens += tokens - previous
        while self._total_tokens > self._capacity and len(self._sizes) > 1:
            other, size = self._sizes.popitem(last=False)
            self._total_tokens -= size
            evicted.append(other)
        return evicted

    def clear(self):
        """Removes all prefixes."""
        self._sizes.clear()
        self._total_tokens = 0


class Engine:
    """Prefills one prompt at a time and decodes a batch.

    All jobs of a batch decode at the same rate, so that one count of
    tokens decides when each is complete.

    Attributes:
        draining_to: Role that it changes to when it is idle, or None.
        away: Whether it is changing its role and accepts no work.
        speed: Factor of its rates, below 1 while it is slow.
        version: Raised to cancel the event that is scheduled for it: an
            event that is due under an older version is ignored.
        longest_queue: Largest number of prompts that were queued.
        prompts: States of the jobs to prefill.
        waiting: States of the prefilled jobs that wait for the batch.
    """

    def __init__(self, number, data_centre, role, spec, gap_s):
        self.number = number
        self.data_centre = data_centre
        self.role = role
        self.spec = spec
        self.gap_s = gap_s
        self.alive = True
        self.draining_to = None
        self.away = False
        self.speed = 1.0
        self.version = 0
        self.longest_queue = 0
        self.cache = PrefixCache(spec.kv_tokens * CACHE_RATIO)
        self.prompts = collections.deque()
        self.waiting = collections.deque()
        self._batch = []
        self._batch_sequence = 0
        self._kv_tokens = 0.0
        self._prompt_tokens = 0.0
        self._decoded_count = 0.0
        self._advanced_at = 0.0

    def decoding(self):
        """Returns the number of jobs in the batch."""
        return len(self._batch)

    def backlog(self):
        """Returns the queued prompt tokens that are not prefilled yet."""
        return max(0.0, self._prompt_tokens)

    def kv_used(self):
        """Returns the tokens that the batch holds in the KV cache."""
        return self._kv_tokens

    def idle(self):
        """Tells whether it has no jobs."""
        return not (self.prompts or self.waiting or self._batch)

    def _prefill_share(self):
        """Returns the part of its time that is left for prefill, 0 to 1."""
        if self.role is settings.Role.PREFILL:
            return 1.0
        count = len(self._batch)
        rate = self.spec.decode_tokens_per_s * self.speed
        needed = count / (rate * self.gap_s * GAP_RATIO)
        return min(1.0, max(MIN_PREFILL_RATIO, 1.0 - needed))

    def _prefill_rate(self):
        rate = self.spec.prefill_tokens_per_s * self.speed
        if self.role is settings.Role.PREFILL:
            return rate
        return rate * CHUNK_EFFICIENCY * self._prefill_share()

    def _token_rate(self):
        """Returns the output tokens per second of each job in the batch."""
        rate = self.spec.decode_tokens_per_s * self.speed
        if self.prompts:
            rate *= 1 - self._prefill_share()
        count = max(1, len(self._batch))
        fastest = self.spec.decode_tokens_per_s / MIN_BATCH
        return min(fastest, max(rate, _EPSILON) / count)

    def advance(self, now):
        """Advances prefill and decode to a time.

        Returns:
            States of the jobs whose prompt is prefilled, and of those
            that are complete.
        """
        elapsed = now - self._advanced_at
        if elapsed > 0:
            if self.prompts:
                done = elapsed * self._prefill_rate()
                self.prompts[0].to_prefill -= done
                self._prompt_tokens -= done
            if self._batch:
                self._decoded_count += elapsed * self._token_rate()
        self._advanced_at = now
        return self._pop_prefilled(), self._pop_complete(now)

    def _pop_prefilled(self):
        prefilled = []
        while self.prompts and self.prompts[0].to_prefill <= 1e-6:
            state = self.prompts.popleft()
            self._prompt_tokens -= state.to_prefill
            state.to_prefill = 0.0
            prefilled.append(state)
        return prefilled

    def _pop_complete(self, now):
        complete = []
        while self._batch and self._batch[0][0] <= self._decoded_count + 1e-6:
            _end_count, _sequence, state = heapq.heappop(self._batch)
            self._kv_tokens -= state.kv_tokens
            state.ended_at = now
            complete.append(state)
        self._admit()
        return complete

    def _admit(self):
        spec = self.spec
        while self.waiting and len(self._batch) < spec.max_batch:
            state = self.waiting[0]
            free_tokens = spec.kv_tokens - self._kv_tokens
            if state.kv_tokens > free_tokens and self._batch:
                break
            self.waiting.popleft()
            self._batch_sequence += 1
            end_count = self._decoded_count + state.to_decode
            heapq.heappush(
                self._batch, (end_count, self._batch_sequence, state)
            )
            self._kv_tokens += state.kv_tokens

    def add_prompt(self, state):
        """Queues a prompt; call ``advance`` first."""
        self.prompts.append(state)
        self._prompt_tokens += state.to_prefill
        self.longest_queue = max(self.longest_queue, len(self.prompts))

    def add_decode(self, state):
        """Queues a prefilled job for the batch; call ``advance`` first."""
        self.waiting.append(state)
        self._admit()

    def next_event_s(self):
        """Returns the time until a prefill or a decode ends, None if idle."""
        times = []
        if self.prompts:
            rate = max(self._prefill_rate(), _EPSILON)
            times.append(self.prompts[0].to_prefill / rate)
        if self._batch:
            remaining = self._batch[0][0] - self._decoded_count
            times.append(remaining / self._token_rate())
        return max(0.0, min(times)) if times else None

    def crash(self):
        """Drops all jobs and the prefix cache.

        Returns:
            States of the jobs, with the output tokens still to decode.
        """
        interrupted = [*self.prompts, *self.waiting]
        for end_count, _sequence, state in self._batch:
            state.to_decode = max(0.0, end_count - self._decoded_count)
            interrupted.append(state)
        self.prompts.clear()
        self._prompt_tokens = 0.0
        self.waiting.clear()
        self._batch.clear()
        self._kv_tokens = 0.0
        self.cache.clear()
        self.alive = False
        return interrupted

"""A fluid model of one upstream with continuous batching."""

import collections
import heapq

import attrs

from dandelionwinch import settings

CHUNK_EFFICIENCY = 0.8
GAP_MARGIN = 0.95
LEAST_BATCH = 8
LEAST_CHUNK_SHARE = 0.05
CACHE_SHARE = 0.5
_EPSILON = 1e-9


@attrs.define
class Work:
    """One job's stay in the fleet.

    Attributes:
        to_prefill: Prompt tokens that are left to prefill.
        to_decode: Output tokens that are left after the first.
    """

    job: object
    to_prefill: float = 0.0
    to_decode: float = 0.0
    first_at: float | None = None
    ended_at: float | None = None
    extra_s: float = 0.0
    attempts: int = 0
    prefill_upstream: int = -1
    decode_upstream: int = -1

    @property
    def kv_tokens(self):
        """Tokens that it holds in the KV cache."""
        return self.job.prompt_tokens + self.job.output_tokens


class PrefixCache:
    """Prefixes in limited memory, least recently used dropped first."""

    __slots__ = ('_held', '_room', '_used')

    def __init__(self, room):
        self._held = collections.OrderedDict()
        self._room = room
        self._used = 0

    def hit(self, prefix, tokens):
        """Returns how many tokens of a prefix are held."""
        held = self._held.get(prefix, 0)
        if held:
            self._held.move_to_end(prefix)
        return min(held, tokens)

    def add(self, prefix, tokens):
        """Holds a prefix and returns those dropped for it."""
        dropped = []
        before = self._held.pop(prefix, 0)
        tokens = max(before, tokens)
        self._held[prefix] = tokens
        self._used += tokens - before
        while self._used > self._room and len(self._held) > 1:
            other, size = self._held.popitem(last=False)
            self._used -= size
            dropped.append(other)
        return dropped

    def clear(self):
        """Drops everything."""
        self._held.clear()
        self._used = 0


class Engine:
    """Prefills one prompt at a time and decodes a batch.

    All jobs of a batch advance alike, so that one counter of tokens
    tells when each is complete.
    """

    def __init__(self, number, data_centre, role, figures, gap_s):
        self.number = number
        self.data_centre = data_centre
        self.role = role
        self.figures = figures
        self.gap_s = gap_s
        self.alive = True
        self.draining_to = None
        self.away = False
        self.speed = 1.0
        self.version = 0
        self.busiest = 0
        self.cache = PrefixCache(figures.kv_tokens * CACHE_SHARE)
        self.prompts = collections.deque()
        self.waiting = collections.deque()
        self._batch = []
        self._batch_order = 0
        self._kv_tokens = 0.0
        self._prompt_tokens = 0.0
        self._counter = 0.0
        self._at = 0.0

    def decoding(self):
        """Returns the size of the batch."""
        return len(self._batch)

    def backlog(self):
        """Returns the prompt tokens that are not prefilled."""
        return max(0.0, self._prompt_tokens)

    def kv_used(self):
        """Returns the tokens in the KV cache."""
        return self._kv_tokens

    def idle(self):
        """Tells whether it has no work at all."""
        return not (self.prompts or self.waiting or self._batch)

    def _chunk_share(self):
        if self.role is settings.Role.PREFILL:
            return 1.0
        count = len(self._batch)
        rate = self.figures.decode_tokens_per_s * self.speed
        needed = count / (rate * self.gap_s * GAP_MARGIN)
        return min(1.0, max(LEAST_CHUNK_SHARE, 1.0 - needed))

    def _prefill_speed(self):
        speed = self.figures.prefill_tokens_per_s * self.speed
        if self.role is settings.Role.PREFILL:
            return speed
        return speed * CHUNK_EFFICIENCY * self._chunk_share()

    def _decode_speed(self):
        rate = self.figures.decode_tokens_per_s * self.speed
        if self.prompts:
            rate *= 1 - self._chunk_share()
        count = max(1, len(self._batch))
        fastest = self.figures.decode_tokens_per_s / LEAST_BATCH
        return min(fastest, max(rate, _EPSILON) / count)

    def advance(self, now):
        """Moves all work on to a time.

        Returns:
            Jobs whose prompt is ready, and jobs that are complete.
        """
        elapsed = now - self._at
        if elapsed > 0:
            if self.prompts:
                done = elapsed * self._prefill_speed()
                self.prompts[0].to_prefill -= done
                self._prompt_tokens -= done
            if self._batch:
                self._counter += elapsed * self._decode_speed()
        self._at = now
        return self._take_ready(), self._take_complete(now)

    def _take_ready(self):
        ready = []
        while self.prompts and self.prompts[0].to_prefill <= 1e-6:
            work = self.prompts.popleft()
            self._prompt_tokens -= work.to_prefill
            work.to_prefill = 0.0
            ready.append(work)
        return ready

    def _take_complete(self, now):
        complete = []
        while self._batch and self._batch[0][0] <= self._counter + 1e-6:
            _mark, _order, work = heapq.heappop(self._batch)
            self._kv_tokens -= work.kv_tokens
            work.ended_at = now
            complete.append(work)
        self._admit()
        return complete

    def _admit(self):
        figures = self.figures
        while self.waiting and len(self._batch) < figures.max_batch:
            work = self.waiting[0]
            room = figures.kv_tokens - self._kv_tokens
            if work.kv_tokens > room and self._batch:
                break
            self.waiting.popleft()
            self._batch_order += 1
            mark = self._counter + work.to_decode
            heapq.heappush(self._batch, (mark, self._batch_order, work))
            self._kv_tokens += work.kv_tokens

    def add_prompt(self, work):
        """Queues a prompt; call ``advance`` first."""
        self.prompts.append(work)
        self._prompt_tokens += work.to_prefill
        self.busiest = max(self.busiest, len(self.prompts))

    def add_decode(self, work):
        """Queues an imported prompt; call ``advance`` first."""
        self.waiting.append(work)
        self._admit()

    def next_event(self):
        """Returns the seconds until something ends, or None."""
        times = []
        if self.prompts:
            speed = max(self._prefill_speed(), _EPSILON)
            times.append(self.prompts[0].to_prefill / speed)
        if self._batch:
            left = self._batch[0][0] - self._counter
            times.append(left / self._decode_speed())
        return max(0.0, min(times)) if times else None

    def crash(self):
        """Loses all work and caches.

        Returns:
            The jobs that were here, with what they had decoded.
        """
        lost = [*self.prompts, *self.waiting]
        for mark, _order, work in self._batch:
            work.to_decode = max(0.0, mark - self._counter)
            lost.append(work)
        self.prompts.clear()
        self._prompt_tokens = 0.0
        self.waiting.clear()
        self._batch.clear()
        self._kv_tokens = 0.0
        self.cache.clear()
        self.alive = False
        return lost

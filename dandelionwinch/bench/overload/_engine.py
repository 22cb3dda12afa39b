"""A simulated engine: slots, a priority queue, prefill and a KV cache."""

import collections
import enum
import heapq

import attrs

# Part of the prefill rate that an engine reaches if it also decodes.
DIRECT_PREFILL_RATIO = 0.5
# How many times as long a token takes while a prompt is prefilled beside it.
PREFILL_SLOWDOWN_FACTOR = 3.8
# How many times as long a KV cache transfer to another region takes.
CROSS_REGION_FACTOR = 10.0
MAX_TRANSFER_WAIT_S = 2.0


class Stage(enum.Enum):
    """The part of a request that an engine serves.

    PREFILL is the prefill alone; DIRECT the prefill and the decode on the
    same engine; DECODE the decode of a prompt that another engine has
    prefilled.
    """

    PREFILL = 'prefill'
    DIRECT = 'direct'
    DECODE = 'answer'


@attrs.define(eq=False)
class EngineRequest:
    """A request as it is sent to one engine.

    Attributes:
        prompt: The dispatch.Prompt.
        events: Events of the answer.
        event_tokens: Tokens of one event.
        priority: Priority in the queue, 0 is served first.
        on_first_event: Called with the time of the first event; with that
            of the end of the prefill if the stage is PREFILL.
        on_gap: Called with the time and the length of a gap between events.
        on_end: Called with the time of the end and the longest gap between
            events in seconds.
        on_refused: Called with the time if the engine refuses the request.
        kv_source: Engine that holds the KV cache; None unless the stage is
            DECODE.
        cancelled: Whether the caller has given up.
    """

    prompt: object
    events: int
    event_tokens: int
    priority: int
    stage: Stage
    on_first_event: object
    on_gap: object
    on_end: object
    on_refused: object
    kv_source: object = None
    cancelled: bool = False


class Engine:
    """One engine in virtual time.

    Args:
        name: Its name.
        spec: EngineGroup.
        number: Its position in the group.
        schedule: Function that calls another one at a time.
        slowness: Function that returns how many times as long its work takes
            at a time.
        region: Its region, by default its data centre.
        read_blocks: Set of the ids of blocks that any engine has prefilled,
            shared by all engines.

    Attributes:
        prefill_only: Whether it only prefills and never decodes.
        prefilled_tokens: Prompt tokens prefilled so far.
        hit_tokens: Prompt tokens found in the cache so far.
        reread_tokens: Prompt tokens prefilled so far in blocks that an engine
            had prefilled before.
    """

    def __init__(
        self,
        name,
        spec,
        number,
        schedule,
        slowness,
        *,
        region=None,
        read_blocks=None,
    ):
        self.name = name
        self.data_centre = spec.data_centre
        self.region = region or spec.data_centre
        self.prefill_only = number < spec.prefill
        self.alive = True
        self.prefilled_tokens = 0
        self.hit_tokens = 0
        self.reread_tokens = 0
        self._read_blocks = set() if read_blocks is None else read_blocks
        self._spec = spec
        self._speed = spec.speed(number)
        self._slowness = slowness
        self._schedule = schedule
        self._incarnation = 0
        self._free_slots = spec.slots
        self._queue = []
        self._sequence = 0
        self._to_prefill = []
        self._prefilling = False
        self._prefill_ends_at = 0.0
        self._link_free_at = 0.0
        self._cache = collections.OrderedDict()
        self._cached_tokens = 0

    def submit(self, req, now):
        """Queues a request; refuses it if down or if the queue is full."""
        if not self.alive or len(self._queue) >= self._spec.queue:
            req.on_refused(now)
            return
        self._sequence += 1
        heapq.heappush(self._queue, (req.priority, self._sequence, req))
        self._start_queued(now)

    def crash(self):
        """Drops the cache and all requests, without calling back."""
        self.alive = False
        self._incarnation += 1
        self._queue.clear()
        self._to_prefill.clear()
        self._prefilling = False
        self._prefill_ends_at = 0.0
        self._link_free_at = 0.0
        self._cache.clear()
        self._cached_tokens = 0

    def restart(self):
        """Starts again, with an empty queue and cache."""
        self.alive = True
        self._free_slots = self._spec.slots

    def _taken_s(self, nominal_s, now):
        """Returns the time that work takes if it begins now."""
        return nominal_s * self._slowness(now) / self._speed

    def _call_at(self, at, function, *args):
        """Calls a function at a time, unless the engine crashes before."""
        self._schedule(
            at, self._call_unless_crashed, self._incarnation, function, args
        )

    def _call_unless_crashed(self, incarnation, function, args, now):
        if incarnation == self._incarnation:
            function(*args, now)

    def _start_queued(self, now):
        while self._free_slots and self._queue:
            _priority, _sequence, req = heapq.heappop(self._queue)
            if req.cancelled:
                continue
            if req.stage is Stage.DECODE:
                self._fetch_kv_cache(req, now)
            else:
                self._queue_prefill(req, now)

    def _queue_prefill(self, req, now):
        """Occupies a slot, and waits until the prompt can be prefilled.

        An engine prefills one prompt at a time, by priority.
        """
        self._free_slots -= 1
        self._sequence += 1
        heapq.heappush(self._to_prefill, (req.priority, self._sequence, req))
        self._prefill_next(now)

    def _prefill_next(self, now):
        while self._to_prefill and not self._prefilling:
            _priority, _sequence, req = heapq.heappop(self._to_prefill)
            if req.cancelled:
                self._release_slot(now)
                continue
            self._prefill(req, now)

    def _prefill(self, req, now):
        rate = self._spec.read_tokens_per_s
        if not self.prefill_only:
            rate *= DIRECT_PREFILL_RATIO
        uncached = req.prompt.tokens - self._cache_prompt(req.prompt)
        self.prefilled_tokens += uncached
        self.hit_tokens += req.prompt.tokens - uncached
        self._prefilling = True
        self._prefill_ends_at = now + self._taken_s(uncached / rate, now)
        self._call_at(self._prefill_ends_at, self._end_prefill, req)

    def _end_prefill(self, req, now):
        self._prefilling = False
        # May release a slot and so start the next prefill itself;
        # `_prefill_next` then does nothing.
        self._respond(req, now)
        self._prefill_next(now)

    def _fetch_kv_cache(self, req, now):
        """Fetches the KV cache; a link carries one transfer at a time."""
        source = req.kv_source
        duration_s = req.prompt.tokens * self._spec.transfer_s
        if source.region != self.region:
            duration_s *= CROSS_REGION_FACTOR
        start = max(now, self._link_free_at, source._link_free_at)
        if start - now > MAX_TRANSFER_WAIT_S:
            req.on_refused(now)
            return
        self._free_slots -= 1
        self._link_free_at = source._link_free_at = start + duration_s
        self._call_at(start + duration_s, self._respond, req)

    def _respond(self, req, now):
        if req.cancelled:
            self._release_slot(now)
            return
        req.on_first_event(now)
        if req.stage is Stage.PREFILL:
            req.on_end(now, 0.0)
            self._release_slot(now)
            return
        self._send_next_event(req, 1, 0.0, now)

    def _send_next_event(self, req, sent, longest_s, now):
        """Schedules the next event, or ends the answer."""
        if sent >= req.events or req.cancelled:
            if not req.cancelled:
                req.on_end(now, longest_s)
            self._release_slot(now)
            return
        gap_s = self._taken_s(req.event_tokens * self._spec.token_s, now)
        overlap_s = min(gap_s, max(0.0, self._prefill_ends_at - now))
        gap_s += overlap_s * (PREFILL_SLOWDOWN_FACTOR - 1.0)
        longest_s = max(longest_s, gap_s)
        req.on_gap(now + gap_s, gap_s)
        self._call_at(
            now + gap_s, self._send_next_event, req, sent + 1, longest_s
        )

    def _release_slot(self, now):
        self._free_slots += 1
        self._start_queued(now)

    def _count_read(self, block_id, tokens):
        if block_id in self._read_blocks:
            self.reread_tokens += tokens
        self._read_blocks.add(block_id)

    def _cache_prompt(self, prompt):
        """Returns the cached tokens of a prompt, then caches all its blocks.

        Only blocks before the first one that is not cached count. Blocks
        that don't fit are evicted, least recently used first.
        """
        hit_tokens = 0
        contiguous = True
        for block_id, tokens in prompt.prefix_blocks:
            cached = block_id in self._cache
            contiguous = contiguous and cached
            if contiguous:
                hit_tokens += tokens
            else:
                self._count_read(block_id, tokens)
            if cached:
                self._cache.move_to_end(block_id)
            else:
                self._cache[block_id] = tokens
                self._cached_tokens += tokens
        while self._cached_tokens > self._spec.kv_tokens:
            _block_id, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens
        return hit_tokens

"""A model engine: slots, a queue by urgency, reading, and a cache."""

import collections
import enum
import heapq

import attrs

DIRECT_SPEED = 0.5
# How many times as long a token takes while a prompt is read beside it.
READING_SLOWDOWN = 3.8
FAR_FACTOR = 10.0
MAX_TRANSFER_WAIT_S = 2.0


class Stage(enum.Enum):
    """What an engine does with a request."""

    PREFILL = 'prefill'
    DIRECT = 'direct'
    ANSWER = 'answer'


@attrs.define(eq=False)
class Work:
    """One sending of a request to an engine.

    Attributes:
        stage: Whether the engine reads the prompt, does all, or goes on
            with a prompt that another engine has read.
        source: Engine that holds the KV cache, or None.
        on_first: Called with the time of the first sign.
        on_end: Called with the time of the end and the longest pause.
        on_refused: Called if the engine does not take it.
        left: Whether its caller has left.
    """

    prompt: object
    events: int
    event_tokens: int
    priority: int
    stage: Stage
    on_first: object
    on_end: object
    on_refused: object
    source: object = None
    left: bool = False


class Engine:
    """One engine in virtual time."""

    def __init__(self, name, figures, reads_only, schedule):
        self.name = name
        self.data_centre = figures.data_centre
        self.reads_only = reads_only
        self.alive = True
        self.tokens_read = 0
        self.tokens_kept = 0
        self._figures = figures
        self._schedule = schedule
        self._incarnation = 0
        self._free = figures.slots
        self._waiting = []
        self._number = 0
        self._to_read = []
        self._reading = False
        self._read_free_at = 0.0
        self._link_free_at = 0.0
        self._cache = collections.OrderedDict()
        self._cached_tokens = 0

    def submit(self, work, now):
        """Takes a request into the queue, or refuses it."""
        if not self.alive or len(self._waiting) >= self._figures.queue:
            work.on_refused(now)
            return
        self._number += 1
        heapq.heappush(self._waiting, (work.priority, self._number, work))
        self._fill(now)

    def crash(self):
        """Loses all that it has; nobody is told."""
        self.alive = False
        self._incarnation += 1
        self._waiting.clear()
        self._to_read.clear()
        self._reading = False
        self._cache.clear()
        self._cached_tokens = 0

    def restart(self):
        """Starts again, empty."""
        self.alive = True
        self._free = self._figures.slots

    def _later(self, at, function, *args):
        """Calls a function later, if the engine has not crashed by then."""
        self._schedule(at, self._call, self._incarnation, function, args)

    def _call(self, incarnation, function, args, now):
        if incarnation == self._incarnation:
            function(*args, now)

    def _fill(self, now):
        while self._free and self._waiting:
            _urgency, _number, work = heapq.heappop(self._waiting)
            if work.left:
                continue
            if work.stage is Stage.ANSWER:
                self._fetch(work, now)
            else:
                self._read(work, now)

    def _read(self, work, now):
        """Takes a slot; slots read one after another, by urgency."""
        self._free -= 1
        self._number += 1
        heapq.heappush(self._to_read, (work.priority, self._number, work))
        self._read_next(now)

    def _read_next(self, now):
        while self._to_read and not self._reading:
            _urgency, _number, work = heapq.heappop(self._to_read)
            if work.left:
                self._release(now)
                continue
            self._read_one(work, now)

    def _read_one(self, work, now):
        speed = self._figures.read_tokens_per_s
        if not self.reads_only:
            speed *= DIRECT_SPEED
        fresh = work.prompt.tokens - self._hit(work.prompt)
        self.tokens_read += fresh
        self.tokens_kept += work.prompt.tokens - fresh
        self._reading = True
        self._read_free_at = now + fresh / speed
        self._later(self._read_free_at, self._end_reading, work)

    def _end_reading(self, work, now):
        self._reading = False
        self._begin(work, now)
        self._read_next(now)

    def _fetch(self, work, now):
        """Fetches the KV cache; links carry them one after another."""
        source = work.source
        near = source.data_centre == self.data_centre
        span_s = work.prompt.tokens * self._figures.transfer_s
        span_s *= 1.0 if near else FAR_FACTOR
        start = max(now, self._link_free_at, source._link_free_at)
        if start - now > MAX_TRANSFER_WAIT_S:
            work.on_refused(now)
            return
        self._free -= 1
        self._link_free_at = source._link_free_at = start + span_s
        self._later(start + span_s, self._begin, work)

    def _begin(self, work, now):
        if work.left:
            self._release(now)
            return
        work.on_first(now)
        if work.stage is Stage.PREFILL:
            work.on_end(now, 0.0)
            self._release(now)
            return
        self._go_on(work, 1, 0.0, now)

    def _go_on(self, work, made, longest_s, now):
        """Makes the next event, or ends the answer."""
        if made >= work.events or work.left:
            if not work.left:
                work.on_end(now, longest_s)
            self._release(now)
            return
        gap_s = work.event_tokens * self._figures.token_s
        reading_s = min(gap_s, max(0.0, self._read_free_at - now))
        gap_s += reading_s * (READING_SLOWDOWN - 1.0)
        longest_s = max(longest_s, gap_s)
        self._later(now + gap_s, self._go_on, work, made + 1, longest_s)

    def _release(self, now):
        self._free += 1
        self._fill(now)

    def _hit(self, prompt):
        """Returns what is cached of a prompt, and keeps all its parts."""
        hit = 0
        whole = True
        for part, tokens in prompt.prefix_blocks:
            kept = part in self._cache
            whole = whole and kept
            hit += tokens if whole else 0
            if kept:
                self._cache.move_to_end(part)
            else:
                self._cache[part] = tokens
                self._cached_tokens += tokens
        while self._cached_tokens > self._figures.kv_tokens:
            _part, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens
        return hit

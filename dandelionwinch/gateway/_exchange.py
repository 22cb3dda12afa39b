"""One request on its way: attempts at upstreams, then one final answer."""

import attrs

from dandelionwinch import attempts
from dandelionwinch import dispatch
from dandelionwinch.gateway import _codec
from dandelionwinch.gateway import _events
from dandelionwinch.gateway import _inquiry
from dandelionwinch.gateway import _upstream
from dandelionwinch import routes

LEAST_LEFT_S = 0.02
MAX_CONNECT_TRIES = 4
TAKE_TIMEOUT_S = 0.5
FRESH_ONCE_S = 1.0
FIRST_SILENCE_FACTOR = 4.0
PREFILL_SILENCE_FACTOR = 3.0
LEAST_SILENCE_S = 0.8
MAX_BUFFERED_BYTES = 1 << 20
RETRY_AFTER_S = 0.2
RETRY_SPREAD_S = 0.4
SERVER_ERROR = 500
RETURNED_SHARE = 0.85


class AttemptFailed(Exception):
    """An attempt brought no whole answer.

    Attributes:
        fate: Fate of the request at the upstream.
        relayed: A whole failure answer of the upstream, or None.
    """

    def __init__(self, fate, reason, relayed=None):
        super().__init__(reason)
        self.fate = fate
        self.relayed = relayed


class NoFurtherAttempt(AttemptFailed):
    """There is no upstream or no retry left for another attempt."""


@attrs.frozen
class Answer:
    """A whole answer of an upstream."""

    head: _codec.Head
    body: bytes


class Exchange:
    """Serves one request of a caller."""

    __slots__ = (
        '_attempt',
        '_began',
        '_caller',
        '_deadline',
        '_fates',
        '_fleet',
        '_full',
        '_gateway',
        '_inquiry',
        '_last_event',
        '_loop',
        '_relayed',
        '_route',
        '_service',
        '_streaming',
        '_tried',
        'first_event_s',
        'longest_gap_s',
        'outcome',
        'prefill_s',
        'upstream_id',
    )

    def __init__(self, gateway, inquiry, route, caller, began):
        self._gateway = gateway
        self._fleet = gateway.fleet
        self._loop = gateway.loop
        self._inquiry = inquiry
        self._route = route
        self._caller = caller
        self._began = began
        limit_s = route.timeout_s
        if inquiry.timeout_s is not None:
            limit_s = min(limit_s, inquiry.timeout_s)
        self._deadline = began + limit_s
        self._service = route.service_for(inquiry.id)
        self._fates = []
        self._tried = set()
        self._full = set()
        self._attempt = 0
        self._relayed = None
        self._last_event = inquiry.last_event
        self._streaming = False
        self.first_event_s = 0.0
        self.longest_gap_s = 0.0
        self.prefill_s = 0.0
        self.outcome = ''
        self.upstream_id = ''

    @property
    def route(self):
        """Returns the route of the request."""
        return self._route

    @property
    def request_id(self):
        """Returns the id of the request."""
        return self._inquiry.id

    @property
    def attempts(self):
        """Returns the number of times that the request was sent."""
        return self._attempt

    def taken_s(self):
        """Returns the seconds since the request came."""
        return self._loop.time() - self._began

    def _left_s(self):
        return self._deadline - self._loop.time()

    async def run(self):
        """Serves the request to its final answer."""
        now = self._loop.time()
        self._gateway.budget.received(self._service, now)
        try:
            while await self._try_once():
                pass
        except AttemptFailed as exc:
            self._finish(str(exc))

    async def _try_once(self):
        """Makes one attempt; returns whether another one follows."""
        if self._left_s() < LEAST_LEFT_S:
            raise NoFurtherAttempt(attempts.Fate.NOT_SENT, 'no time is left')
        try:
            if self._route.streaming and self._inquiry.prompt is not None:
                await self._generate()
            else:
                await self._call()
        except NoFurtherAttempt:
            raise
        except AttemptFailed as exc:
            self._fates.append(exc.fate)
            self._relayed = exc.relayed or self._relayed
            self._log_attempt(exc)
            return self._another(exc)
        return False

    def _another(self, exc):
        if not attempts.may_repeat(self._route.repeat, exc.fate):
            raise exc
        if exc.fate is attempts.Fate.NOT_SENT:
            if len(self._fates) >= MAX_CONNECT_TRIES:
                raise exc
            return True
        if len(self._tried) >= self._route.max_attempts:
            raise exc
        if self._left_s() < LEAST_LEFT_S:
            raise exc
        return True

    def _log_attempt(self, exc):
        self._gateway.metrics.attempts.labels(exc.fate.value).inc()
        self._gateway.log.event(
            'attempt.failed',
            request=self._inquiry.id,
            upstream=self.upstream_id,
            fate=exc.fate.value,
            reason=str(exc),
            left_ms=round(self._left_s() * 1e3),
        )

    def _finish(self, reason):
        """Gives the final answer after the last failed attempt."""
        if self._streaming:
            self.outcome = 'cut'
            self._caller.cut()
            self._gateway.closed(self, 0, reason)
            return
        relayed = self._relayed
        if relayed is not None:
            self._relay_whole(relayed)
            self._gateway.closed(self, relayed.head.status, reason)
            return
        timed_out = self._left_s() < LEAST_LEFT_S
        status = attempts.final_of(self._fates, timed_out)
        headers = []
        if status is attempts.Final.NOT_RUN:
            wait_s = RETRY_AFTER_S + self._gateway.rng.random() * (
                RETRY_SPREAD_S
            )
            headers = self._gateway.dialect.come_back(wait_s)
        self.outcome = status.name.lower()
        self._caller.answer(int(status), headers, reason.encode())
        self._gateway.closed(self, int(status), reason)

    def _relay_whole(self, answer):
        self.outcome = 'relayed'
        headers = answer.head.end_to_end()
        self._caller.answer(answer.head.status, headers, answer.body)

    # Plain calls.

    async def _call(self):
        now = self._loop.time()
        belief = dispatch.choose_plain(
            self._fleet.beliefs.serving(self._service),
            self._tried | self._full,
            self._gateway.distances,
            self._gateway.rng,
            now,
        )
        if belief is None:
            raise self._nowhere()
        sending = self._sending(belief)
        pool, conn = await self._connect(belief)
        belief.active += 1
        try:
            answer = await self._ask(conn, sending, self._patience_s())
        except AttemptFailed as exc:
            pool.discard(conn)
            self._judge(belief, exc)
            raise
        except BaseException:
            pool.discard(conn)
            raise
        finally:
            belief.active -= 1
        pool.give(conn)
        self._accept(belief, answer)

    def _accept(self, belief, answer):
        now = self._loop.time()
        again = (
            answer.head.status >= SERVER_ERROR
            and self._route.repeat is not routes.Repeat.ONCE
        )
        belief.succeeded(0.0, now)
        if again:
            raise AttemptFailed(
                attempts.Fate.FAILED,
                f'status {answer.head.status}',
                relayed=answer,
            )
        self._relay_whole(answer)
        self._gateway.closed(self, answer.head.status, '')

    def _nowhere(self):
        return NoFurtherAttempt(
            self._fates[-1] if self._fates else attempts.Fate.NOT_SENT,
            f'service "{self._service}" has no upstream left to try',
            relayed=self._relayed,
        )

    def _patience_s(self):
        """Returns how long an upstream may stay silent."""
        left_s = self._left_s()
        route = self._route
        last = len(self._tried) >= route.max_attempts
        if route.repeat is routes.Repeat.ONCE or last:
            return left_s
        silence_s = FIRST_SILENCE_FACTOR * route.objective_s
        return min(left_s, max(LEAST_SILENCE_S, silence_s))

    async def _connect(self, belief):
        """Takes a connection, and a retry out of the budget if need be."""
        pool = self._fleet.pool(belief)
        fresh_s = 0.0
        if self._route.repeat is routes.Repeat.ONCE:
            fresh_s = FRESH_ONCE_S
        timeout_s = min(TAKE_TIMEOUT_S, self._left_s())
        self.upstream_id = belief.entry.id
        try:
            conn = await pool.take(timeout_s, fresh_s=fresh_s)
        except _upstream.PoolBusy as exc:
            self._full.add(belief.entry.id)
            raise AttemptFailed(attempts.Fate.NOT_SENT, str(exc)) from exc
        except _upstream.NotConnected as exc:
            self._tried_without_sending(belief)
            raise AttemptFailed(attempts.Fate.NOT_SENT, str(exc)) from exc
        if not self._fleet.beliefs.serves(belief):
            # It has begun to leave while this request waited.
            pool.give_unused(conn)
            self._full.add(belief.entry.id)
            raise AttemptFailed(
                attempts.Fate.NOT_SENT,
                f'upstream "{belief.entry.id}" is leaving',
            )
        if self._attempt and not self._gateway.spend_retry(self._service):
            pool.give_unused(conn)
            raise NoFurtherAttempt(
                self._fates[-1], 'the retry budget is spent', self._relayed
            )
        self._attempt += 1
        self._tried.add(belief.entry.id)
        return pool, conn

    def _tried_without_sending(self, belief):
        now = self._loop.time()
        self._full.add(belief.entry.id)
        belief.failed(now)
        belief.eject(now)

    def _sending(self, belief, **more):
        return _inquiry.Sending(
            belief.entry.id,
            self._left_s(),
            last_event=self._last_event,
            **more,
        )

    async def _ask(self, conn, sending, patience_s):
        """Sends the request and returns the whole Answer."""
        self._send(conn, sending)
        head = await self._head(conn, patience_s)
        answer = Answer(head, await self._body(conn, patience_s))
        self._check_executed(answer)
        return answer

    async def _body(self, conn, patience_s):
        """Returns the whole body of the present answer."""
        body = bytearray()
        if self._inquiry.method == 'HEAD':
            conn.spoil()
            return b''
        while True:
            item = await self._item(conn, patience_s)
            if isinstance(item, _upstream.End):
                return bytes(body)
            body += item.data
            if len(body) > MAX_BUFFERED_BYTES:
                raise AttemptFailed(
                    attempts.Fate.UNKNOWN, 'the answer is too large'
                )

    def _send(self, conn, sending):
        inquiry = self._inquiry
        headers = self._gateway.dialect.headers(inquiry, sending)
        data = _codec.request_bytes(
            inquiry.method, inquiry.target, headers, inquiry.body
        )
        conn.begin(data)

    async def _head(self, conn, patience_s):
        """Returns the head that answers this request; skips others."""
        deadline = self._loop.time() + patience_s
        while True:
            left_s = min(deadline - self._loop.time(), self._left_s())
            head = await self._item(conn, left_s)
            while not isinstance(head, _codec.Head):
                head = await self._item(conn, left_s)
            reply = self._gateway.dialect.reply(head)
            if reply.request_id == self._inquiry.id or reply.not_executed:
                return head
            if not reply.request_id:
                raise AttemptFailed(
                    attempts.Fate.UNKNOWN, 'an answer without an id'
                )
            conn.spoil()

    async def _item(self, conn, timeout_s):
        try:
            return await conn.next(min(timeout_s, self._left_s()))
        except _upstream.ConnectionLost as exc:
            raise AttemptFailed(attempts.Fate.UNKNOWN, str(exc)) from exc

    def _check_executed(self, answer):
        reply = self._gateway.dialect.reply(answer.head)
        status = answer.head.status
        if reply.not_executed or status == 421:
            raise AttemptFailed(
                attempts.Fate.NOT_EXECUTED, f'status {status}, not executed'
            )
        if not reply.signed:
            raise AttemptFailed(
                attempts.Fate.UNKNOWN, f'status {status} without a signature'
            )

    def _judge(self, belief, exc):
        """Lets an upstream's belief learn from a failed attempt."""
        if exc.fate is attempts.Fate.UNKNOWN:
            belief.failed(self._loop.time())

    # Generations on model engines.

    async def _generate(self):
        now = self._loop.time()
        prompt = self._inquiry.prompt
        placement = self._gateway.placer.place(
            prompt,
            self._fleet.beliefs.serving(self._service),
            self._tried | self._full,
            now,
            direct=bool(self._attempt),
            late=self._is_late(),
        )
        if placement is None:
            raise self._nowhere()
        self._gateway.log_placement(self._inquiry.id, placement)
        self._gateway.placer.sent(prompt, placement, now)
        try:
            source = ''
            if placement.prefill is not None:
                source = await self._prefill(placement)
                began, now = now, self._loop.time()
                self.prefill_s = now - began
                self._gateway.placer.prefilled(placement, now - began, now)
            await self._decode(placement, source, now)
        finally:
            self._gateway.placer.ended(placement)

    def _is_late(self):
        """Tells whether the latency objective is out of reach.

        A caller that comes back waits for less than its whole timeout.
        """
        route = self._route
        if self._loop.time() - self._began > route.objective_s:
            return True
        timeout_s = self._inquiry.timeout_s
        return (
            timeout_s is not None
            and timeout_s < RETURNED_SHARE * route.timeout_s
        )

    async def _prefill(self, placement):
        belief = placement.prefill
        sending = self._sending(
            belief, prefill_only=True, urgency=placement.urgency
        )
        pool = self._fleet.pool(belief)
        self.upstream_id = belief.entry.id
        try:
            conn = await pool.take(min(TAKE_TIMEOUT_S, self._left_s()))
        except _upstream.PoolBusy as exc:
            self._full.add(belief.entry.id)
            raise AttemptFailed(attempts.Fate.NOT_SENT, str(exc)) from exc
        except _upstream.NotConnected as exc:
            self._tried_without_sending(belief)
            raise AttemptFailed(attempts.Fate.NOT_SENT, str(exc)) from exc
        belief.active += 1
        try:
            answer = await self._ask_prefill(conn, sending, placement.lane)
        except AttemptFailed as exc:
            pool.discard(conn)
            self._judge(belief, exc)
            self._attempt += 1
            raise AttemptFailed(
                attempts.Fate.NOT_EXECUTED, f'prefill: {exc}'
            ) from exc
        except BaseException:
            pool.discard(conn)
            raise
        finally:
            belief.active -= 1
        pool.give(conn)
        return f'{belief.entry.address}/{answer}'

    async def _ask_prefill(self, conn, sending, lane):
        self._send(conn, sending)
        patience_s = self._left_s()
        if lane is not dispatch.Lane.BACKGROUND:
            patience_s = PREFILL_SILENCE_FACTOR * self._route.objective_s
        head = await self._head(conn, patience_s)
        body = await self._body(conn, patience_s)
        reply = self._gateway.dialect.reply(head)
        handle = self._gateway.dialect.handle(body)
        if head.status != 200 or not handle:
            fate = attempts.Fate.UNKNOWN
            if reply.not_executed:
                fate = attempts.Fate.NOT_EXECUTED
            raise AttemptFailed(fate, f'status {head.status}, no handle')
        return handle

    def _decoder(self, placement):
        """Returns the engine for the answer, another one if it leaves."""
        belief = placement.decode
        if placement.prefill is None or self._fleet.beliefs.serves(belief):
            return belief
        other = self._gateway.placer.replace_decoder(
            placement, self._fleet.beliefs.serving(self._service)
        )
        if other is None:
            raise self._nowhere()
        return other

    async def _decode(self, placement, source, began):
        belief = self._decoder(placement)
        pool, conn = await self._connect(belief)
        sending = self._sending(
            belief, source=source, urgency=placement.urgency
        )
        belief.active += 1
        try:
            await self._stream(conn, sending, placement, began)
        except AttemptFailed as exc:
            pool.discard(conn)
            self._judge(belief, exc)
            raise
        except BaseException:
            pool.discard(conn)
            raise
        finally:
            belief.active -= 1
        pool.give(conn)

    async def _stream(self, conn, sending, placement, began):
        self._send(conn, sending)
        patience_s = self._patience_s()
        head = await self._head(conn, patience_s)
        reply = self._gateway.dialect.reply(head)
        if head.status != 200 or not reply.signed or reply.not_executed:
            await self._whole_failure(conn, head, placement.decode, patience_s)
            return
        splitter = _events.Splitter()
        last_at = None
        while True:
            item = await self._item(conn, patience_s)
            if isinstance(item, _upstream.End):
                break
            for event in self._split(splitter, item.data):
                now = self._loop.time()
                if last_at is None:
                    self._started(placement, began)
                else:
                    self.longest_gap_s = max(self.longest_gap_s, now - last_at)
                    self._gateway.placer.paused(
                        placement, now - last_at, self._route.gap_s, now
                    )
                last_at = now
                await self._deliver(head, event)
        if splitter.torn:
            raise AttemptFailed(attempts.Fate.UNKNOWN, 'a torn event')
        self._end_stream(head, placement)

    def _end_stream(self, head, placement):
        if not self._streaming:
            self._caller.begin_stream(200, head.end_to_end())
        self._caller.end_stream()
        placement.decode.succeeded(
            placement.decode.excess_s, self._loop.time()
        )
        self.outcome = 'whole'
        self._gateway.closed(self, 200, '')

    @staticmethod
    def _split(splitter, data):
        try:
            return splitter.feed(data)
        except ValueError as exc:
            raise AttemptFailed(attempts.Fate.UNKNOWN, str(exc)) from exc

    async def _deliver(self, head, event):
        if event.number is not None:
            last = self._last_event
            if last is not None and event.number <= last:
                return
            self._last_event = event.number
        if not self._streaming:
            self._streaming = True
            self._caller.begin_stream(200, head.end_to_end())
        await self._caller.send(event.data)

    def _started(self, placement, began):
        now = self._loop.time()
        self.first_event_s = self.first_event_s or now - self._began
        self._gateway.first_event(self._route, now - self._began)
        self._gateway.placer.started(placement, now - began, now)

    async def _whole_failure(self, conn, head, belief, patience_s):
        """Reads an answer that is not a stream of events."""
        answer = Answer(head, await self._body(conn, patience_s))
        self._check_executed(answer)
        if self._streaming:
            raise AttemptFailed(
                attempts.Fate.FAILED, f'status {head.status} on resumption'
            )
        self._accept(belief, answer)

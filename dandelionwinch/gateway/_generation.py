"""A generation: its prompt is read, and its answer streamed.

The prompt may be read at one engine and answered at another. An answer
that breaks off goes on elsewhere where its route allows that.
"""

import attrs

from dandelionwinch import attempts
from dandelionwinch import dispatch
from dandelionwinch.gateway import _connection
from dandelionwinch.gateway import _conversation
from dandelionwinch.gateway import _events
from dandelionwinch.gateway import _exchange

PREFILL_SILENCE_FACTOR = 3.0
RETURNED_SHARE = 0.85


class Generation(_exchange.Exchange):
    """Serves one generation on model engines."""

    __slots__ = ()

    async def _attempt_once(self):
        """Places the prompt, reads it, and hands the answer on."""
        now = self._loop.time()
        prompt = self._inquiry.prompt
        placement = self._gateway.placer.place(
            prompt,
            self._fleet.registry.serving(self._service),
            self._tried | self._full,
            now,
            direct=bool(self._attempt),
            late=self._is_late(),
            objective_s=self._route.objective_s,
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
                placement = self._settled(placement)
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
        upstream = placement.prefill
        params = self._sending(
            upstream, prefill_only=True, priority=placement.priority
        )
        pool, conn = await self._take(upstream)
        try:
            async with self._talk(upstream, pool, conn) as talk:
                handle = await self._ask_prefill(
                    talk, params, placement.priority_class
                )
        except _conversation.AttemptFailed as exc:
            self._attempt += 1
            raise _conversation.AttemptFailed(
                attempts.AttemptOutcome.NOT_EXECUTED, f'prefill: {exc}'
            ) from exc
        return f'{upstream.entry.address}/{handle}'

    async def _ask_prefill(self, talk, params, priority_class):
        talk.send(params)
        patience_s = self._left_s()
        if priority_class is not dispatch.PriorityClass.BACKGROUND:
            patience_s = PREFILL_SILENCE_FACTOR * self._route.objective_s
        head = await talk.head(patience_s)
        body = await talk.body(patience_s)
        reply = self._gateway.wire_codec.parse_reply(head)
        handle = self._gateway.wire_codec.parse_kv_handle(body)
        if head.status != 200 or not handle:
            fate = attempts.AttemptOutcome.UNKNOWN
            if reply.not_executed:
                fate = attempts.AttemptOutcome.NOT_EXECUTED
            raise _conversation.AttemptFailed(
                fate, f'status {head.status}, no handle'
            )
        return handle

    def _settled(self, placement):
        """Returns the placement with an engine that still takes requests."""
        now = self._loop.time()
        if self._fleet.registry.serves(placement.decode):
            return placement
        other = self._gateway.placer.replace_decoder(
            placement, self._fleet.registry.serving(self._service), now
        )
        if other is None:
            raise self._nowhere()
        return attrs.evolve(placement, decode=other)

    async def _decode(self, placement, source, began):
        try:
            await self._answer_at(placement, source, began)
        except _conversation.AttemptFailed as exc:
            gone = source and exc.fate is attempts.AttemptOutcome.NOT_EXECUTED
            if not gone or isinstance(exc, _conversation.NoFurtherAttempt):
                raise
            # The handle may be gone; the engine can read the prompt itself.
            self._fates.append(exc.fate)
            self._log_attempt(exc)
            now = self._loop.time()
            self._gateway.placer.handle_refused(placement, now)
            direct = attrs.evolve(placement, prefill=None)
            await self._answer_at(direct, '', now)

    async def _answer_at(self, placement, source, began):
        upstream = placement.decode
        pool, conn = await self._connect(upstream)
        priority = placement.priority
        if source:
            priority = dispatch.HANDOVER_PRIORITY
            self._gateway.placer.handed_over(placement, self._loop.time())
        params = self._sending(upstream, kv_source=source, priority=priority)
        async with self._talk(upstream, pool, conn) as talk:
            await self._stream(talk, params, placement, began)

    async def _stream(self, talk, params, placement, began):
        talk.send(params)
        patience_s = self._patience_s()
        head = await talk.head(patience_s)
        reply = self._gateway.wire_codec.parse_reply(head)
        if head.status != 200 or not reply.signed or reply.not_executed:
            await self._whole_failure(talk, head, placement.decode, patience_s)
            return
        splitter = _events.Splitter()
        last_at = None
        while True:
            item = await talk.item(patience_s)
            if isinstance(item, _connection.End):
                break
            for event in self._split(splitter, item.data):
                now = self._loop.time()
                if last_at is None:
                    self._started(placement, began)
                else:
                    self.longest_gap_s = max(self.longest_gap_s, now - last_at)
                    self._gateway.placer.token_gap(
                        placement, now - last_at, self._route.event_gap_s, now
                    )
                last_at = now
                await self._deliver(head, event)
        if splitter.torn:
            raise _conversation.AttemptFailed(
                attempts.AttemptOutcome.UNKNOWN, 'a torn event'
            )
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
            raise _conversation.AttemptFailed(
                attempts.AttemptOutcome.UNKNOWN, str(exc)
            ) from exc

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
        self._gateway.placer.started(placement, now - began, now)

    async def _whole_failure(self, talk, head, upstream, patience_s):
        """Reads an answer that is not a stream of events."""
        answer = _conversation.Answer(head, await talk.body(patience_s))
        talk.check_executed(answer)
        if self._streaming:
            raise _conversation.AttemptFailed(
                attempts.AttemptOutcome.FAILED,
                f'status {head.status} on resumption',
            )
        self._accept(upstream, answer, self._loop.time())

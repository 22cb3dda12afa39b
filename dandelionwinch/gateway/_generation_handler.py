"""Serves generations: prefill, decode and streaming of the events.

Prefill and decode may run at different engines. A stream that breaks
off is resumed at another engine where its route allows that.
"""

import attrs

from dandelionwinch import attempts
from dandelionwinch.gateway import _event_reader
from dandelionwinch.gateway import _next_attempt
from dandelionwinch.gateway import _request_handler
from dandelionwinch.gateway import _separate_prefill
from dandelionwinch.gateway import _sse
from dandelionwinch.gateway import _stream_continuation
from dandelionwinch.gateway import _stream_migration
from dandelionwinch.gateway import _team_shortage
from dandelionwinch.gateway import _upstream_exchange
from dandelionwinch import migration
from dandelionwinch import quarantine
from dandelionwinch import routes
from dandelionwinch import upstreams

# Part of the route's timeout; a caller with a shorter one is retrying.
RETRIED_TIMEOUT_RATIO = 0.85


class GenerationHandler(_request_handler.RequestHandler):
    """Serves one generation on model engines."""

    __slots__ = ('_begun', '_team', '_version')

    def __init__(self, *args):
        super().__init__(*args)
        # Whether this attempt has brought an event.
        self._begun = False
        # Software version of the engine that began the stream.
        self._version = None
        self._team = _team_shortage.TeamShortage(self._state)

    def _prompt_parts(self):
        """Returns the keys of the parts that the prompt shares."""
        blocks = self._req.prompt.shared_blocks
        return [quarantine.subject_key(name) for name, _size in blocks]

    async def _find_refusal(self):
        """Returns why a stream that has begun may not go on, or ''."""
        if self._state.last_event_id is None:
            return ''
        self._version = await self._gateway.streams.find(
            self._req.began_as, self._service, self._route.timeout_s
        )
        if self._version is None:
            return 'the version that began the stream is not known'
        return ''

    def _candidates(self):
        """Returns the engines that may begin the stream, or go on with it."""
        serving = self._fleet.serving(self._service)
        return upstreams.of_version(serving, self._version)

    def _choose(self):
        """Returns the Placement of the next attempt, or None."""
        if self._suspicion.is_held():
            return None
        late = self._missed_objective()
        placement = self._gateway.placer.place(
            self._req.prompt,
            self._candidates(),
            self._tried | self._unavailable,
            self._loop.time(),
            direct=bool(self._state.sent_count),
            late=late,
            objective_s=self._route.objective_s,
            patience_s=self._route.patience_s,
            standing=self._team.standing,
        )
        if not (late or self._state.sent_count):
            self._team.count(placement)
        return placement

    def _serves(self, choice):
        """Tells whether the engines of a Placement accept requests."""
        serves = self._fleet.serves
        return serves(choice.decode) and serves(choice.prefill_engine)

    def _targets(self, choice):
        """Returns the engines that prefill, if separately, and decode."""
        if choice.prefill is None:
            return [choice.decode]
        return [choice.prefill, choice.decode]

    def _in_time(self):
        """Tells whether the latency objective can still be met."""
        return not self._missed_objective()

    async def _make_attempt(self):
        """Places the request, prefills its prompt and relays the stream."""
        now = self._loop.time()
        self._begun = False
        prompt = self._req.prompt
        placement = self._take_choice()
        self.placement = placement
        self._gateway.log_placement(self._req.id, placement)
        self._gateway.placer.record_sent(prompt, placement, now)
        try:
            kv_source = ''
            if placement.prefill is not None:
                prefill = _separate_prefill.SeparatePrefill(
                    self._state,
                    self._connections,
                    self._next,
                    self._note_failure,
                )
                kv_source = await prefill.run(placement)
                started_at, now = now, self._loop.time()
                self.prefill_s = now - started_at
                self._gateway.placer.record_prefill(
                    placement, now - started_at, now
                )
                placement = self._with_usable_decoder(placement)
            while not await self._try_decode(placement, kv_source, now):
                placement = self._with_usable_decoder(placement)
        finally:
            self._gateway.placer.record_end(placement)

    def _attempt_details(self):
        return {'begun': self._begun, **super()._attempt_details()}

    async def _note_failure(self, exc, upstream):
        """Reports an attempt that its engine ended before its answer did."""
        await self._suspicion.note_failure(exc, upstream, begun=self._begun)

    def _missed_objective(self):
        """Tells whether the latency objective can no longer be met.

        A caller's timeout well below that of the route shows that the
        caller retries and has spent part of its time already.
        """
        route = self._route
        if self._loop.time() - self._started_at > route.objective_s:
            return True
        timeout_s = self._req.timeout_s
        return (
            timeout_s is not None
            and timeout_s < RETRIED_TIMEOUT_RATIO * route.timeout_s
        )

    def _with_usable_decoder(self, placement):
        """Replaces a decode engine that stopped serving or is not reached."""
        if self._suspicion.is_held():
            raise self._no_upstream()
        excluded = self._tried | self._unavailable
        decode = placement.decode
        if self._fleet.serves(decode) and decode.entry.id not in excluded:
            return placement
        other = self._gateway.placer.replace_decoder(
            placement, self._candidates(), excluded, self._loop.time()
        )
        if other is None:
            raise self._no_upstream()
        return attrs.evolve(placement, decode=other)

    async def _try_decode(self, placement, kv_source, started_at):
        """Decodes; tells whether the decode engine could be reached.

        A prompt that was prefilled elsewhere keeps its KV cache there, so
        another engine decodes it and it is not prefilled again.
        """
        try:
            await self._decode(placement, kv_source, started_at)
        except _upstream_exchange.NoFurtherAttempt:
            raise
        except _upstream_exchange.AttemptFailed as exc:
            not_sent = exc.outcome is attempts.AttemptOutcome.NOT_SENT
            failed = len(self._state.failed_outcomes) + 1
            last = failed >= _next_attempt.MAX_FAILED_ATTEMPTS
            if not kv_source or not not_sent or last:
                raise
            self._state.failed_outcomes.append(exc.outcome)
            self._log_attempt(exc)
            return False
        return True

    async def _decode(self, placement, kv_source, started_at):
        try:
            await self._decode_at(placement, kv_source, started_at)
        except _upstream_exchange.AttemptFailed as exc:
            refused = (
                kv_source
                and exc.outcome is attempts.AttemptOutcome.NOT_EXECUTED
                and self._fleet.serves(placement.decode)
            )
            if not refused or isinstance(
                exc, _upstream_exchange.NoFurtherAttempt
            ):
                raise
            # The KV cache handle may have expired; the decode engine can
            # prefill the prompt itself.
            self._state.failed_outcomes.append(exc.outcome)
            self._log_attempt(exc)
            now = self._loop.time()
            self._gateway.placer.record_kv_handle_refused(placement, now)
            direct = attrs.evolve(placement, prefill=None)
            await self._decode_at(direct, '', now)

    async def _decode_at(self, placement, kv_source, started_at):
        upstream = placement.decode
        pool, conn = await self._begin_attempt(upstream)
        priority = placement.priority
        if kv_source:
            priority = placement.prefilled_priority
            self._gateway.placer.record_transfer(placement, self._loop.time())
        params = self._params(upstream, kv_source=kv_source, priority=priority)
        if self._state.last_event_id is not None:
            self._log_resumption(upstream.entry)
        leg = _stream_continuation.Leg(placement, params, started_at)
        try:
            await self._exchange_stream(leg, pool, conn)
        except _stream_migration.RunStopped as stopped:
            continuation = _stream_continuation.StreamContinuation(
                self._state, self._report, self._exchange_stream
            )
            await continuation.run(stopped, placement)

    async def _exchange_stream(self, leg, pool, conn):
        """Sends the request on a connection and relays its response.

        Raises:
            RunStopped: If the engine stopped the run, to be moved.
        """
        upstream = leg.placement.decode
        stream = self._gateway.departures.watch(
            self._state, upstream, conn, leg.moved
        )
        may_leave = stream.guard(self._next.may_leave)
        try:
            async with self._connections.open_exchange(
                upstream, pool, conn, may_leave, True
            ) as exchange:
                await self._relay_stream(exchange, leg, stream)
            stream.close(migration.Result.ENDED)
        except _stream_migration.RunStopped:
            raise
        except BaseException as exc:
            stream.close(migration.Result.LEFT)
            if isinstance(exc, _upstream_exchange.AttemptFailed):
                await self._note_failure(exc, upstream)
            raise

    async def _relay_stream(self, exchange, leg, stream):
        """Sends the request and relays the events of its response.

        Only complete events are relayed, as a resumed stream continues
        after the last of them.
        """
        placement = leg.placement
        exchange.send(leg.params)
        read_timeout_s = self._read_timeout_s()
        head = await exchange.read_head(read_timeout_s)
        reply = self._gateway.wire_codec.parse_reply(head)
        if head.status != 200 or not reply.signed or reply.not_executed:
            await self._handle_error(
                exchange, head, placement.decode, read_timeout_s
            )
            return
        reader = _event_reader.EventReader(
            self._loop,
            exchange,
            _sse.max_events(self._req.answer_tokens, self._route.timeout_s),
            read_timeout_s,
            head.framed,
            stream.settle,
        )
        last_at = None
        while (events := await reader.read()) is not None:
            for event in events:
                now = self._loop.time()
                if last_at is not None:
                    self.longest_gap_s = max(self.longest_gap_s, now - last_at)
                    self._gateway.placer.record_token_gap(
                        placement, now - last_at, self._route.token_gap_s, now
                    )
                else:
                    self._begin_leg(leg, now)
                last_at = now
                await self._relay_event(head, event)
                stream.record_event()
                reader.record_progress()
        if last_at is None and leg.moved is not None and not head.framed:
            raise _event_reader.closed_without_an_event()
        if not (head.framed or self._begun or self._state.streaming):
            raise _event_reader.closed_without_an_event()
        self._end_stream(head, placement)

    def _begin_leg(self, leg, now):
        """Records the first event of an engine."""
        upstream = leg.placement.decode
        if leg.moved is not None:
            gap_s = now - leg.moved.last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
            leg.moved.continued(upstream)
            return
        self._bind_version(upstream.entry)
        self._record_first_event(leg.placement, leg.started_at)
        self._count_stream(upstream)

    def _bind_version(self, entry):
        """Binds the stream to the version of the engine that begins it."""
        if self._version is not None:
            return
        self._version = entry.software_version
        # Callers may take up no other stream.
        if self._route.retry_policy is routes.RetryPolicy.RESUMABLE:
            self._gateway.streams.record(
                self._req.id, self._version, self._route.timeout_s
            )

    def _log_resumption(self, entry):
        self._gateway.log.event(
            'stream.resumed',
            request=self._req.id,
            upstream=entry.id,
            version=entry.software_version,
            after=self._state.last_event_id,
        )

    def _end_stream(self, head, placement):
        if not self._state.streaming:
            self._caller_conn.start_stream(200, head.end_to_end())
        self._caller_conn.end_stream()
        self._suspicion.answer_ends()
        placement.decode.record_success(
            placement.decode.excess_s, self._loop.time()
        )
        self._state.outcome = 'whole'
        self._gateway.record_response(self, 200, '')

    async def _relay_event(self, head, event):
        """Sends an event to the caller unless it was sent already."""
        if event.event_id is not None:
            last = self._state.last_event_id
            if last is not None and event.event_id <= last:
                return
            self._state.last_event_id = event.event_id
        if not self._state.streaming:
            self._state.streaming = True
            self._caller_conn.start_stream(200, head.end_to_end())
        await self._caller_conn.send_chunk(event.data)

    def _record_first_event(self, placement, started_at):
        now = self._loop.time()
        self._begun = True
        self._suspicion.answer_begins()
        self.first_event_s = self.first_event_s or now - self._started_at
        self._gateway.placer.record_first_token(
            placement, now - started_at, now
        )

    def _count_stream(self, upstream):
        """Counts the request, unless an earlier attempt brought an event."""
        if not self._usage_counted:
            self._usage_counted = True
            self._gateway.usage_meter.stream_begins(self._req.team, upstream)

    async def _handle_error(self, exchange, head, upstream, read_timeout_s):
        """Relays an error response, unless a stream has begun already."""
        response = _upstream_exchange.UpstreamResponse(
            head, await exchange.read_body(read_timeout_s)
        )
        exchange.check_executed(response)
        if self._state.streaming:
            raise _upstream_exchange.AttemptFailed(
                attempts.AttemptOutcome.SERVER_ERROR,
                f'status {head.status} on resumption',
            )
        if head.status < _request_handler.SERVER_ERROR_STATUS:
            self._suspicion.answer_ends()
        self._accept_response(upstream, response, self._loop.time())

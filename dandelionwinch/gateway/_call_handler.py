"""Serves calls of plain services, which have one complete response."""

import asyncio

from dandelionwinch import attempts
from dandelionwinch import dispatch
from dandelionwinch.gateway import _call_gate
from dandelionwinch.gateway import _request_handler
from dandelionwinch.gateway import _upstream_exchange
from dandelionwinch import limits

_RELAYED = 'relayed'
_NOT_RUN = attempts.FinalStatus.NOT_RUN.name.lower()
_STOPPING = 'it could not end before the instance stops'
_TIMEOUT = attempts.FinalStatus.TIMEOUT.name.lower()


class CallHandler(_request_handler.RequestHandler):
    """Serves one call of a plain service."""

    __slots__ = ('_permit',)

    def __init__(self, *args):
        super().__init__(*args)
        # Permit to send a call of a team above its share, or None.
        self._permit = None

    async def run(self):
        """Serves the call; counts what became of it for its team."""
        try:
            await super().run()
        except BaseException as exc:
            if self._permit is not None:
                self._gateway.call_gate.leave(self._permit)
            if isinstance(exc, asyncio.CancelledError):
                self._record_left()
            raise
        if self._req.team:
            self._record_end()

    async def _find_refusal(self):
        """Waits if the team is above its share; returns a refusal or ''."""
        if not self._req.team:
            return ''
        sharing = self._gateway.fair_sharing
        sharing.record_asked(self._service, self._req.team, self._req.id)
        if sharing.excess(self._service, self._req.team) is None:
            return ''
        try:
            self._permit = await self._gateway.call_gate.enter(
                self._service, self._queued_call()
            )
        except _call_gate.CallRefused as exc:
            self._state.return_s = exc.retry_after_s
            return str(exc)
        # A stop may have begun meanwhile, and would cut the call.
        if not self._gateway.ends_before_stop(
            self._route, self._req.answer_tokens, self._left_s()
        ):
            return _STOPPING
        return ''

    def _queued_call(self):
        route, req = self._route, self._req
        due = self._state.deadline
        if route.objective_s > 0:
            due = min(due, self._started_at + route.objective_s)
        weight = limits.priority_weight(req.team_priority, route.priority)
        return limits.QueuedCall(req.team, weight, due, req.id)

    def _record_left(self):
        """Counts a call that its caller left after it was sent.

        It was served in time if it was not late by then, as its team has got
        the capacity that it asked for.
        """
        if self._state.sent_count:
            self._gateway.fair_sharing.record_served(
                self._service,
                self._req.team,
                self._req.id,
                delayed=not self._in_time(),
            )

    def _record_end(self):
        answered = self.outcome == _RELAYED
        if self._permit is not None:
            self._gateway.call_gate.end(self._permit, answered=answered)
        sharing, req = self._gateway.fair_sharing, self._req
        if answered or self.outcome == _TIMEOUT:
            delayed = not answered or self._is_delayed()
            sharing.record_served(
                self._service, req.team, req.id, delayed=delayed
            )
        elif self.outcome == _NOT_RUN and not self.held:
            sharing.record_refused(self._service, req.team, req.id)

    def _is_delayed(self):
        """Tells whether the answer was late as the call had to wait.

        One of a service whose calls usually take longer than the objective
        was late by its work.
        """
        taken_s = self.elapsed_s()
        usual_s = self._gateway.usage_meter.usual_work_s(
            self._service, taken_s, answered=False
        )
        return usual_s <= self._route.objective_s < taken_s

    def _choose(self):
        """Returns the Upstream of the next attempt, or None."""
        if self._suspicion.is_held():
            return None
        return dispatch.choose_plain(
            self._fleet.serving(self._service),
            self._tried | self._unavailable,
            self._gateway.distances,
            self._gateway.rng,
            self._loop.time(),
        )

    def _serves(self, choice):
        """Tells whether the chosen Upstream accepts requests."""
        return self._fleet.serves(choice)

    def _targets(self, choice):
        """Returns the chosen Upstream."""
        return [choice]

    async def _make_attempt(self):
        """Sends the call to one upstream and relays its response."""
        upstream = self._take_choice()
        params = self._params(upstream)
        pool, conn = await self._begin_attempt(upstream)
        started_at = self._loop.time()
        begun = False
        counting = self._begin_counting(upstream)
        try:
            async with self._open_exchange(upstream, pool, conn) as exchange:
                exchange.send(params)
                head = await exchange.read_head(self._read_timeout_s())
                begun = True
                counting.answer_arrives()
                response = await exchange.read_response(
                    head, self._read_timeout_s()
                )
        except _upstream_exchange.AttemptFailed as exc:
            self._end_counting(counting, exc.outcome)
            if not begun:
                await self._suspicion.note_failure(exc, upstream)
            raise
        except BaseException:
            # The caller left, or the instance stops.
            self._end_counting(counting, attempts.AttemptOutcome.UNKNOWN)
            raise
        self._end_counting(counting, None)
        # An upstream that fails a call may not have begun to run it.
        if response.head.status < _request_handler.SERVER_ERROR_STATUS:
            self._suspicion.answer_ends()
        self._accept_response(upstream, response, started_at)

    def _begin_counting(self, upstream):
        return self._gateway.usage_meter.open_call(
            '' if self._usage_counted else self._req.team,
            self._service,
            upstream,
        )

    def _end_counting(self, counting, outcome):
        """Counts the call, unless this or an earlier attempt did not run it.

        Args:
            counting: What `_begin_counting` returned.
            outcome: AttemptOutcome, None after a complete response.
        """
        if counting.end(outcome):
            self._usage_counted = True

"""Serves calls of plain services, which have one complete response."""

from dandelionwinch import attempts
from dandelionwinch import dispatch
from dandelionwinch.gateway import _request_handler
from dandelionwinch.gateway import _upstream_exchange


class CallHandler(_request_handler.RequestHandler):
    """Serves one call of a plain service."""

    __slots__ = ()

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
                await self._check_end(head, upstream)
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

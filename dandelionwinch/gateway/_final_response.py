"""The final response to a caller's request."""

from dandelionwinch import attempts
from dandelionwinch.gateway import _next_attempt

MIN_RETRY_AFTER_S = 0.2
RETRY_AFTER_JITTER_S = 0.4


class FinalResponse:
    """Sends the one final response to a request.

    Args:
        state: RequestState.
        caller: The CallerConnection that receives it.
    """

    __slots__ = ('_caller_conn', '_gateway', '_state')

    def __init__(self, state, caller):
        self._state = state
        self._gateway = state.gateway
        self._caller_conn = caller

    def respond_failed(self, reason, in_time):
        """Sends the final response after the last failed attempt.

        Args:
            reason: Why it failed.
            in_time: Whether the latency objective can still be met.

        Returns:
            The status, 0 if the caller's stream was cut.
        """
        state = self._state
        if state.streaming:
            state.outcome = 'cut'
            self._caller_conn.abort()
            return 0
        if state.error_response is not None:
            return self.relay(state.error_response)
        timed_out = state.left_s() < _next_attempt.MIN_TIME_LEFT_S
        status = attempts.final_status(state.failed_outcomes, timed_out)
        headers = []
        if status is attempts.FinalStatus.NOT_RUN:
            headers = self._gateway.wire_codec.retry_after_headers(
                self._retry_after_s(in_time)
            )
        state.outcome = status.name.lower()
        self._caller_conn.respond(int(status), headers, reason.encode())
        return int(status)

    def relay(self, response):
        """Sends the response of an upstream; returns its status."""
        self._state.outcome = 'relayed'
        headers = response.head.end_to_end()
        self._caller_conn.respond(response.head.status, headers, response.body)
        return response.head.status

    def _retry_after_s(self, in_time):
        """Returns when the caller should retry, spread over the callers."""
        now = self._gateway.loop.time()
        hold = self._state.suspicion.hold
        if hold is not None:
            least_s = max(0.0, hold.ends_at() - now)
        else:
            back_s = self._state.return_s
            if back_s is None:
                back_s = self._gateway.fleet.back_in_s(
                    self._state.service, in_time, now
                )
            least_s = max(MIN_RETRY_AFTER_S, back_s or 0.0)
        return least_s + self._gateway.rng.random() * RETRY_AFTER_JITTER_S

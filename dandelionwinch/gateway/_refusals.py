"""Answers requests that are refused before an upstream is chosen."""

import json

from dandelionwinch import errors


class Refusals:
    """Sends refusals and logs them.

    Args:
        wire_codec: The WireCodec.
        log: EventLog.
        metrics: Metrics.
    """

    __slots__ = ('_log', '_metrics', '_wire_codec')

    def __init__(self, wire_codec, log, metrics):
        self._wire_codec = wire_codec
        self._log = log
        self._metrics = metrics

    def refuse(
        self, caller, incoming, status, reason, headers=(), request_id=''
    ):
        """Answers with a status and a sentence.

        Args:
            caller: The CallerConnection.
            incoming: The IncomingRequest.
            status: Status of the response.
            reason: Why it is refused.
            headers: Headers of the response, as pairs.
            request_id: Id of the request, '' if it was not read.
        """
        self._log_refused(incoming, status, reason, request_id)
        caller.respond(status, headers, reason.encode())

    def refuse_later(
        self, caller, incoming, reason, retry_after_s, request_id=''
    ):
        """Answers that nothing was run, and when to come again."""
        headers = self._wire_codec.retry_after_headers(retry_after_s)
        self.refuse(caller, incoming, 503, reason, headers, request_id)

    def refuse_for(self, caller, incoming, exc):
        """Answers as an exception states.

        Args:
            caller: The CallerConnection.
            incoming: The IncomingRequest.
            exc: The DandelionwinchError.
        """
        if isinstance(exc, errors.Unauthorized):
            self._refuse_unauthorized(caller, incoming, exc)
            return
        headers = ()
        if exc.retry_after_s is not None:
            headers = self._wire_codec.retry_after_headers(exc.retry_after_s)
        self.refuse(caller, incoming, exc.status, exc.message, headers)

    def _refuse_unauthorized(self, caller, incoming, exc):
        self._metrics.unauthorized_requests.inc()
        self._log_refused(incoming, exc.status, exc.message, '')
        headers = [
            ('Content-Type', 'application/json'),
            *self._wire_codec.unauthorized_headers(),
        ]
        error = {'code': exc.code, 'message': exc.message}
        body = json.dumps({'error': error}).encode()
        caller.respond(exc.status, headers, body)

    def _log_refused(self, incoming, status, reason, request_id):
        self._log.event(
            'request.refused',
            request=request_id,
            host=incoming.head.header('host'),
            path=incoming.head.path,
            status=status,
            reason=reason,
        )

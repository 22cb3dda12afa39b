"""State of one request that is being served, which its parts share."""

import attrs

from dandelionwinch.gateway import _suspicion
from dandelionwinch import routes


@attrs.define(eq=False)
class RequestState:
    """What the attempts at one request have in common.

    Attributes:
        gateway: The Gateway.
        req: The CallerRequest.
        route: The Route that matches it.
        service: Name of the service.
        started_at: Loop time at which the request began to arrive.
        deadline: Loop time after which no response is of use.
        suspicion: Suspicion of the request.
        last_event_id: Id of the last event that the caller has, or None.
        failed_outcomes: AttemptOutcome of each failed attempt, also of those
            not sent.
        tried: Ids of upstreams that the request was sent to.
        unavailable: Ids of upstreams that it could not be sent to; neither
            are tried again.
        sent_count: Requests sent for a response, and failed prefills.
        return_s: Seconds after which there is room for the request, None if
            nothing was found about it.
        error_response: The last complete error response, or None.
        streaming: Whether the caller has the head of a stream.
        outcome: Outcome of the request for the log and the metrics.
        upstream_id: Id of the upstream of the last attempt.
    """

    gateway: object
    req: object
    route: routes.Route
    service: str
    started_at: float
    deadline: float
    suspicion: _suspicion.Suspicion
    last_event_id: int | None
    failed_outcomes: list = attrs.Factory(list)
    tried: set = attrs.Factory(set)
    unavailable: set = attrs.Factory(set)
    sent_count: int = 0
    return_s: float | None = None
    error_response: object = None
    streaming: bool = False
    outcome: str = ''
    upstream_id: str = ''

    def elapsed_s(self):
        """Returns the seconds since the request arrived."""
        return self.gateway.loop.time() - self.started_at

    def left_s(self):
        """Returns the seconds until the deadline."""
        return self.deadline - self.gateway.loop.time()

"""Types of requests, attempts and replies, and the codec for them."""

import typing

import attrs

from dandelionwinch import dispatch


@attrs.frozen
class CallerRequest:
    """A caller's request, as a WireCodec parses it from the Head and body.

    Attributes:
        id: Id of the request.
        target: Path and query.
        headers: Headers to forward, as pairs; not in its repr, as without
            teams a caller's credentials are among them.
        timeout_s: Timeout that the caller states, or None.
        prompt: The prompt of a generation, or None.
        last_event_id: Id of the last event that the caller received, or
            None.
        began_as: Id of the request that began the stream which this one
            takes up again, or ''.
        team: Name of the team that sends it, or ''.
        team_priority: Priority of that team, None for that of the route.
    """

    id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = attrs.field(repr=False)
    body: bytes
    timeout_s: float | None
    prompt: dispatch.Prompt | None = None
    last_event_id: int | None = None
    began_as: str = ''
    team: str = ''
    team_priority: int | None = None

    @property
    def host(self):
        """Returns the host that the request names, or ''."""
        for name, value in self.headers:
            if name == 'host':
                return value
        return ''

    @property
    def answer_tokens(self):
        """Returns the maximum number of tokens of its answer, or 0."""
        return self.prompt.output_tokens if self.prompt else 0


@attrs.frozen
class AttemptParams:
    """Parameters of one attempt, sent along with the caller's request.

    Attributes:
        upstream_id: The only upstream that may execute the request.
        timeout_s: Time that remains until the deadline.
        priority: 0 (highest) to 9, None for the default of the upstream.
        prefill_only: Whether to prefill the prompt without decoding.
        kv_source: Address and handle of the KV cache of a prefilled
            prompt, or ''.
        last_event_id: Id of the last event delivered to the caller, or
            None.
    """

    upstream_id: str
    timeout_s: float
    priority: int | None = None
    prefill_only: bool = False
    kv_source: str = ''
    last_event_id: int | None = None


@attrs.frozen
class ReplyHeaders:
    """Platform headers of an upstream's response.

    Attributes:
        request_id: Id of the request that it answers, or ''.
        not_executed: Whether the upstream states that it did not execute
            the request.
        signed: Whether it carries the upstream's signature.
    """

    request_id: str
    not_executed: bool
    signed: bool


@attrs.frozen
class RateLimit:
    """What a response states about its upstream's rate limit.

    Attributes:
        rate_per_s: Requests a second that the upstream takes from all
            instances together, None if it takes any number.
    """

    rate_per_s: float | None


@attrs.frozen
class UpstreamStatus:
    """What a response says of the upstream itself, not of the request.

    Attributes:
        leaving: Whether the upstream announces that it shuts down.
        retry_after_s: Pause for which it turns requests away, or None.
        rate_limit: RateLimit, or None if the response states nothing.
        malformed: Headers of this kind that cannot be read, as pairs.
    """

    leaving: bool = False
    retry_after_s: float | None = None
    rate_limit: RateLimit | None = None
    malformed: tuple[tuple[str, str], ...] = ()


class WireCodec(typing.Protocol):
    """Codec between the platform's headers and the gateway's types."""

    def parse_request(self, head, body):
        """Parses a request to a CallerRequest, or raises BadRequest."""

    def parse_key(self, head):
        """Returns the key that a caller sends, as bytes, or None."""

    def with_team(self, req, team):
        """Returns a CallerRequest as that of a Team, or of none."""

    def unauthorized_headers(self):
        """Returns headers that ask for a key, as pairs."""

    def request_headers(self, req, params):
        """Returns the headers of a request to an upstream, as pairs."""

    def parse_reply(self, head):
        """Parses a response head to ReplyHeaders."""

    def parse_upstream_status(self, head):
        """Parses a response head to an UpstreamStatus; never fails."""

    def kv_handle(self, body):
        """Returns the KV cache handle in a prefill response, or ''."""

    def move_request(self, upstream_id, request_id, target, last):
        """Returns method, path, headers and body of a call for a copy."""

    def parse_move_reply(self, head, body):
        """Returns the answer to it, as a message of a Migration."""

    def free_request(self, upstream_id, handle):
        """Returns method, path and headers of a call to free a copy."""

    def cache_events_request(self, upstream_id, position, wait_s):
        """Returns method, target and headers of a call for cache events."""

    def parse_cache_events(self, body):
        """Returns the dispatch.CacheEvents of a response, or None."""

    def retry_after_headers(self, wait_s):
        """Returns headers that ask for a retry after `wait_s`, as pairs."""

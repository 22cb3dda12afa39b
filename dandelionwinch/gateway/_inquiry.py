"""What the gateway needs to know of a request and of its answers."""

import typing

import attrs

from dandelionwinch import dispatch


@attrs.frozen
class CallerRequest:
    """One caller's request, as read by a dialect.

    Attributes:
        headers: Headers to hand on, as pairs.
        timeout_s: How long the caller will wait, None if it did not say.
        prompt: The prompt of a generation, or None.
        last_event: Id of the last event that the caller has, or None.
    """

    id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float | None
    prompt: dispatch.Prompt | None = None
    last_event_id: int | None = None


@attrs.frozen
class AttemptParams:
    """What the system says to an upstream beside the caller's request.

    Attributes:
        upstream_id: The only upstream that may run it.
        timeout_s: Time that is left for it.
        urgency: 0 (first) to 9, None for the upstream's default.
        prefill_only: Whether only the prompt is to be read.
        kv_source: Address and handle of a prefilled prompt, or ''.
        last_event: Id of the last event already delivered, or None.
    """

    upstream_id: str
    timeout_s: float
    priority: int | None = None
    prefill_only: bool = False
    kv_source: str = ''
    last_event_id: int | None = None


@attrs.frozen
class ReplyHeaders:
    """What an upstream's response head says.

    Attributes:
        request_id: Id of the request it answers, or ''.
        not_executed: Whether the upstream states that it did not run it.
        signed: Whether it bears the upstream's signature.
    """

    request_id: str
    not_executed: bool
    signed: bool


class WireCodec(typing.Protocol):
    """Translates between HTTP messages and the gateway's types."""

    def parse_request(self, head, body):
        """Returns the Inquiry of a request, or raises BadRequest."""

    def upstream_headers(self, req, params):
        """Returns the headers of a request to an upstream, as pairs."""

    def parse_reply(self, head):
        """Returns the Reply of a response head."""

    def parse_kv_handle(self, body):
        """Returns the handle of a prefilled prompt, or ''."""

    def retry_after_headers(self, wait_s):
        """Returns the headers that say when to come back, as pairs."""

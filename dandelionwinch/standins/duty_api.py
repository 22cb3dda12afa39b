"""A stand-in of the API at which the holder performs its duties."""

import collections
import enum
import threading
import time

import attrs

from dandelionwinch.standins import duty_ledger
from dandelionwinch.standins import http_server

USAGE_PATH = '/usage'
CAPACITY_PATH = '/scale'
HOLDER_HEADER = 'X-Dandelionwinch-Lease-Holder'
TOKEN_HEADER = 'X-Dandelionwinch-Fencing-Token'
TURN_S = 3.0
RATE_WINDOW_S = 1.0
# Longest time for which a silent call is kept open.
MAX_SILENCE_S = 30.0


class Mode(enum.Enum):
    """How the API answers."""

    NORMAL = 'normal'
    SILENT = 'silent'
    RESET = 'reset'
    BUSY = 'busy'
    THROTTLED = 'throttled'
    REFUSING = 'refusing'


_STATUSES = {Mode.BUSY: 503, Mode.THROTTLED: 429, Mode.REFUSING: 409}


@attrs.frozen
class DutyCall:
    """A call that arrived.

    Attributes:
        at: Time in seconds.
        path: Path of the call.
        holder: Name in its header, or ''.
        token: Fencing token, 0 if it is missing or no number.
        body: Parsed body.
        status: Status of the answer, 0 without one.
        accepted: Whether the call took effect.
    """

    at: float
    path: str
    holder: str
    token: int
    body: dict
    status: int
    accepted: bool


class DutyApi(http_server.HttpStandIn):
    """Accepts usage reports and capacity orders, with injected faults.

    Args:
        calls_per_s: Rate above which it answers 429.
        checks_tokens: Whether it refuses (409) a lower token after a higher
            one of the same subject.
        clock: Function that returns seconds.

    Attributes:
        mode: Mode of the answers.
        delay_s: Time before each answer.
        accepts_unanswered: Whether a call without an answer takes effect.
        calls: All DutyCall items.
        ledger: DutyLedger of all calls that arrived, whatever the answer.
        findings: Malformed calls, and windows of usage with two reports.
        on_call: Called after each call, from any thread.
        on_order: Called with the body of each capacity order that would
            take effect, from any thread; tells whether it does. If not, the
            status is 409.
    """

    def __init__(
        self, calls_per_s=50.0, checks_tokens=False, clock=time.monotonic
    ):
        super().__init__()
        self._calls_per_s = calls_per_s
        self._checks_tokens = checks_tokens
        self._clock = clock
        self._lock = threading.Lock()
        self._closing = threading.Event()
        self._times = collections.deque()
        self._tokens = {}
        self._windows = {}
        self.mode = Mode.NORMAL
        self.delay_s = 0.0
        self.accepts_unanswered = True
        self.calls = []
        self.ledger = duty_ledger.DutyLedger(TURN_S)
        self.findings = []
        self.on_call = lambda: None
        self.on_order = lambda _body: True

    def close(self):
        """Ends silent calls and stops the server."""
        self._closing.set()
        super().close()

    def accepted(self, path):
        """Returns the calls with a path that took effect."""
        return [c for c in self.calls if c.accepted and c.path == path]

    def _handle(self, req):
        with self._lock:
            status = self._take(req)
        self.on_call()
        if self.delay_s:
            self._closing.wait(self.delay_s)
        if self.mode is Mode.SILENT:
            self._closing.wait(MAX_SILENCE_S)
        if not status:
            raise http_server.DropConnection
        return http_server.Reply(status, {})

    def _take(self, req):
        """Records a call and returns the status of its answer, or 0."""
        now = self._clock()
        text = req.header(TOKEN_HEADER)
        token = int(text) if text.isdecimal() else 0
        holder = req.header(HOLDER_HEADER)
        try:
            body = req.json()
            subject = _subject(req.path, body)
        except (ValueError, KeyError, TypeError):
            subject = None
        if subject is None or not token or not holder:
            self.findings.append(f'malformed call to {req.path}: {req.raw!r}')
            return 400
        self.ledger.record(duty_ledger.Call(now, subject, holder, token))
        status = self._status(now, subject, token)
        accepted = status == 200 or not status and self.accepts_unanswered
        if accepted and req.path == CAPACITY_PATH and not self.on_order(body):
            accepted = False
            status = status and 409
        if accepted:
            self._tokens[subject] = max(token, self._tokens.get(subject, 0))
            self._check_window(req.path, body)
        call = DutyCall(now, req.path, holder, token, body, status, accepted)
        self.calls.append(call)
        return status

    def _status(self, now, subject, token):
        self._times.append(now)
        while self._times[0] < now - RATE_WINDOW_S:
            self._times.popleft()
        if len(self._times) > self._calls_per_s * RATE_WINDOW_S:
            return 429
        if self._checks_tokens and token < self._tokens.get(subject, 0):
            return 409
        if self.mode in (Mode.SILENT, Mode.RESET):
            return 0
        return _STATUSES.get(self.mode, 200)

    def _check_window(self, path, body):
        if path != USAGE_PATH:
            return
        window, counts = body['window'], body['counts']
        if self._windows.setdefault(window, counts) != counts:
            self.findings.append(f'window {window} has two reports')


def _subject(path, body):
    """Returns what a call is about; raises KeyError for an unknown one."""
    if path == USAGE_PATH:
        if not isinstance(body['counts'], dict):
            raise TypeError('counts')
        if not isinstance(body['window'], int):
            raise TypeError('window')
        return 'usage'
    if path == CAPACITY_PATH:
        if not isinstance(body['desiredCount'], int):
            raise TypeError('desiredCount')
        return f'{body["service"]}/{body["zone"]}'
    raise KeyError(path)

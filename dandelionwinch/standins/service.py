"""A stand-in of a plain service, which records the calls it executes."""

import collections
import threading
import time

import attrs

from dandelionwinch.standins import http_server

_OUTCOMES_PATH = '/outcomes/'


@attrs.frozen
class Execution:
    """A call that the service executed."""

    key: str
    request_id: str
    path: str


class Journal:
    """Executions of all processes of a service, and answers by key.

    Attributes:
        executions: All executions, in order.
    """

    __slots__ = ('_answers', '_lock', 'executions')

    def __init__(self):
        self._lock = threading.Lock()
        self._answers = {}
        self.executions = []

    def record(self, execution, answer):
        """Records an execution, and its answer if it has a key."""
        with self._lock:
            self.executions.append(execution)
            if execution.key:
                self._answers[execution.key] = answer

    def answer_of(self, key):
        """Returns the answer recorded for a key, or None."""
        with self._lock:
            return self._answers.get(key)

    def duplicate_keys(self):
        """Returns the keys of calls that were executed more than once."""
        with self._lock:
            keys = [item.key for item in self.executions if item.key]
        counts = collections.Counter(keys)
        return sorted(key for key, count in counts.items() if count > 1)


class ServiceServer(http_server.HttpStandIn):
    """Serves calls over HTTP and records them in a journal.

    Attributes:
        name: Name that answers carry.
        journal: The Journal, which processes of a service share.
        asks_by_key: Whether it returns outcomes by idempotency key.
        replies_to_drop: Number of next calls that are executed without a
            response.
        delay_s: Execution time of a call.
        alive: While False, connections are closed without a response.
    """

    __slots__ = (
        'alive',
        'asks_by_key',
        'delay_s',
        'journal',
        'replies_to_drop',
        'name',
    )

    def __init__(self, name, journal, listen='127.0.0.1:0', asks_by_key=True):
        self.name = name
        self.journal = journal
        self.asks_by_key = asks_by_key
        self.replies_to_drop = 0
        self.delay_s = 0.002
        self.alive = True
        super().__init__(listen)

    def _handle(self, req):
        if not self.alive:
            raise http_server.DropConnection
        if req.path == '/load':
            return http_server.Reply(body={'running': 0, 'waiting': 0})
        if req.path.startswith(_OUTCOMES_PATH):
            return self._outcome(req.path.removeprefix(_OUTCOMES_PATH))
        if req.path == '/error':
            return http_server.Reply(500, {'error': 'failed'})
        return self._execute(req)

    def _execute(self, req):
        time.sleep(self.delay_s)
        key = req.header('Idempotency-Key')
        answer = {'service': self.name, 'path': req.path, 'ok': True}
        execution = Execution(key, req.header('X-Request-Id'), req.path)
        self.journal.record(execution, answer)
        if self.replies_to_drop > 0:
            self.replies_to_drop -= 1
            raise http_server.DropConnection
        return http_server.Reply(body=answer)

    def _outcome(self, key):
        if not self.asks_by_key:
            return http_server.Reply(404, {'error': 'not supported'})
        answer = self.journal.answer_of(key)
        if answer is None:
            return http_server.Reply(body={'state': 'never seen'})
        return http_server.Reply(body={'state': 'done', 'answer': answer})

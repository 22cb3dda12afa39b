"""Runs of stand-in engines, and copies of their KV caches."""

import json

import attrs


@attrs.define(eq=False)
class Run:
    """A run of a request at one engine.

    Attributes:
        number: Number of the run, which no other one has.
        request_id: Id of the request.
        began_at: Address of the engine that began it, which tells its events
            from those of another run.
        created: Events that it has made.
        stopped: Whether it stopped to be moved.
        ended: Whether it is complete, or was given up.
    """

    number: int
    request_id: str
    began_at: str
    created: int = 0
    stopped: bool = False
    ended: bool = False


@attrs.define(eq=False)
class Copy:
    """A copy of a run.

    Attributes:
        run: The Run.
        source: Address of the engine that made it.
        target: Address of the engine that has it, '' if only the source has.
        used: Whether a continuation has used it.
        freed: Whether it was freed.
    """

    run: Run
    source: str
    target: str
    used: bool = False
    freed: bool = False


class Moves:
    """The runs and the copies of all engines of a site.

    Attributes:
        copies: Copy by handle.
    """

    def __init__(self):
        self.copies = {}
        self._runs = {}
        self._runs_begun = 0

    def begin(self, address, request_id, copy=None, created=0):
        """Begins a run at an engine, or goes on with a copied one."""
        began_at = copy.run.began_at if copy else address
        self._runs_begun += 1
        run = Run(self._runs_begun, request_id, began_at, created)
        self._runs[address, request_id] = run
        return run

    def move(self, address, body, refuses=False):
        """Copies a run, as a call asks for.

        Args:
            address: Address of the engine that is called.
            body: Bytes of the body of the call.
            refuses: Whether the target has no room.

        Returns:
            Status and fields of the response.
        """
        call = json.loads(body)
        run = self._runs.get((address, call['id']))
        if run is None or run.ended or run.stopped:
            return 404, {}
        run.stopped = call['last']
        if refuses and not run.stopped:
            return 503, {}
        target = '' if refuses else call['target']
        handle = f'{run.number}-{target}'
        self.copies.setdefault(handle, Copy(run, address, target))
        fields = {'kvHandle': handle, 'created': run.created}
        return (503 if refuses else 200), fields

    def take(self, address, kv_source):
        """Returns the Copy that a continuation uses, None if it may not."""
        source, _, handle = kv_source.partition('/')
        copy = self.copies.get(handle)
        if copy is None or copy.used or copy.freed or copy.source != source:
            return None
        if not copy.run.stopped or address not in (source, copy.target):
            return None
        copy.used = True
        return copy

    def free(self, handle):
        """Frees a copy."""
        if handle in self.copies:
            self.copies[handle].freed = True

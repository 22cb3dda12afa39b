"""A virtual loop whose nodes can be frozen, suspended and killed."""

import contextvars
import types

from dandelionwinch.tests import virtual

_NODE = contextvars.ContextVar('node', default=None)
_ROUNDING_S = 1e-9


class NodeState:
    """What the loop knows of a node.

    Attributes:
        context: Context in which all callbacks of the node run.
        stopped: Whether its callbacks wait.
        killed: Whether they wait for ever.
    """

    def __init__(self):
        self.context = contextvars.Context()
        self.context.run(_NODE.set, self)
        self.stopped = False
        self.killed = False
        # Total time for which the node's own clock stood still.
        self.lost_s = 0.0
        self._waiting = []

    def run(self, function, *args):
        """Calls a function as a part of the node."""
        return self.context.run(function, *args)

    def wait(self, call):
        """Keeps a callback until the node runs again."""
        self._waiting.append(call)

    def take_waiting(self):
        """Returns the callbacks that waited, in their order."""
        waiting, self._waiting = self._waiting, []
        return waiting


class NodeLoop(virtual.VirtualLoop):
    """Runs callbacks of several nodes, each in the node's context.

    The callbacks of a stopped node wait, and run in their order once it goes
    on. In a machine that was suspended, the loop's clock stood still, as
    CLOCK_MONOTONIC does; `boot_time` went on.
    """

    def __init__(self):
        super().__init__()
        # Coroutines of killed nodes still ask for the time when they are
        # collected after `close`.
        self._virtual = self._selector

    def boot_time(self):
        """Returns seconds of a clock that always runs."""
        return self._virtual.now

    def time(self):
        """Returns virtual seconds, in the time of the current node."""
        node = _NODE.get()
        if node is None:
            return self._virtual.now
        return self._virtual.now - node.lost_s

    def call_soon(self, callback, *args, context=None):
        """Runs a callback soon, unless its node is stopped."""
        context = context or contextvars.copy_context()
        call = types.SimpleNamespace(
            callback=callback, args=args, context=context, when=None
        )
        call.handle = super().call_soon(self._run, call, context=context)
        return call.handle

    def call_at(self, when, callback, *args, context=None):
        """Runs a callback at a time of its node."""
        context = context or contextvars.copy_context()
        node = context.get(_NODE)
        call = types.SimpleNamespace(
            callback=callback, args=args, context=context, when=when
        )
        lost_s = node.lost_s if node else 0.0
        call.handle = super().call_at(
            when + lost_s, self._run, call, context=context
        )
        return call.handle

    def _run(self, call):
        node = _NODE.get()
        if call.handle.cancelled():
            return
        if node is not None and node.stopped:
            node.wait(call)
            return
        early = call.when is not None and call.when > self.time() + _ROUNDING_S
        if early:
            super().call_at(
                call.when + node.lost_s, self._run, call, context=call.context
            )
            return
        call.callback(*call.args)

    def stop_node(self, node):
        """Stops a node until `resume_node`."""
        node.stopped = True

    def kill_node(self, node):
        """Stops a node for ever."""
        node.stopped = node.killed = True

    def resume_node(self, node, lost_s=0.0):
        """Lets a node go on.

        Args:
            node: NodeState.
            lost_s: Time for which its machine was suspended.
        """
        if node.killed:
            return
        node.stopped = False
        node.lost_s += lost_s
        for call in node.take_waiting():
            super().call_soon(self._run, call, context=call.context)

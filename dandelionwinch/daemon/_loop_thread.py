"""An event loop in a thread of its own, and calls into it."""

import asyncio
import concurrent.futures
import threading

from dandelionwinch import errors

# Longest wait of another thread for the event loop.
REQUEST_TIMEOUT_S = 30.0


class LoopThread:
    """Runs an event loop; other threads wait for what runs in it.

    Args:
        instance: Name of the instance, for errors.

    Attributes:
        loop: The event loop.
    """

    def __init__(self, instance):
        self._instance = instance
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, name='core', daemon=True
        )

    def start(self):
        """Starts the event loop."""
        self._thread.start()

    def close(self):
        """Stops the event loop and waits for its thread to end."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(timeout=REQUEST_TIMEOUT_S)

    def run(self, coroutine, timeout_s=REQUEST_TIMEOUT_S):
        """Runs a coroutine in the event loop and waits for its result.

        Raises:
            DeadlinePassed: If it did not end in time.
        """
        fut = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return self._result(fut, timeout_s)

    def call(self, handle, message, timeout_s=REQUEST_TIMEOUT_S):
        """Handles a message in the event loop and waits for the reply.

        Args:
            handle: Function or coroutine function of the message.
            message: The message.
            timeout_s: Longest wait for the reply.

        Raises:
            DeadlinePassed: If there was no reply in time.
        """
        fut = concurrent.futures.Future()
        self.loop.call_soon_threadsafe(_dispatch, handle, message, fut)
        return self._result(fut, timeout_s)

    def _result(self, fut, timeout_s):
        try:
            return fut.result(timeout_s)
        except concurrent.futures.TimeoutError:
            fut.cancel()
            raise errors.DeadlinePassed(
                f'instance "{self._instance}" did not answer itself in '
                f'{timeout_s:g} s'
            ) from None


def _dispatch(handle, message, fut):
    """Handles a message; only coroutine handlers become a task."""
    if fut.cancelled():
        return
    try:
        reply = handle(message)
    except Exception as exc:
        fut.set_exception(exc)
        return
    if not asyncio.iscoroutine(reply):
        fut.set_result(reply)
        return
    task = asyncio.ensure_future(reply)
    task.add_done_callback(lambda done: _copy_outcome(done, fut))


def _copy_outcome(task, fut):
    """Copies the outcome of a task to the future of a waiting thread."""
    if fut.cancelled():
        return
    if task.cancelled():
        fut.cancel()
    elif task.exception() is not None:
        fut.set_exception(task.exception())
    else:
        fut.set_result(task.result())

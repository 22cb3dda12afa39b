"""Late copies of the store's answers, which name no request.

On a connection that is in use again, a copy may arrive while it is idle, or
right behind the next request.
"""

import asyncio
import contextlib
import functools
import socket

import pytest

from dandelionwinch import control
from dandelionwinch.gateway import _connection
from dandelionwinch.gateway import _pool
from dandelionwinch.gateway import _whole_response
from dandelionwinch.platform import _store
from dandelionwinch.tests import test_late_duplicates

answer = test_late_duplicates.response


def row(key, revision):
    return {'key': key, 'value': 'dg==', 'revision': revision}


def listed(revision, *rows):
    return answer(items=rows, hasMore=False, storeRevision=revision)


def watched(revision, *rows):
    return answer(events=rows, storeRevision=revision)


def lister(store):
    return store.list('k/')


def watcher(after, store):
    return store.watch('k/', control.Revision(None, after), 1.0)


def putter(store):
    return store.put('k/1', b'v')


def granter(store):
    return store.grant_lease(3.0)


def renewer(store):
    return store.renew_lease(control.Lease(7, None))


async def outcome(call, store):
    """Returns what is known after a call, or the name of its failure."""
    try:
        result = await call(store)
    except control.StoreFailed as exc:
        return type(exc).__name__
    if isinstance(result, control.Listing):
        return [item.revision for item in result.items]
    return result


WATCH_5 = functools.partial(watcher, 5)
WATCH_6 = functools.partial(watcher, 6)
AGAIN = (listed(5, row('k/1', 5)), listed(6), listed(6))


@pytest.mark.parametrize(
    ('calls', 'answers', 'known'),
    [
        # A key that was deleted meanwhile was still seen.
        ((lister, lister), AGAIN, []),
        # A change that is known was made once more, and undid a later one.
        (
            (WATCH_5, WATCH_6),
            (watched(6, row('k/1', 6)), *[watched(7, row('k/1', 7))] * 2),
            [7],
        ),
        # An answer to another kind of call was a fault of the client.
        (
            (lister, WATCH_5),
            (listed(5), *[watched(6, row('k/1', 6))] * 2),
            [6],
        ),
        # A watch that had not waited confirmed a view that was older.
        (
            (WATCH_5, WATCH_5),
            (watched(5), *[watched(6, row('k/1', 6))] * 2),
            [6],
        ),
        # Refused writes counted as made, and those that were made as refused.
        (
            (putter, putter),
            (answer(revision=6), answer('412 Precondition Failed')),
            'StoreFailed',
        ),
        (
            (putter, putter),
            (answer('412 Precondition Failed'), answer(revision=6)),
            control.Revision(None, 6),
        ),
        # Two keys were attached to one lease.
        (
            (granter, granter),
            (answer(lease=7, ttlMs=3000), answer(lease=8, ttlMs=3000)),
            'StoreFailed',
        ),
        # A lease that had ended counted as renewed.
        (
            (putter, renewer),
            (answer(revision=6), *[answer('404 Not Found')] * 2),
            'LeaseEnded',
        ),
    ],
)
def test_a_copy_behind_the_next_request_is_not_its_answer(
    calls, answers, known
):
    async def scenario(_server, address):
        store = _store.Store(asyncio.get_running_loop(), address)
        with contextlib.closing(store):
            return [await outcome(call, store) for call in calls]

    results = test_late_duplicates.run(answers, scenario)
    assert results[-1] == known


def test_a_connection_that_got_bytes_while_idle_is_not_used():
    """The loop had not looked at them as the next request was sent."""

    async def scenario():
        loop = asyncio.get_running_loop()
        ours, theirs = socket.socketpair()
        with theirs:
            _transport, conn = await loop.create_connection(
                lambda: _connection.Connection(loop), sock=ours
            )
            pool = _pool.Pool(loop, '127.0.0.1:1', 1)
            pool.open = 1
            conn.send(b'1')
            theirs.send(answer())
            await _whole_response.read_response(conn, 1.0)
            pool.release(conn)
            assert pool._pop_idle(0.0) is conn
            pool._idle.append(conn)
            theirs.send(answer())
            return pool._pop_idle(0.0), pool.open

    assert asyncio.run(scenario()) == (None, 0)

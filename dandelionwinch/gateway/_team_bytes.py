"""Bounds what one team's callers hold of the memory for all callers."""

import collections

from dandelionwinch.gateway import _incoming_request
from dandelionwinch import limits

# What teams hold is added up again after this part of the bound has arrived,
# as the sum takes a look at each connection.
RECHECK_DIVISOR = 32
# Slow readers of the team have made room, or were disconnected, by then.
RETRY_AFTER_S = 1.0


class TeamBytes:
    """The bytes of a server's connections by team.

    Connections without a team are not bounded.

    Args:
        server: The Server.
        max_held_bytes: Bytes that may be held for all callers, or None.
    """

    __slots__ = ('_checked_at', '_max_held_bytes', '_server')

    def __init__(self, server, max_held_bytes):
        self._server = server
        self._max_held_bytes = max_held_bytes
        # Bytes held at the last check, None if the next one may not wait.
        self._checked_at = None

    def check(self, team, held):
        """Checks a team of which bytes have arrived.

        Args:
            team: Name of the team.
            held: Bytes that are held for all callers, at most.

        Raises:
            TooManyBytes: If it holds more than its part, of which nothing
                is left that its callers have not read.
        """
        step = self._max_held_bytes // RECHECK_DIVISOR
        if self._checked_at is not None and held < self._checked_at + step:
            return
        self._checked_at = held
        if self._disconnect() == team:
            self._checked_at = None
            raise _incoming_request.TooManyBytes(
                f'team "{team}" holds over half of what the instance may',
                retry_after_s=RETRY_AFTER_S,
            )

    def enforce(self):
        """Disconnects slow readers of a team that holds more than its part."""
        self._checked_at = None
        if self._max_held_bytes is not None:
            self._disconnect()

    def _disconnect(self):
        """As `enforce`; returns the team if it still holds more, or ''."""
        connections = [conn for conn in self._server.connections if conn.team]
        held = collections.Counter()
        for conn in connections:
            held[conn.team] += conn.held_bytes
        team = limits.team_above_half(held, self._max_held_bytes)
        if not team:
            return ''
        excess = held[team] - self._max_held_bytes // 2
        own = [conn for conn in connections if conn.team == team]
        freed = self._server.abort_unread(own, excess)
        return team if freed < excess else ''

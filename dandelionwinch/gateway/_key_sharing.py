"""Tells other instances which keys changed, and asks them for changes.

An instance that the store rejects, or that is cut off from it, learns of
removed keys in this way.
"""

import collections

from dandelionwinch.gateway import _key_link
from dandelionwinch import teams

TICK_S = 1.0
# Age of the view of the store from which another instance is asked.
MAX_VIEW_AGE_S = 2.0
# Pause between two parts that are sent to all instances: at 390 of them a
# part takes some milliseconds to send.
PART_INTERVAL_S = 0.02
# Instances whose report of a version suffices; others that apply the version
# later need not send it to all again.
TELLERS = 3
# Shortest time between two answers to one instance, which bounds what forged
# questions make this instance send.
ANSWER_INTERVAL_S = 0.5
MAX_ANSWER_PARTS = 100
# Newer versions of which it is kept who reported them.
MAX_VERSIONS = 20


class KeySharing:
    """Exchanges changes of keys with the other instances.

    Args:
        loop: The event loop.
        link: PeerLink.
        fleet: Fleet with the configuration.
        authenticator: The Authenticator that gets what others report.
        log: EventLog.
        rng: Source of randomness.
    """

    __slots__ = (
        '_answered_at',
        '_asked',
        '_asked_at',
        '_authenticator',
        '_fleet',
        '_history',
        '_link',
        '_log',
        '_loop',
        '_pending',
        '_question',
        '_rng',
        '_sender',
        '_tellers',
        '_timer',
    )

    def __init__(self, loop, link, fleet, authenticator, log, rng):
        self._loop = loop
        self._link = _key_link.KeyLink(link, self)
        self._fleet = fleet
        self._authenticator = authenticator
        self._log = log
        self._rng = rng
        self._history = teams.KeyHistory()
        # Instances that sent the last part of a newer version, by version.
        self._tellers = {}
        self._answered_at = {}
        # Parts that are still to be sent to all instances.
        self._pending = collections.deque()
        self._sender = None
        self._timer = None
        self._asked = False
        self._asked_at = 0.0
        self._question = 0

    def start(self):
        """Starts to ask for changes while the store is out of reach."""
        self._tick()

    def close(self):
        """Stops it."""
        for timer in (self._timer, self._sender):
            if timer is not None:
                timer.cancel()

    def apply(self, table):
        """Tells all instances which keys a RouteTable changes.

        Args:
            table: The RouteTable that is in force now.
        """
        found = self._history.apply(table.version, table.teams)
        reports = self._authenticator.reports
        reports.apply(table.version)
        tellers = len(self._tellers.get(table.version, ()))
        for version in [v for v in self._tellers if v <= table.version]:
            del self._tellers[version]
        if found is None:
            return
        self._log.event(
            'keys.changed',
            version=found.version,
            previous=max(found.bases),
            removed=len(found.changes.removed),
            added=len(found.changes.added),
        )
        if tellers < TELLERS:
            self._pending.extend(_key_link.parts_of(found))
            if self._sender is None:
                self._send_part()

    def _send_part(self):
        self._sender = None
        if not self._pending:
            return
        addresses = list(self._link.peers.values())
        self._link.send_report(self._pending.popleft(), 0, None, addresses)
        self._sender = self._loop.call_later(PART_INTERVAL_S, self._send_part)

    def _tick(self):
        self._timer = self._loop.call_later(TICK_S, self._tick)
        age_s = self._authenticator.view_age_s()
        self._authenticator.reports.expire(self._loop.time() - age_s)
        peers = self._link.peers
        if self._fleet.table is None or self._fleet.table.teams is None:
            return
        if not peers or (self._asked and age_s <= MAX_VIEW_AGE_S):
            return
        self._asked = True
        self._question += 1
        self._asked_at = self._loop.time()
        known = self._authenticator.reports.known_version()
        addr = self._rng.choice(list(peers.values()))
        self._link.ask(known, self._question, addr)

    def take_question(self, version, question, sender, addr):
        """Answers an instance that asks for changes after a version."""
        now = self._loop.time()
        self._answered_at = {
            name: at
            for name, at in self._answered_at.items()
            if now - at < ANSWER_INTERVAL_S
        }
        if self._history.version is None or sender in self._answered_at:
            return
        self._answered_at[sender] = now
        left = MAX_ANSWER_PARTS
        for found in self._history.after(version):
            for part in _key_link.parts_of(found):
                if not left:
                    return
                left -= 1
                self._link.send_report(part, question, None, [addr])
        self._send_state(question, addr)

    def _send_state(self, question, addr):
        """Tells an instance that there are no further changes."""
        age_s = self._authenticator.view_age_s()
        told_s = age_s if age_s <= _key_link.MAX_AGE_S else None
        for state in _key_link.parts_of(self._history.state()):
            self._link.send_report(state, question, told_s, [addr])

    def take_report(self, report, question, age_s, sender):
        """Takes in a part of the changes that another instance applied."""
        table = self._fleet.table
        if table is None or table.teams is None:
            return
        reports = self._authenticator.reports
        if report.version > table.version:
            self._take_newer(report, table.version, sender)
        if age_s is None or question != self._question or not question:
            return
        # The question's time is used, as an answer may be delayed.
        if reports.known_version() >= report.version:
            at = self._asked_at - age_s
            self._authenticator.confirmed_at = max(
                self._authenticator.confirmed_at, at
            )

    def _take_newer(self, report, own_version, sender):
        if not report.bases:
            # Its sender has no change that leads there.
            return
        reports = self._authenticator.reports
        if reports.take(report, self._loop.time()):
            self._log_reported(report, own_version, sender)
        self._note_teller(report, sender)

    def _note_teller(self, report, sender):
        if report.part == report.parts - 1 and report.rows:
            tellers = self._tellers.setdefault(report.version, set())
            tellers.add(sender)
            if len(self._tellers) > MAX_VERSIONS:
                del self._tellers[max(self._tellers)]

    def _log_reported(self, report, own_version, sender):
        self._log.event(
            'keys.reported',
            version=report.version,
            own=own_version,
            parts=report.parts,
            peer=sender,
        )

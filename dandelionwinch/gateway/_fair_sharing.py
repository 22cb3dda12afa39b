"""Shares the capacity of each service fairly between teams."""

import math

import attrs

from dandelionwinch import dispatch
from dandelionwinch.gateway import _share_link
from dandelionwinch import limits

TICK_S = 1.0
# Time for which a shortage is told after a request that was not served in
# time, and for which an announcement keeps out those of older holders.
SPAN_S = 5.0


@attrs.frozen
class ShareView:
    """What an instance knows of the shares of one service.

    Attributes:
        service: Name of the service.
        shares: limits.Shares, as this instance found or received them last.
        source: Name of the holder that found them.
        token: Its fencing token.
        age_s: Seconds since then.
        in_force: Whether teams are treated as above their share.
    """

    service: str
    shares: limits.Shares
    source: str
    token: int
    age_s: float
    in_force: bool


class _ServiceShares:
    """The shares of one service, as one instance knows them.

    Attributes:
        counts: CallCounts of this instance.
        totals: CallTotals, of all instances while this one is the holder.
        yielding: YieldingTeams.
        short_until: Time up to which the holder is told the counts.
        told: Whether it was told some in the last period.
    """

    __slots__ = (
        'counts',
        'known_at',
        'shares',
        'short_until',
        'source',
        'token',
        'told',
        'totals',
        'yielding',
    )

    def __init__(self, now):
        self.counts = limits.CallCounts(now)
        self.totals = limits.CallTotals()
        self.yielding = limits.YieldingTeams()
        self.short_until = -math.inf
        self.told = False
        self.shares = limits.Shares()
        self.source, self.token, self.known_at = '', 0, -math.inf

    def take(self, token, shares, source, now):
        """Takes over Shares; tells whether other teams are above theirs."""
        told = {excess.team for excess in self.shares.excesses}
        self.shares, self.source = shares, source
        self.token, self.known_at = token, now
        self.yielding.update(shares.excesses, now)
        return told != {excess.team for excess in shares.excesses}


class FairSharing:
    """Finds which teams want more than their share of a service.

    Each instance counts the requests of teams by service. While some are not
    served in time, it tells the holder of the duties, which calls `announce`
    once a second.

    Args:
        loop: The event loop.
        link: PeerLink.
        fleet: Fleet with the configuration.
        log: EventLog.
        name: Name of the local instance.

    Attributes:
        holder: Function that returns the name of the holder, or ''.
    """

    __slots__ = (
        '_fleet',
        '_link',
        '_log',
        '_loop',
        '_name',
        '_services',
        '_timer',
        'holder',
    )

    def __init__(self, loop, link, fleet, log, name):
        self._loop = loop
        self._link = _share_link.ShareLink(link, self)
        self._fleet = fleet
        self._log = log
        self._name = name
        # _ServiceShares by the name of the service.
        self._services = {}
        self._timer = None
        self.holder = lambda: ''

    def start(self):
        """Starts to tell the holder what was not served in time."""
        self._tick()

    def close(self):
        """Stops it."""
        if self._timer is not None:
            self._timer.cancel()

    @property
    def instances(self):
        """Returns the number of registered instances, this one included."""
        return len(self._link.peers) + 1

    def standing(self, service, team, urgency):
        """Returns the dispatch.Standing of a request.

        It is called once for each request.

        Args:
            service: Name of the service.
            team: Name of its team, '' for none.
            urgency: Urgency of its team.
        """
        now = self._loop.time()
        known = self._services.get(service)
        if not team or known is None or not known.yielding.active(now):
            return dispatch.Standing(urgency)
        yields = known.yielding.yields(team, now)
        return dispatch.Standing(urgency, yields, preferred=not yields)

    def excess(self, service, team):
        """Returns the limits.Excess of a team, None if it has its share."""
        known = self._services.get(service)
        if known is None:
            return None
        return known.yielding.excess(team, self._loop.time())

    def capacity_per_s(self, service):
        """Returns the capacity of a service, 0 if it is not known."""
        known = self._services.get(service)
        return known.shares.capacity if known else 0.0

    def wanted(self, service, team=''):
        """Returns what the teams above their share ask this instance for.

        Args:
            service: Name of the service.
            team: Name of a team that calls just now, or ''.

        Returns:
            Pairs of requests a second and limits.Excess, for teams that
            have called in the last seconds.
        """
        now = self._loop.time()
        known = self._services.get(service)
        if known is None:
            return []
        found = [
            (known.counts.asked_per_s(excess.team, now), excess)
            for excess in known.yielding.excesses(now)
        ]
        return [
            (asked, excess)
            for asked, excess in found
            if asked or excess.team == team
        ]

    def record_asked(self, service, team, request_id):
        """Counts a request that has arrived."""
        if team:
            self._of(service).counts.ask(team, request_id, self._loop.time())

    def record_served(self, service, team, request_id, *, delayed=False):
        """Counts a request that was served.

        Args:
            service: Name of the service.
            team: Name of the team, or ''.
            request_id: Id of the request.
            delayed: Whether it was not served in time as it had to wait.
        """
        if team:
            now = self._loop.time()
            known = self._of(service)
            known.counts.record_served(team, request_id, delayed, now)
            if delayed:
                known.short_until = now + SPAN_S

    def record_refused(self, service, team, request_id):
        """Counts a request that was refused as there was no room."""
        if team:
            now = self._loop.time()
            known = self._of(service)
            known.counts.record_refused(team, request_id, now)
            known.short_until = now + SPAN_S

    def _of(self, service):
        known = self._services.get(service)
        if known is None:
            known = _ServiceShares(self._loop.time())
            self._services[service] = known
        return known

    def announce(self, token):
        """Finds the teams above their share, and tells all instances.

        The holder of the duties calls it once a second.

        Args:
            token: The holder's fencing token.

        Returns:
            limits.Shares by service.
        """
        now = self._loop.time()
        found = {}
        for service, known in self._services.items():
            shares = limits.find_shares(self._loads(known, now))
            found[service] = shares
            # The end of a shortage is told once; it is also assumed by all
            # that hear nothing for some seconds.
            if shares.excesses or known.shares.excesses:
                self._link.send_shares(service, token, shares)
            if shares.demand or known.shares.demand:
                self._take(service, token, shares, self._name)
        return found

    def _loads(self, known, now):
        table = self._fleet.table
        directory = table.teams if table else None
        for name, rates in known.totals.rates(now).items():
            team = directory.team(name) if directory else None
            if team is not None:
                yield limits.TeamLoad(name, *rates, team.priority)

    def _tick(self):
        self._timer = self._loop.call_later(TICK_S, self._tick)
        now = self._loop.time()
        self._forget_services()
        for service, known in self._services.items():
            short = now < known.short_until or known.yielding.active(now)
            rows, span_s = known.counts.end_period(now, short)
            # The end of a shortage is told once.
            if rows or known.told:
                self._tell(service, span_s or TICK_S, rows)
            known.told = bool(rows)

    def _forget_services(self):
        """Drops the services that the configuration no longer has."""
        services = self._fleet.table.services if self._fleet.table else {}
        for service in self._services.keys() - services.keys():
            del self._services[service]

    def _tell(self, service, span_s, rows):
        holder = self.holder()
        if holder == self._name:
            self.take_unserved(service, span_s, rows, holder)
        elif holder in self._link.peers:
            addr = self._link.peers[holder]
            self._link.send_unserved(service, span_s, rows, addr)

    def take_unserved(self, service, span_s, rows, sender):
        """Takes in what an instance counted for one service.

        Services and teams that the configuration does not have are left out,
        as the memory that forged counts take must be bounded.
        """
        table = self._fleet.table
        if table is None or table.teams is None:
            return
        if service not in table.services:
            return
        known = [row for row in rows if table.teams.team(row[0]) is not None]
        if known:
            now = self._loop.time()
            self._of(service).totals.add(sender, known, span_s, now)
        elif not rows and service in self._services:
            self._services[service].totals.clear(sender)

    def take_shares(self, service, token, shares, sender):
        """Takes over what the holder found; of two, the newer one counts."""
        table = self._fleet.table
        if table is None or service not in table.services:
            return
        known = self._of(service)
        fresh = self._loop.time() - known.known_at < SPAN_S
        if not (fresh and token < known.token):
            self._take(service, token, shares, sender)

    def _take(self, service, token, shares, sender):
        now = self._loop.time()
        if self._of(service).take(token, shares, sender, now):
            self._log.event(
                'shares.changed',
                service=service,
                teams={e.team: round(e.ratio, 3) for e in shares.excesses},
                token=token,
                source=sender,
            )

    def view(self):
        """Returns the ShareView of each service with known shares."""
        now = self._loop.time()
        return [
            ShareView(
                service,
                known.shares,
                known.source,
                known.token,
                now - known.known_at,
                known.yielding.active(now),
            )
            for service, known in sorted(self._services.items())
            if known.source
        ]

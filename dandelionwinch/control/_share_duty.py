"""The work of the holder that keeps teams to fair shares."""

import math


def served_per_s(totals, now):
    """Returns the requests a second of each team in the last seconds.

    The running window and the one before it count, so that the rates rest on
    one to two windows.

    Args:
        totals: usage.Totals of all instances.
        now: True time in seconds.
    """
    window = math.floor(now / totals.window_s)
    span_s = now - (window - 1) * totals.window_s
    found = totals.counts(window - 1)
    for team, count in totals.counts(window).items():
        found[team] = found.get(team, 0) + count
    return {team: count / span_s for team, count in found.items()}


class ShareDuty:
    """Tells all instances which teams are above their fair share.

    Args:
        sharing: UsageSharing of the gateway, with the totals.
        fair_sharing: FairSharing of the gateway.
    """

    name = 'shares'

    __slots__ = ('_fair_sharing', '_sharing')

    def __init__(self, sharing, fair_sharing):
        self._sharing = sharing
        self._fair_sharing = fair_sharing

    async def perform(self, authority):
        """Announces the shares, as often as the lease is renewed.

        Args:
            authority: Authority of the holder.
        """
        served = served_per_s(self._sharing.totals, self._sharing.now())
        self._fair_sharing.announce(served, authority.token)

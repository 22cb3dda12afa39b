"""The work of the holder that keeps teams to fair shares."""


class ShareDuty:
    """Tells all instances which teams are above their fair share.

    Args:
        fair_sharing: FairSharing of the gateway.
    """

    name = 'shares'

    __slots__ = ('_fair_sharing',)

    def __init__(self, fair_sharing):
        self._fair_sharing = fair_sharing

    async def perform(self, authority):
        """Announces the shares, as often as the lease is renewed.

        Args:
            authority: Authority of the holder.
        """
        self._fair_sharing.announce(authority.token)

"""Checks the keys of callers."""

from dandelionwinch import errors
from dandelionwinch import teams

# Other instances may be in contact with the store.
RETRY_AFTER_S = 0.5


class OutOfContact(errors.Unready):
    """Keys can't be checked, as their revocation could have been missed."""


class Authenticator:
    """Finds the team of a request by its key.

    Other instances report the keys that changed in versions that this one
    does not have yet. A key that was removed is refused from then on. One that
    was added, or has another team, takes effect with the version itself: a
    request that only a newer version accepts would be followed by others that
    the older one routes.

    Args:
        loop: The event loop.
        cfg: Settings of the instance.

    Attributes:
        confirmed_at: Time at which another instance was in contact with the
            store and knew no changes that are not known here.
        reports: The KeyReports of other instances.
        view_age_s: Function that returns the age of the instance's own view
            of the store in seconds, infinite without a view.
    """

    __slots__ = ('_cfg', '_loop', 'confirmed_at', 'reports', 'view_age_s')

    def __init__(self, loop, cfg):
        self._loop = loop
        self._cfg = cfg
        self.confirmed_at = float('-inf')
        self.reports = teams.KeyReports()
        self.view_age_s = lambda: 0.0

    def authenticate(self, table, route, key):
        """Returns the Team of a request.

        Args:
            table: RouteTable with teams.
            route: Route of the request.
            key: Bytes of the key, or None.

        Returns:
            The Team, None on a public route without a valid key.

        Raises:
            Unauthorized: If the route needs a key and this is none.
            OutOfContact: If the route needs a key and no key is accepted, or
                this one is of a version that is not in force here yet.
        """
        team, awaited = None, False
        if key is not None:
            team, awaited = self._find(table, key)
        if route.public:
            return team
        if awaited or (key is not None and self._out_of_contact()):
            raise OutOfContact(
                'keys cannot be checked at present',
                retry_after_s=RETRY_AFTER_S,
            )
        if team is None:
            raise errors.Unauthorized('the request has no valid key')
        return team

    def _find(self, table, key):
        """Returns the Team of a key, and whether one is still to come."""
        key_digest = teams.digest(key)
        team = table.teams.find_digest(key_digest)
        reported = self.reports.find(key_digest)
        if reported is None or reported.version <= table.version:
            return team, False
        if reported.team is None:
            return None, False
        return team, team is None

    def _out_of_contact(self):
        if not self._cfg.strict_revoke:
            return False
        confirmed_s = self._loop.time() - self.confirmed_at
        return min(self.view_age_s(), confirmed_s) > self._cfg.revoke_s

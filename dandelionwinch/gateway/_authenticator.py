"""Checks the keys of callers."""

from dandelionwinch import errors

# Other instances may be in contact with the store.
RETRY_AFTER_S = 0.5


class OutOfContact(errors.Unready):
    """Keys can't be checked, as their revocation could have been missed."""


class Authenticator:
    """Finds the team of a request by its key.

    Args:
        loop: The event loop.
        cfg: Settings of the instance.
    """

    __slots__ = ('_cfg', '_loop')

    def __init__(self, loop, cfg):
        self._loop = loop
        self._cfg = cfg

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
        """
        team = None if key is None else table.teams.find(key)
        if team is None and not route.public:
            raise errors.Unauthorized('the request has no valid key')
        return team

"""Which instance grants the shares of the limit of an upstream."""

from dandelionwinch import upstreams
from dandelionwinch import utils


def key_of(upstream):
    """Returns the key of one incarnation of an upstream in datagrams.

    Args:
        upstream: The Upstream, or another object with its `entry`.

    Returns:
        Its id, and the digest of its incarnation.
    """
    return upstream.entry.id, upstreams.digest(upstream.entry.incarnation)


class GrantingInstances:
    """Chooses an instance for each upstream, which all choose alike.

    Args:
        link: Object with `peers`, the addresses of the others by name.
        name: Name of the local instance.
        fleet: Fleet.
    """

    __slots__ = ('_fleet', '_link', '_name', '_names', '_owners')

    def __init__(self, link, name, fleet):
        self._link = link
        self._name = name
        self._fleet = fleet
        # Instance of each key, for the names it was chosen from.
        self._owners = {}
        self._names = frozenset()

    def count(self):
        """Returns the number of instances."""
        known = 1 + len(self._link.peers)
        return max(known, round(self._fleet.capacity_ratio))

    def of(self, key):
        """Returns the name of the instance that grants the shares.

        Args:
            key: Key of the upstream, see `key_of`.
        """
        names = self._link.peers.keys()
        if names != self._names:
            self._names = frozenset(names)
            self._owners.clear()
        if key not in self._owners:

            def score(name):
                return utils.rendezvous_score(1.0, *key, name)

            self._owners[key] = max([self._name, *names], key=score)
        return self._owners[key]

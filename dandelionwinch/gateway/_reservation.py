"""Tokens of rate limits that are taken before a request is sent."""


class Reservation:
    """The tokens that one attempt has taken from its upstreams' limits.

    A token is taken when an upstream is chosen, as later requests would
    otherwise be promised the same one, and given back if nothing is sent.

    Args:
        loop: The event loop.
    """

    __slots__ = ('_loop', '_upstreams')

    def __init__(self, loop):
        self._loop = loop
        self._upstreams = []

    def reserve(self, upstream):
        """Takes a token of an upstream; tells whether there was one."""
        if not upstream.rate_limit.take(self._loop.time()):
            return False
        self._upstreams.append(upstream)
        return True

    def use(self, upstream):
        """Uses a token for a request that is sent now.

        Args:
            upstream: The Upstream, reserved or not.

        Returns:
            Whether the request may be sent.
        """
        for index, reserved in enumerate(self._upstreams):
            if reserved is upstream:
                del self._upstreams[index]
                return True
        return upstream.rate_limit.take(self._loop.time())

    def release(self):
        """Gives the tokens back that were not used."""
        for upstream in self._upstreams:
            upstream.rate_limit.give_back(self._loop.time())
        self._upstreams.clear()

"""The proxied links of a soak and their disturbances."""

import asyncio

from dandelionwinch.soak import _proxy


class Links:
    """The proxies of the links to the store, to upstreams and of callers.

    Args:
        rng: Random generator of the soak's faults.
        checks: Checks.
        record_fault: Function of a fault and its target.

    Attributes:
        frontends: Address of the proxy of an instance's callers by frontend
            address.
    """

    __slots__ = ('_checks', '_proxies', '_record_fault', '_rng', 'frontends')

    def __init__(self, rng, checks, record_fault):
        self._rng = rng
        self._checks = checks
        self._record_fault = record_fault
        self._proxies = {'store': [], 'upstream': [], 'caller': []}
        self.frontends = {}

    async def add(self, link, address):
        """Returns a started Proxy of a link to an address."""
        proxy = _proxy.Proxy(address)
        await proxy.start()
        self._proxies[link].append(proxy)
        return proxy

    def choose(self, link):
        """Returns a random Proxy of a link."""
        return self._rng.choice(self._proxies[link])

    async def disturb(self, proxy):
        """Disturbs a link for some time."""
        modes = [m for m in _proxy.Mode if m is not _proxy.Mode.PASS]
        mode = self._rng.choice(modes)
        cut_off = self._checks.begin_cut_off(proxy.name)
        self._checks.record_interruption(proxy.name)
        self._record_fault(mode.value, proxy.name)
        proxy.set_mode(mode)
        span_s = self._rng.uniform(0.5, 3.0)
        for frontend, address in self.frontends.items():
            if address == proxy.address:
                self._checks.record_disturbed(frontend, span_s)
        await asyncio.sleep(span_s)
        proxy.set_mode(_proxy.Mode.PASS)
        cut_off.end = asyncio.get_running_loop().time()

    def _all(self):
        return [proxy for group in self._proxies.values() for proxy in group]

    def restore(self):
        """Ends all disturbances."""
        for proxy in self._all():
            proxy.set_mode(_proxy.Mode.PASS)

    async def close(self):
        """Closes all proxies."""
        for proxy in self._all():
            await proxy.close()

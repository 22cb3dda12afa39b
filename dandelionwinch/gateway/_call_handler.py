"""Serves calls of plain services, which have one complete response."""

from dandelionwinch import dispatch
from dandelionwinch.gateway import _request_handler


class CallHandler(_request_handler.RequestHandler):
    """Serves one call of a plain service."""

    __slots__ = ()

    async def _make_attempt(self):
        """Sends the call to one upstream and relays its response."""
        now = self._loop.time()
        upstream = dispatch.choose_plain(
            self._fleet.registry.serving(self._service),
            self._tried | self._unavailable,
            self._gateway.distances,
            self._gateway.rng,
            now,
        )
        if upstream is None:
            raise self._no_upstream()
        params = self._params(upstream)
        pool, conn = await self._begin_attempt(upstream)
        started_at = self._loop.time()
        async with self._open_exchange(upstream, pool, conn) as exchange:
            response = await exchange.fetch(params, self._read_timeout_s())
        self._accept_response(upstream, response, started_at)

"""A call of a plain service: one upstream, one whole answer."""

from dandelionwinch import dispatch
from dandelionwinch.gateway import _exchange


class Call(_exchange.Exchange):
    """Serves one call of a plain service."""

    __slots__ = ()

    async def _attempt_once(self):
        """Sends the call to one upstream and hands its answer on."""
        now = self._loop.time()
        upstream = dispatch.choose_plain(
            self._fleet.registry.serving(self._service),
            self._tried | self._full,
            self._gateway.distances,
            self._gateway.rng,
            now,
        )
        if upstream is None:
            raise self._nowhere()
        params = self._sending(upstream)
        pool, conn = await self._connect(upstream)
        began = self._loop.time()
        async with self._talk(upstream, pool, conn) as talk:
            answer = await talk.ask(params, self._patience_s())
        self._accept(upstream, answer, began)

"""A call of a plain service: one upstream, one whole answer."""

from dandelionwinch import dispatch
from dandelionwinch.gateway import _request_handler


class Call(_request_handler.Exchange):
    """Serves one call of a plain service."""

    __slots__ = ()

    async def _attempt_once(self):
        """Sends the call to one upstream and hands its answer on."""
        now = self._loop.time()
        belief = dispatch.choose_plain(
            self._fleet.beliefs.serving(self._service),
            self._tried | self._full,
            self._gateway.distances,
            self._gateway.rng,
            now,
        )
        if belief is None:
            raise self._nowhere()
        params = self._sending(belief)
        pool, conn = await self._connect(belief)
        began = self._loop.time()
        async with self._talk(belief, pool, conn) as talk:
            answer = await talk.ask(params, self._patience_s())
        self._accept(belief, answer, began)

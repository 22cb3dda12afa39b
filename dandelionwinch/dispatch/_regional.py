"""Places sessions within their callers' region while it has room.

Over all regions a session has one engine, so that engines see the sum of the
demand, but most prompts cross regions. Here a session has an engine in each
region that asks for it, and its engine over all regions is used while the
region is full.
"""

from dandelionwinch.dispatch import _engines

# Delays of the slowest engine of a region from which the region counts as
# full, and below which it has room again.
FULL_DELAY_S = 0.01
ROOM_DELAY_S = 0.005
# Cost of a prompt token that crosses regions, in tokens read again.
CROSSING_COST_TOKENS = 0.3


class RegionalPlacer(_engines.EnginePlacer):
    """Chooses engines in the caller's region first.

    An instance is in the region of its callers. Whether the region has room
    is judged by the instance's own view of its engines.
    """

    __slots__ = ('_region_is_full',)

    def __init__(self, distances, rng):
        super().__init__(distances, rng)
        self._region_is_full = False

    def _affinity_engines(self, prompt, allowed, groups, now):
        """Returns the engines for a prompt of a session, best first.

        If the rate limit of the engine in the region refuses the prompt, the
        one over all regions follows.
        """
        engines = super()._affinity_engines(prompt, allowed, groups, now)
        near = [e for e in allowed if self._is_near(e)]
        if not near or engines[0] in near or not self._has_room(near, now):
            return engines
        local = max(near, key=self._session_score(prompt, groups, now))
        if not self._move_pays_off(prompt, engines[0], local, now):
            return engines
        return [local, *(e for e in engines if e is not local)]

    def _is_near(self, engine):
        return self._distances.in_region(engine.entry.data_centre)

    def _has_room(self, near, now):
        limit_s = ROOM_DELAY_S if self._region_is_full else FULL_DELAY_S
        slowest_s = max(self._delay_s(engine, now) for engine in near)
        self._region_is_full = slowest_s >= limit_s
        return not self._region_is_full

    def _move_pays_off(self, prompt, home, local, now):
        """Tells whether the bytes outweigh the tokens read again."""
        reread = self._uncached_tokens(prompt, local, now)
        reread -= self._uncached_tokens(prompt, home, now)
        return reread <= CROSSING_COST_TOKENS * prompt.tokens

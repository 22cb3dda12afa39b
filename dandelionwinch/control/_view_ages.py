"""How old what an instance knows of the store is, in several senses."""


class ViewAges:
    """The times of answers of the store, and the ages that follow.

    While nothing of the store's epoch is known, all ages but the time since a
    failure are infinite.

    Args:
        loop: Event loop.
        clock: Function that returns seconds of a clock that runs while the
            machine is suspended.
        relay: ChangeRelay, which knows what other instances told.
        announced: AnnouncedConfig.
        is_current: Function that tells whether the store was listed since
            its last restore.

    Attributes:
        reached_at: Loop time of the last answer of the store.
    """

    __slots__ = (
        '_announced',
        '_clock',
        '_failed_at',
        '_is_current',
        '_loop',
        '_relay',
        '_view_at',
        'reached_at',
    )

    def __init__(self, loop, clock, relay, announced, is_current):
        self._loop = loop
        self._clock = clock
        self._relay = relay
        self._announced = announced
        self._is_current = is_current
        # Time of the clock at which the view was still the store's state.
        self._view_at = float('-inf')
        self._failed_at = float('-inf')
        self.reached_at = float('-inf')

    def answered(self, view_at):
        """Records an answer of the store.

        Args:
            view_at: Earliest time of the clock at which the store can have
                made it.
        """
        self._view_at = view_at
        self.reached_at = self._loop.time()

    def failed(self):
        """Records that a call of the watch failed; returns the loop time."""
        self._failed_at = self._loop.time()
        return self._failed_at

    def failed_s(self):
        """Returns the seconds since a call of the watch failed."""
        return self._loop.time() - self._failed_at

    def view_age_s(self):
        """Returns the seconds for which the store may have changed unseen.

        An answer may have been under way for long, so they count from the
        earliest time at which the store can have made it. `age_s` counts
        from its arrival. What other instances told does not count, as the
        lease of orders relies on this age.
        """
        if not self._is_current():
            return float('inf')
        return self._clock() - self._view_at

    def answer_age_s(self):
        """Returns the seconds since the store answered any instance.

        That is this one, or another one that has told all changes up to
        then, but for a configuration.
        """
        if not self._is_current():
            return float('inf')
        answered_at = max(self.reached_at, self._relay.answered_at())
        return self._loop.time() - answered_at

    def known_age_s(self):
        """Returns the seconds for which all may have changed unseen.

        Unlike `view_age_s`, it counts what other instances told.
        """
        if not self._is_current():
            return float('inf')
        told_age_s = self._loop.time() - self._relay.known_at()
        return min(self.view_age_s(), told_age_s)

    def age_s(self):
        """Returns the seconds since the store last answered.

        If another instance has told all of its view, they count from the
        earliest time of that. A configuration that others told of and that
        was not fetched yet makes the view older.
        """
        if not self._is_current():
            return float('inf')
        known_at = min(self.known_at(), self._announced.missing_at)
        return self._loop.time() - known_at

    def known_at(self):
        """Returns the loop time of the last answer, of any instance."""
        return max(self.reached_at, self._relay.known_at())

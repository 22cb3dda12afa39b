"""Tells whether this instance may have missed a configuration."""

import math

LONGEST_AGE_S = 1e9


class Freshness:
    """Ages of the last certain contact with the store and each data centre.

    An age is taken over from a peer's reply only, counted from before
    the request was sent, so it is never too low. An instance that has
    heard neither from the store nor from a majority of data centres for
    ``cut_off_s`` seconds may hold an old configuration.
    """

    __slots__ = ('_cut_off_s', '_data_centres', '_store_at', 'data_centre')

    def __init__(self, data_centre, cut_off_s):
        self.data_centre = data_centre
        self._cut_off_s = cut_off_s
        self._data_centres = {}
        self._store_at = -math.inf

    def store_read(self, asked_at):
        """Notes a read of the newest revision, by its start time."""
        self._store_at = max(self._store_at, asked_at)

    def merge_ages(self, data_centre, asked_at, digest):
        """Notes a peer's reply.

        Args:
            data_centre: Data centre of the peer.
            asked_at: Time before the request was sent.
            digest: The reply, whose revision is held here as well.
        """
        self._note(data_centre, asked_at)
        for item in digest.data_centres:
            self._note(item.data_centre, asked_at - item.age_s)
        self.store_read(asked_at - digest.store_age_s)

    def _note(self, data_centre, moment):
        self._data_centres[data_centre] = max(
            moment, self._data_centres.get(data_centre, moment)
        )

    def store_age(self, now):
        """Returns seconds since the store surely had nothing newer."""
        return now - self._store_at

    def data_centre_ages(self, now):
        """Returns the age of the last contact by data centre."""
        ages = {
            data_centre: now - at
            for data_centre, at in self._data_centres.items()
        }
        ages[self.data_centre] = 0.0
        return ages

    def add_ages(self, digest, now):
        """Puts the ages into a digest for a peer."""
        digest.store_age_s = min(LONGEST_AGE_S, self.store_age(now))
        for data_centre, age_s in self.data_centre_ages(now).items():
            digest.data_centres.add(data_centre=data_centre, age_s=age_s)

    def is_cut_off(self, data_centres, now):
        """Tells whether new work must be refused.

        Args:
            data_centres: Names of the data centres that have instances.
            now: Time in seconds.
        """
        if self.store_age(now) <= self._cut_off_s:
            return False
        ages = self.data_centre_ages(now)
        met = sum(
            1
            for data_centre in data_centres
            if ages.get(data_centre, math.inf) <= self._cut_off_s
        )
        return 2 * met <= len(data_centres)

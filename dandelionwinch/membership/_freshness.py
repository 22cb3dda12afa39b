"""Tells whether this instance may have missed a configuration."""

import math

LONGEST_AGE_S = 1e9


class Freshness:
    """Ages of the last certain contact with the store and each place.

    An age is taken over from a peer's reply only, counted from before
    the request was sent, so it is never too low. An instance that has
    heard neither from the store nor from a majority of places for
    ``cut_off_s`` seconds may hold an old configuration.
    """

    __slots__ = ('_cut_off_s', '_places', '_store_at', 'place')

    def __init__(self, place, cut_off_s):
        self.place = place
        self._cut_off_s = cut_off_s
        self._places = {}
        self._store_at = -math.inf

    def store_read(self, asked_at):
        """Notes a read of the newest revision, by its start time."""
        self._store_at = max(self._store_at, asked_at)

    def heard(self, place, asked_at, digest):
        """Notes a peer's reply.

        Args:
            place: Place of the peer.
            asked_at: Time before the request was sent.
            digest: The reply, whose revision is held here as well.
        """
        self._note(place, asked_at)
        for item in digest.places:
            self._note(item.place, asked_at - item.age_s)
        self.store_read(asked_at - digest.store_age_s)

    def _note(self, place, moment):
        self._places[place] = max(moment, self._places.get(place, moment))

    def store_age(self, now):
        """Returns seconds since the store surely had nothing newer."""
        return now - self._store_at

    def place_ages(self, now):
        """Returns the age of the last contact by place."""
        ages = {place: now - at for place, at in self._places.items()}
        ages[self.place] = 0.0
        return ages

    def tell(self, digest, now):
        """Puts the ages into a digest for a peer."""
        digest.store_age_s = min(LONGEST_AGE_S, self.store_age(now))
        for place, age_s in self.place_ages(now).items():
            digest.places.add(place=place, age_s=age_s)

    def is_cut_off(self, places, now):
        """Tells whether new work must be refused.

        Args:
            places: Names of the places that have instances.
            now: Time in seconds.
        """
        if self.store_age(now) <= self._cut_off_s:
            return False
        ages = self.place_ages(now)
        met = sum(
            1
            for place in places
            if ages.get(place, math.inf) <= self._cut_off_s
        )
        return 2 * met <= len(places)

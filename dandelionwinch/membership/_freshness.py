"""Decides whether this instance may have missed a configuration."""

import math

# Sent instead of an infinite age.
MAX_AGE_S = 1e9


class Freshness:
    """Ages of the last contact with the store and with each data centre.

    An age is an upper bound: it counts from before the request was sent, and
    ages of peers are adopted only from replies. An instance that has had
    contact neither with the store nor with a majority of data centres for
    ``cut_off_s`` seconds may have an old configuration. Contact with a
    majority is enough, as a revision is accepted only once a majority of
    data centres has it (see revisions.RolloutTracker).
    """

    __slots__ = (
        '_contacted_at',
        '_cut_off_s',
        '_store_read_at',
        'data_centre',
    )

    def __init__(self, data_centre, cut_off_s):
        self.data_centre = data_centre
        self._cut_off_s = cut_off_s
        self._contacted_at = {}
        self._store_read_at = -math.inf

    def store_read(self, sent_at):
        """Records a read of the newest revision.

        Args:
            sent_at: Time before the request was sent.
        """
        self._store_read_at = max(self._store_read_at, sent_at)

    def merge_ages(self, data_centre, sent_at, digest):
        """Merges the ages of a peer's reply.

        Args:
            data_centre: Data centre of the peer.
            sent_at: Time before the request was sent.
            digest: The reply, whose configuration revision this instance has,
                too.
        """
        self._record_contact(data_centre, sent_at)
        for item in digest.data_centres:
            self._record_contact(item.data_centre, sent_at - item.age_s)
        self.store_read(sent_at - digest.store_age_s)

    def _record_contact(self, data_centre, contacted_at):
        self._contacted_at[data_centre] = max(
            contacted_at, self._contacted_at.get(data_centre, contacted_at)
        )

    def store_age(self, now):
        """Returns seconds since the store certainly had no newer revision."""
        return now - self._store_read_at

    def data_centre_ages(self, now):
        """Returns the seconds since the last contact, by data centre."""
        ages = {
            data_centre: now - at
            for data_centre, at in self._contacted_at.items()
        }
        ages[self.data_centre] = 0.0
        return ages

    def add_ages(self, digest, now):
        """Adds the ages to a digest for a peer."""
        digest.store_age_s = min(MAX_AGE_S, self.store_age(now))
        for data_centre, age_s in self.data_centre_ages(now).items():
            digest.data_centres.add(data_centre=data_centre, age_s=age_s)

    def is_cut_off(self, data_centres, now):
        """Returns whether this instance may have an old configuration.

        Args:
            data_centres: Names of the data centres that have instances.
            now: Time in seconds.
        """
        if self.store_age(now) <= self._cut_off_s:
            return False
        ages = self.data_centre_ages(now)
        contacted = sum(
            1
            for data_centre in data_centres
            if ages.get(data_centre, math.inf) <= self._cut_off_s
        )
        return 2 * contacted <= len(data_centres)

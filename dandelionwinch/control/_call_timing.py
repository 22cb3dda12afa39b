"""How long calls to the store wait, and the pauses between them.

The store may come back right after a call was sent that it has lost. That
call fails, and the next one is answered. So that an instance is up to date
`contact_s` after any outage, three times must add up to no more: from the
begin of a call that fails to the begin of the next one (`interval_s`), the
random pause before a listing (`listing_spread_s`), and ANSWER_S.
"""

from dandelionwinch.control import _store

WATCH_TIMEOUT_S = 3.0
# Time for a connection, all pages of a listing, and their application.
ANSWER_S = 0.8
# The shortest `contact_s` that can be kept at all.
MIN_CONTACT_S = _store.CALL_TIMEOUT_S + ANSWER_S
# Pause after a failed call, doubled with each further one, and its jitter.
BACKOFF_S = 0.3
MAX_BACKOFF_S = 1.5
BACKOFF_JITTER = 0.5
# Part of the bound on the age of the view that a watch may take.
STRICT_WATCH_RATIO = 0.5
# Pause between watches, so that each one returns several changes.
COALESCE_S = 0.4
COALESCE_PER_INSTANCE_S = 0.01
MAX_COALESCE_S = 1.2
# After a restore, or if the history is gone, all instances list the store: the
# items that one call returns, and the part of the read rate for these calls.
ITEMS_PER_CALL = 400
LISTING_READ_RATIO = 0.5


class CallTiming:
    """Times of calls to the store, by the number of instances that call it.

    Args:
        cfg: InstanceConfig of the local instance.
        registered: RegisteredInstances.
        fleet: Fleet of the gateway.
        relay: ChangeRelay.
        rng: Random number generator.
    """

    __slots__ = ('_cfg', '_fleet', '_registered', '_relay', '_rng')

    def __init__(self, cfg, registered, fleet, relay, rng):
        self._cfg = cfg
        self._registered = registered
        self._fleet = fleet
        self._relay = relay
        self._rng = rng

    def listing_spread_s(self):
        """Returns the time over which all instances list the store anew."""
        instances = len(self._registered.entries)
        items = instances + len(self._fleet.registry)
        calls = instances * (1 + items // ITEMS_PER_CALL)
        return calls / (LISTING_READ_RATIO * self._cfg.reads_per_s)

    def listing_delay_s(self):
        """Returns the random pause before a listing."""
        return self.listing_spread_s() * self._rng.random()

    def interval_s(self):
        """Returns the longest time between the begins of two calls.

        The first of them fails. No call but a watch can be made shorter than
        CALL_TIMEOUT_S, so that `bound_s` exceeds a `contact_s` that is too
        short for the number of instances.
        """
        left_s = self._cfg.contact_s - ANSWER_S - self.listing_spread_s()
        return max(_store.CALL_TIMEOUT_S, left_s)

    def bound_s(self):
        """Returns the time after an outage within which all is up to date."""
        return self.interval_s() + self.listing_spread_s() + ANSWER_S

    def retry_pause_s(self, failures, taken_s):
        """Returns the pause after a failed call.

        Args:
            failures: Number of calls that failed before it, in a row.
            taken_s: Seconds for which the call lasted.
        """
        backoff_s = min(MAX_BACKOFF_S, BACKOFF_S * 2.0 ** min(failures, 8))
        jitter = 1.0 + BACKOFF_JITTER * (2.0 * self._rng.random() - 1.0)
        left_s = self.interval_s() - taken_s
        return min(backoff_s * jitter, max(0.0, left_s))

    def watch_timeout_s(self, reached_at):
        """Returns the time after which a watch without changes ends.

        With strict revocation of keys the view of the store must not age
        beyond a bound while nothing changes.

        Args:
            reached_at: Time at which the store was last reached.
        """
        wait_s = self.interval_s() - _store.WATCH_MARGIN_S
        wait_s = min(WATCH_TIMEOUT_S, wait_s)
        if self._cfg.strict_revoke:
            wait_s = min(wait_s, STRICT_WATCH_RATIO * self._cfg.revoke_s)
        return self._relay.watch_wait_s(wait_s, reached_at)

    def coalesce_s(self):
        """Returns the pause before the next watch.

        It grows with the number of instances, as all of them call the
        store.
        """
        pause_s = self._relay.coalesce_s()
        if pause_s is not None:
            return pause_s
        instances = len(self._registered.entries)
        return min(
            MAX_COALESCE_S, COALESCE_S + COALESCE_PER_INSTANCE_S * instances
        )

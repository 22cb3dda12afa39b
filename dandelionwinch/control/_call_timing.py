"""How long calls to the store wait, and the pauses between them."""

WATCH_TIMEOUT_S = 3.0
# Part of the bound on the age of the view that a watch may take.
STRICT_WATCH_RATIO = 0.5
# Pause between watches, so that each one returns several changes.
COALESCE_S = 0.4
COALESCE_PER_INSTANCE_S = 0.01
MAX_COALESCE_S = 1.2
# After a restore all instances list the store: the items that one call
# returns, and the part of the store's read rate that these calls may take.
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

    def restore_delay_s(self):
        """Returns the random pause before a listing after a restore."""
        instances = len(self._registered.entries)
        items = instances + len(self._fleet.registry)
        calls = instances * (1 + items // ITEMS_PER_CALL)
        spread_s = calls / (LISTING_READ_RATIO * self._cfg.reads_per_s)
        return spread_s * self._rng.random()

    def watch_timeout_s(self, reached_at):
        """Returns the time after which a watch without changes ends.

        With strict revocation of keys the view of the store must not age
        beyond a bound while nothing changes.

        Args:
            reached_at: Time at which the store was last reached.
        """
        wait_s = WATCH_TIMEOUT_S
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

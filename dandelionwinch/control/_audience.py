"""The instances that are told what changed in the store."""

# Shortest time between two answers to one instance.
ANSWER_INTERVAL_S = 0.2
# Time for which one that asked, or was registered, is told. Its entry may be
# gone as the store turns it away.
LISTENER_S = 3.0


class Audience:
    """Those that are registered, and those that asked.

    Args named `now` are times in seconds.
    """

    __slots__ = ('_answered_at', '_asked', '_registered')

    def __init__(self):
        # Address and end of the time of each instance, by name.
        self._asked = {}
        self._registered = {}
        self._answered_at = {}

    def asked(self, name, addr, now):
        """Records a question."""
        self._asked[name] = (addr, now + LISTENER_S)

    def has_askers(self, now):
        """Tells whether any instance asked of late."""
        return any(until > now for _addr, until in self._asked.values())

    def may_answer(self, name, now):
        """Tells whether an instance may get an answer, and counts it."""
        self._answered_at = {
            other: at
            for other, at in self._answered_at.items()
            if now - at < ANSWER_INTERVAL_S
        }
        return self._answered_at.setdefault(name, now) == now

    def addresses(self, registered, now):
        """Returns the addresses of all that are to be told.

        Args:
            registered: Address of each registered instance, by name.
            now: Time in seconds.
        """
        until = now + LISTENER_S
        for name, addr in registered.items():
            self._registered[name] = (addr, until)
        self._asked = _unexpired(self._asked, now)
        self._registered = _unexpired(self._registered, now)
        listeners = [*self._asked.values(), *self._registered.values()]
        return list(dict.fromkeys(addr for addr, _until in listeners))


def _unexpired(listeners, now):
    return {name: item for name, item in listeners.items() if item[1] > now}

"""Tells the holder of the order lease which demand an instance has.

    ["demand", [[service, done, short], ...]]

The work is in engine seconds a second. A report holds the whole rate of the
last second, so a lost or doubled one does little harm. Datagrams of unknown
senders are dropped.
"""

from dandelionwinch import capacity
from dandelionwinch.gateway import _datagram_rows

KIND = 'demand'
INTERVAL_S = 1.0
MAX_TEXT_CHARS = 128
# Most work that a report may state: more than any instance can pass on.
MAX_WORK = 10_000.0


class DemandLink:
    """Sends this instance's demand, and keeps that of all instances.

    Args:
        loop: The event loop.
        link: PeerLink.
        meter: DemandMeter.
        name: Name of the local instance.
    """

    __slots__ = (
        '_find_holder',
        '_link',
        '_loop',
        '_meter',
        '_name',
        '_reports',
        '_timer',
    )

    def __init__(self, loop, link, meter, name):
        self._loop = loop
        self._link = link
        self._meter = meter
        self._name = name
        self._reports = capacity.DemandReports()
        self._find_holder = None
        self._timer = None
        link.register(KIND, self._take)

    def start(self, find_holder):
        """Starts to send the demand once a second.

        Args:
            find_holder: Function that returns the name of the holder, or ''.
        """
        self._find_holder = find_holder
        if self._timer is None:
            self._timer = self._loop.call_later(INTERVAL_S, self._send)

    def close(self):
        """Stops sending."""
        if self._timer is not None:
            self._timer.cancel()

    def total(self, service, registered):
        """Returns the Demand at all instances, None if none was heard.

        Args:
            service: Name of the service.
            registered: Number of registered instances.
        """
        return self._reports.total(service, registered, self._loop.time())

    def _send(self):
        self._timer = self._loop.call_later(INTERVAL_S, self._send)
        demands = self._meter.take()
        if not demands:
            return
        holder = self._find_holder()
        if holder == self._name:
            self._reports.record(holder, demands, self._loop.time())
        elif holder in self._link.peers:
            rows = [
                [name, round(demand.done, 4), round(demand.short, 4)]
                for name, demand in demands.items()
            ]
            message = [KIND, rows[: _datagram_rows.MAX_ROWS]]
            self._link.send(message, self._link.peers[holder])

    def _take(self, items, addr):
        sender = self._link.name_of(addr)
        (rows,) = items
        demands = dict(
            _read_row(*row) for row in _datagram_rows.checked_rows(rows)
        )
        self._reports.record(sender, demands, self._loop.time())


def _read_row(service, done, short):
    if not isinstance(service, str) or len(service) > MAX_TEXT_CHARS:
        raise ValueError(f'service {str(service)[:MAX_TEXT_CHARS]!r}')
    return service, capacity.Demand(_checked(done), _checked(short))


def _checked(number):
    return float(_datagram_rows.checked_number(number, most=MAX_WORK))

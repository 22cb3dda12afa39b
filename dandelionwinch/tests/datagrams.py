"""Datagrams between instances in virtual time."""

import asyncio
import collections
import json

MIN_LATENCY_S = 0.001
MAX_LATENCY_S = 0.02
MAX_LATE_S = 4.0


class Network:
    """Carries the datagrams of instances, with losses.

    Args:
        rng: Source of randomness.
        loss: Share of the datagrams that are lost.

    Attributes:
        doubled: Share of the datagrams that arrive twice.
        late: Share of the datagrams that arrive up to MAX_LATE_S late.
        sent: Number of datagrams sent.
        sent_by_kind: The same by kind.
        sent_bytes: Their size.
        bytes_by_sender: Size of the datagrams that each address sent.
        bytes_by_receiver: Size of those that were sent to each address.
        cut_off: Addresses that are reached by none and reach none.
    """

    def __init__(self, rng, loss):
        self._rng = rng
        self._loss = loss
        self._links = {}
        self.sent = 0
        self.sent_by_kind = collections.Counter()
        self.sent_bytes = 0
        self.bytes_by_sender = collections.Counter()
        self.bytes_by_receiver = collections.Counter()
        self.cut_off = set()
        self.doubled = 0.0
        self.late = 0.0

    def add(self, link, addr):
        """Connects the PeerLink of an instance."""
        self._links[addr] = link
        link.connection_made(_Transport(self, addr))

    def carry(self, data, sender, addr):
        """Delivers a datagram after some time, or loses it."""
        self.sent += 1
        self.sent_by_kind[json.loads(data)[0]] += 1
        self.sent_bytes += len(data)
        self.bytes_by_sender[sender] += len(data)
        self.bytes_by_receiver[addr] += len(data)
        lost = self._rng.random() < self._loss
        if lost or addr not in self._links or {sender, addr} & self.cut_off:
            return
        copies = 1
        if self.doubled and self._rng.random() < self.doubled:
            copies = 2
        for _copy in range(copies):
            self._deliver(data, sender, self._links[addr])

    def _deliver(self, data, sender, link):
        delay_s = self._rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S)
        if self.late and self._rng.random() < self.late:
            delay_s = self._rng.uniform(MAX_LATENCY_S, MAX_LATE_S)
        asyncio.get_running_loop().call_later(
            delay_s, link.datagram_received, data, sender
        )

    def remove(self, addr):
        """Disconnects an instance that was killed."""
        self._links.pop(addr, None)


class _Transport:
    def __init__(self, network, addr):
        self._network = network
        self._addr = addr

    def sendto(self, data, addr):
        self._network.carry(data, self._addr, addr)

    def close(self):
        pass

"""Datagrams between instances, dispatched by their kind.

Each is a JSON list, the first item of which is its kind. A datagram may be
lost, doubled or forged; what it is used for must bear that.
"""

import asyncio
import json

from dandelionwinch import errors

# Time for which an instance is known after its entry has gone. It may stop
# gracefully, or serve while it is cut off from the store.
KNOWN_AFTER_END_S = 600.0


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives the datagrams of one instance.

    Args:
        loop: The event loop.
        log: EventLog.
        name: Name of the local instance.
    """

    def __init__(self, loop, log, name):
        self._loop = loop
        self._log = log
        self._name = name
        self._transport = None
        self._handlers = {}
        # IP and port of each other instance, by its name.
        self._peers = {}
        # Name of each instance by its IP and port, and the time up to which
        # those that have gone are known.
        self._names = {}
        self._known_until = {}
        self._invalid_logged = False

    @property
    def name(self):
        """Returns the name of the local instance."""
        return self._name

    async def start(self, ip, port):
        """Binds a UDP port; without it this instance hears no other."""
        try:
            await self._loop.create_datagram_endpoint(
                lambda: self, local_addr=(ip, port)
            )
        except OSError as exc:
            self._log.event('peer.not_bound', port=port, reason=str(exc))

    def close(self):
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def register(self, kind, handler):
        """Sets the handler of the datagrams of one kind.

        Args:
            kind: First item of the datagrams.
            handler: Function of the list of the other items and of the
                address of the sender. It may raise errors.SHAPE_ERRORS for
                a malformed datagram, which is then dropped.
        """
        self._handlers[kind] = handler

    def set_peers(self, peers):
        """Sets the instances that exist.

        Args:
            peers: Mapping of name to IP and port; the own name may be in it.
        """
        self._peers = {
            name: addr for name, addr in peers.items() if name != self._name
        }
        names = {tuple(addr): name for name, addr in self._peers.items()}
        if names != self._names:
            self._set_names(names)

    def _set_names(self, names):
        now = self._loop.time()
        for addr in self._names.keys() - names.keys():
            self._known_until.setdefault(addr, now + KNOWN_AFTER_END_S)
            names[addr] = self._names[addr]
        for addr in list(self._known_until):
            if names.get(addr) in self._peers:
                del self._known_until[addr]
            elif self._known_until[addr] <= now:
                del self._known_until[addr], names[addr]
        self._names = names

    def name_of(self, addr):
        """Returns the name of the instance at an address.

        It may have gone up to KNOWN_AFTER_END_S ago.

        Raises:
            ValueError: If no instance is known there.
        """
        name = self._names.get(tuple(addr[:2]))
        if name is None:
            raise ValueError(f'{addr[0]} is no instance')
        return name

    @property
    def bound(self):
        """Whether datagrams can be sent and received."""
        return self._transport is not None

    @property
    def peers(self):
        """Returns the IP and port of each other instance, by its name."""
        return self._peers

    def send(self, message, addr):
        """Sends a list to one instance; it may be lost."""
        self.send_all(message, (addr,))

    def send_all(self, message, addresses):
        """Sends a list to several instances; it is encoded once."""
        if self._transport is None or not addresses:
            return
        data = json.dumps(message, separators=(',', ':')).encode()
        for addr in addresses:
            self._transport.sendto(data, addr)

    def connection_made(self, transport):
        """Stores the transport."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Handles a datagram; a malformed one is dropped."""
        try:
            self._handle(json.loads(data), addr)
        except (
            *errors.SHAPE_ERRORS,
            OverflowError,
            RecursionError,
        ) as exc:
            self._log_invalid(addr, exc)

    def error_received(self, exc):
        """Ignores an instance that is not there; it is not awaited."""

    def _handle(self, message, addr):
        match message:
            case [str(kind), *items] if kind in self._handlers:
                self._handlers[kind](items, addr)
            case _:
                raise ValueError('not a datagram of an instance')

    def _log_invalid(self, addr, exc):
        if not self._invalid_logged:
            self._invalid_logged = True
            self._log.event('peer.invalid', peer=addr[0], reason=repr(exc))

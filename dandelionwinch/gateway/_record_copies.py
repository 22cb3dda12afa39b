"""Keeps the records of streams here and at other instances.

Each record has holders among the instances. What an instance holds ends with
its process, so one that stops hands it over, and one that has started asks
the others for what it should hold.
"""

import asyncio
import collections

from dandelionwinch import streams

# Pause after which an instance that has started asks those that have not
# told all they know, and how often it asks each of them.
LEARN_AGAIN_S = 0.5
LEARN_ATTEMPTS = 4
# After a kill of all instances each one asks all others.
ASKED_AT_ONCE = 64


class RecordCopies:
    """The records that one instance keeps, and their copies elsewhere.

    Args:
        loop: The event loop.
        peer_link: PeerLink to other instances.
        link: StreamLink.
    """

    __slots__ = (
        '_holders',
        '_link',
        '_loop',
        '_peer_link',
        '_peers',
        '_records',
        '_task',
        '_told',
    )

    def __init__(self, loop, peer_link, link):
        self._loop = loop
        self._peer_link = peer_link
        self._link = link
        self._records = streams.VersionRecords()
        self._holders = streams.Holders()
        # What the holders were computed of.
        self._peers = None
        # Addresses of the instances that have told all they know.
        self._told = set()
        self._task = None
        link.on_records = self.take
        link.on_need = self._answer_need

    def close(self):
        """Stops to ask others."""
        if self._task is not None:
            self._task.cancel()

    def get(self, request_id):
        """Returns the version at which a stream began, or None."""
        return self._records.get(request_id, self._loop.time())

    def asked(self, request_id):
        """Returns the addresses of those that are asked for a stream."""
        return self._addresses(self._known_holders().asked(request_id))

    def holders(self, request_id):
        """Returns the addresses of the holders of a record."""
        return self._addresses(self._known_holders().keepers(request_id))

    def _known_holders(self):
        peers = self._peer_link.peers
        if peers is not self._peers:
            self._peers = peers
            self._holders.update(peers)
        return self._holders

    def _addresses(self, names):
        return [self._peer_link.peers[name] for name in names]

    def keep(self, record):
        """Keeps a Record here and at its holders."""
        self.take((record,))
        self._link.tell((record,), self.holders(record.request_id))

    def take(self, records, sender=None, *, last=False):
        """Takes in Records.

        Args:
            records: The Records.
            sender: Address of the instance that told them, or None.
            last: Whether it has told all it knows.
        """
        now = self._loop.time()
        for record in records:
            self._records.put(
                record.request_id, record.version, now, record.left_s
            )
        if last:
            self._told.add(sender)

    def hand_over(self):
        """Sends all records to their holders, as the instance ends."""
        batches = {}
        for record in self._records.all(self._loop.time()):
            for addr in self.holders(record.request_id):
                batches.setdefault(addr, []).append(record)
        for addr, records in batches.items():
            self._link.tell(records, (addr,))

    def learn(self):
        """Begins to ask others for what this instance should hold, once."""
        if self._task is None and self._peer_link.peers:
            self._task = self._loop.create_task(self._ask_all())

    async def _ask_all(self):
        times = collections.Counter()
        while True:
            due = [
                addr
                for addr in self._peer_link.peers.values()
                if addr not in self._told and times[addr] < LEARN_ATTEMPTS
            ]
            if not due:
                return
            due.sort(key=times.__getitem__)
            due = due[:ASKED_AT_ONCE]
            times.update(due)
            self._link.ask_records(self._peer_link.name, due)
            await asyncio.sleep(LEARN_AGAIN_S)

    def _answer_need(self, name, addr):
        """Tells an instance the records that others would ask it for."""
        records = self._records.all(self._loop.time())
        records = self._known_holders().select(records, name)
        self._link.tell(records, (addr,), all_known=True)

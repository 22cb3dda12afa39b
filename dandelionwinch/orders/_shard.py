"""The store record of a shard: its lease and its orders."""

import enum
import json

import attrs
import cattrs

from dandelionwinch import shapes


class OrderState(enum.StrEnum):
    """State of an order.

    Attributes:
        OPEN: Written, and neither done nor rejected so far.
        DONE: The upstream reported that it carried the order out.
        FENCED: The upstream rejected the order by its fencing token.
    """

    OPEN = 'open'
    DONE = 'done'
    FENCED = 'fenced'


@attrs.frozen
class Order:
    """An order to an upstream to change its role.

    Attributes:
        id: Identifier that the upstream reports back.
        epoch: Fencing token, different for each order.
        role: Role that the upstream is to change to.
        source: Catalog revision that set the role, or 0 for a policy.
    """

    id: str
    epoch: int
    upstream: str
    role: str
    source: int = 0
    state: OrderState = OrderState.OPEN


@attrs.frozen
class Shard:
    """The lease and the orders of a shard, stored and updated as one record.

    Attributes:
        epoch: Fencing token; increases with each holder and each order.
        holder: Name of the instance that holds the lease, or ''.
        incarnation: Incarnation of the holder's process.
        renewals: Renewal count; a change shows that the holder is alive.
        released: Whether the holder released the lease.
        orders: The last order of each upstream, by its name.
    """

    epoch: int = 0
    holder: str = ''
    incarnation: int = 0
    renewals: int = 0
    released: bool = True
    orders: dict[str, Order] = attrs.field(factory=dict)

    @classmethod
    def load(cls, value):
        """Decodes a shard from its store value, which may be None.

        Raises:
            MalformedValue: If the value has another shape.
        """
        if not value:
            return cls()
        return shapes.load(value, cls, 'the record of a shard')

    def dump(self):
        """Encodes the shard as its store value."""
        raw = cattrs.unstructure(self)
        return json.dumps(raw, separators=(',', ':')).encode()

    def open_order(self, upstream):
        """Returns the upstream's open order, or None."""
        order = self.orders.get(upstream)
        if order is not None and order.state is OrderState.OPEN:
            return order
        return None

    def with_order(self, order):
        """Returns a copy with the order of one upstream replaced."""
        return attrs.evolve(
            self, orders={**self.orders, order.upstream: order}
        )


def shard_of(pool):
    """Returns the name of a pool's shard, "DATA_CENTRE/MODEL".

    A pool without a model has its service names instead, joined by "+".
    """
    service = pool.model or '+'.join(sorted(pool.services))
    return f'{pool.data_centre}/{service}'


def shard_key(name):
    """Returns the store key of a shard."""
    return f'shards/{name}'

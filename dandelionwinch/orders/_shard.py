"""The store record of a shard: who leads it, and its orders."""

import enum
import json

import attrs
import cattrs


class OrderState(enum.StrEnum):
    """How far an order has come."""

    OPEN = 'open'
    DONE = 'done'
    FENCED = 'fenced'


@attrs.frozen
class Order:
    """An order to an upstream.

    Attributes:
        id: Identifier that the upstream reports back.
        epoch: Fencing number of this order alone.
        role: Role that the upstream shall take.
        source: Catalog revision that asked for it, or 0 for a policy.
    """

    id: str
    epoch: int
    upstream: str
    role: str
    source: int = 0
    state: OrderState = OrderState.OPEN


@attrs.frozen
class Shard:
    """One record: lease and orders change together or not at all.

    Attributes:
        epoch: Fencing number; rises with each holder and order.
        holder: Name of the holding instance, or empty.
        incarnation: Which process of that name.
        renewals: Changes with each renewal, so that watchers see life.
        released: Whether the holder gave the lease up.
        orders: The last order of each upstream.
    """

    epoch: int = 0
    holder: str = ''
    incarnation: int = 0
    renewals: int = 0
    released: bool = True
    orders: dict[str, Order] = attrs.field(factory=dict)

    @classmethod
    def load(cls, value):
        """Reads a shard from its store value, which may be None."""
        if not value:
            return cls()
        return cattrs.structure(json.loads(value), cls)

    def dump(self):
        """Returns the store value."""
        raw = cattrs.unstructure(self)
        return json.dumps(raw, separators=(',', ':')).encode()

    def open_order(self, upstream):
        """Returns the upstream's open order, or None."""
        order = self.orders.get(upstream)
        if order is not None and order.state is OrderState.OPEN:
            return order
        return None

    def with_order(self, order):
        """Returns the shard with an upstream's order replaced."""
        return attrs.evolve(
            self, orders={**self.orders, order.upstream: order}
        )


def shard_of(pool):
    """Returns the name of a pool's shard: its data centre and service."""
    service = pool.model or '+'.join(sorted(pool.services))
    return f'{pool.data_centre}/{service}'


def shard_key(name):
    """Returns the store key of a shard."""
    return f'shards/{name}'

"""Counts of upstreams by data centre and kind."""

import collections
import enum

import attrs

from dandelionwinch import upstreams


class Kind(enum.Enum):
    """Kind of an upstream.

    A RECLAIMABLE one is cheap and may be taken away at short notice.
    """

    ORDINARY = 'ordinary'
    RECLAIMABLE = 'reclaimable'


@attrs.frozen
class Place:
    """A data centre and a kind, whose upstreams one order counts."""

    data_centre: str
    kind: Kind

    @property
    def reclaimable(self):
        """Whether its upstreams may be taken away."""
        return self.kind is Kind.RECLAIMABLE


@attrs.frozen
class View:
    """The upstreams of a service, by their entries in the store.

    Attributes:
        serving: Number of upstreams that accept requests, by Place. Those
            that drain are no capacity.
        draining: Ids of the upstreams that drain, by Place.
        roles: Number of serving upstreams by data centre and Role.
    """

    serving: dict
    draining: dict
    roles: dict

    @property
    def total(self):
        """Number of upstreams that accept requests."""
        return sum(self.serving.values())

    @property
    def has_roles(self):
        """Whether these are engines, which have two roles."""
        return any(
            role is not upstreams.Role.PLAIN for _name, role in self.roles
        )

    def in_data_centre(self, data_centre):
        """Returns the number that accepts requests in a data centre."""
        return sum(
            self.serving.get(Place(data_centre, kind), 0) for kind in Kind
        )

    def spare_decoders(self, data_centre):
        """Returns how many may leave while one that decodes remains.

        An order states a number only, so the platform may choose any of
        them. A data centre without a prefill engine still reads prompts, as
        engines that decode then do both; one without an engine that decodes
        sends its answers elsewhere until a role order is in effect.
        """
        total = self.in_data_centre(data_centre)
        prefill = self.roles.get((data_centre, upstreams.Role.PREFILL), 0)
        return total if not prefill else total - prefill - 1


def view_of(entries):
    """Returns the View of a service.

    Args:
        entries: List of the entries of its upstreams in the store.
    """
    # Plain keys, as 1,600 entries are counted once a second.
    serving = collections.Counter(
        (entry.data_centre, entry.reclaimable, entry.role)
        for entry in entries
        if entry.ready
    )
    counts = collections.Counter()
    roles = collections.Counter()
    for (name, reclaimable, role), count in serving.items():
        counts[name, reclaimable] += count
        roles[name, role] += count
    draining = {}
    for entry in entries:
        if not entry.ready:
            place = _place(entry.data_centre, entry.reclaimable)
            draining.setdefault(place, set()).add(entry.id)
    serving = {_place(*key): count for key, count in counts.items()}
    return View(serving, draining, dict(roles))


def _place(data_centre, reclaimable):
    kind = Kind.RECLAIMABLE if reclaimable else Kind.ORDINARY
    return Place(data_centre, kind)

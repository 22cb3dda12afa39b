"""Statements of the language as data classes."""

import attrs


@attrs.frozen
class Compare:
    """A field compared with a value."""

    field: str
    operator: str
    value: object


@attrs.frozen
class Not:
    """The opposite of a condition."""

    term: object


@attrs.frozen
class All:
    """True if each term is true."""

    terms: tuple


@attrs.frozen
class Any:
    """True if one term is true."""

    terms: tuple


@attrs.frozen
class Show:
    """A query over one table."""

    table: str
    where: object = None
    order_by: str = ''
    descending: bool = False
    limit: int | None = None


@attrs.frozen
class Explain:
    """Asks why a job or an upstream stands as it does."""

    kind: str
    name: str


@attrs.frozen
class Drain:
    """Gives an upstream or an instance no new work."""

    kind: str
    name: str
    revision: int | None = None


@attrs.frozen
class Undrain:
    """Takes a drain back."""

    kind: str
    name: str
    revision: int | None = None


@attrs.frozen
class Retire:
    """Takes an upstream out of service for good."""

    name: str
    revision: int | None = None


@attrs.frozen
class Replace:
    """Drains an upstream and adds another in its place."""

    name: str
    new_name: str
    address: str
    revision: int | None = None


@attrs.frozen
class ChangeRole:
    """Orders an upstream to another role."""

    name: str
    role: str
    revision: int | None = None


@attrs.frozen
class SetFields:
    """Changes fields of a document."""

    kind: str
    name: str
    fields: dict
    revision: int | None = None


@attrs.frozen
class Create:
    """Adds a document."""

    kind: str
    name: str
    fields: dict
    revision: int | None = None


@attrs.frozen
class Remove:
    """Removes a document."""

    kind: str
    name: str
    revision: int | None = None


def is_command(statement):
    """Tells whether a statement changes something."""
    return not isinstance(statement, Show | Explain)

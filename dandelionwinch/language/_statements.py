"""Data classes of statements and their conditions.

The event ``command.committed`` has a command in its text form, so the names
of commands and of their fields are part of the output.
"""

import attrs


@attrs.frozen
class Compare:
    """Condition: a column compared with a value."""

    field: str
    operator: str
    value: object


@attrs.frozen
class Not:
    """Condition: true if the term is false."""

    term: object


@attrs.frozen
class All:
    """Condition: true if every term is true."""

    terms: tuple


@attrs.frozen
class Any:
    """Condition: true if any term is true."""

    terms: tuple


@attrs.frozen
class Show:
    """Query: selects rows of a table."""

    table: str
    where: object = None
    order_by: str = ''
    descending: bool = False
    limit: int | None = None


@attrs.frozen
class Explain:
    """Query: explains the state of a job or an upstream."""

    kind: str
    name: str


@attrs.frozen
class Drain:
    """Command: keeps new work off an upstream or an instance."""

    kind: str
    name: str
    revision: int | None = None


@attrs.frozen
class Undrain:
    """Command: ends a drain."""

    kind: str
    name: str
    revision: int | None = None


@attrs.frozen
class Retire:
    """Command: takes an upstream out of service permanently."""

    name: str
    revision: int | None = None


@attrs.frozen
class Replace:
    """Command: drains an upstream and adds another in its place."""

    name: str
    new_name: str
    address: str
    revision: int | None = None


@attrs.frozen
class ChangeRole:
    """Command: changes the role of an upstream."""

    name: str
    role: str
    revision: int | None = None


@attrs.frozen
class SetFields:
    """Command: changes fields of a document."""

    kind: str
    name: str
    fields: dict
    revision: int | None = None


@attrs.frozen
class Create:
    """Command: adds a document."""

    kind: str
    name: str
    fields: dict
    revision: int | None = None


@attrs.frozen
class Remove:
    """Command: removes a document."""

    kind: str
    name: str
    revision: int | None = None


def is_command(statement):
    """Tells whether a statement is a command, not a query."""
    return not isinstance(statement, Show | Explain)

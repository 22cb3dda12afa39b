"""Data classes of statements and their conditions.

The event ``command.committed`` has a command in its text form, so the names
of commands and of their fields are part of the output.

The ``revision`` of a command is the one that its document must have, else the
command is refused (``if revision 7``); None if the command has no such
condition. It is not the revision that the command makes.
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
    """Query: explains the state of a job or an upstream.

    Attributes:
        kind: ``job`` or ``upstream``.
        name: Identifier of the job or name of the upstream.
    """

    kind: str
    name: str


@attrs.frozen
class Drain:
    """Command: keeps new work off an upstream or an instance.

    Attributes:
        kind: ``upstream`` or ``instance``.
    """

    kind: str
    name: str
    revision: int | None = None


@attrs.frozen
class Undrain:
    """Command: ends a drain.

    Attributes:
        kind: ``upstream`` or ``instance``.
    """

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
    """Command: changes fields of a document.

    Attributes:
        kind: Kind of the document, such as ``pool``.
        fields: New values by field; other fields stay.
    """

    kind: str
    name: str
    fields: dict
    revision: int | None = None


@attrs.frozen
class Create:
    """Command: adds a document.

    Attributes:
        kind: Kind of the document, such as ``pool``.
        fields: Values by field, without the name.
    """

    kind: str
    name: str
    fields: dict
    revision: int | None = None


@attrs.frozen
class Remove:
    """Command: removes a document.

    Attributes:
        kind: Kind of the document, such as ``pool``.
    """

    kind: str
    name: str
    revision: int | None = None


def is_command(statement):
    """Tells whether a statement is a command, not a query."""
    return not isinstance(statement, Show | Explain)

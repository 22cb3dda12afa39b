"""Filtering, sorting and limiting of rows."""

import fnmatch

from dandelionwinch import errors
from dandelionwinch.language import _statements as st


def select(show, rows, columns):
    """Returns the rows that a query selects, in its order.

    Args:
        show: The query.
        rows: List of mappings from column to value.
        columns: Column names of the table.

    Raises:
        StatementInvalid: If the query names a column that does not exist.
    """
    for name in _columns_of(show.where):
        _check_column(name, show.table, columns)
    if show.order_by:
        _check_column(show.order_by, show.table, columns)
    selected = [row for row in rows if _matches(show.where, row)]
    if show.order_by:
        selected.sort(
            key=lambda row: _sort_key(row.get(show.order_by)),
            reverse=show.descending,
        )
    return selected if show.limit is None else selected[: show.limit]


def _check_column(name, table, columns):
    if name not in columns:
        known = ', '.join(columns)
        raise errors.StatementInvalid(
            f'column "{name}" does not exist in table "{table}"; '
            f'it has {known}',
            expected=columns,
        )


def _columns_of(condition):
    match condition:
        case st.Compare(field=field):
            yield field
        case st.Not(term=term):
            yield from _columns_of(term)
        case st.All(terms=terms) | st.Any(terms=terms):
            for term in terms:
                yield from _columns_of(term)


def _sort_key(value):
    """Returns a key that sorts numbers before texts, also in one column."""
    if isinstance(value, bool | int | float):
        return (0, value, '')
    return (1, 0, str(value))


def _matches(condition, row):
    match condition:
        case None:
            return True
        case st.Not(term=term):
            return not _matches(term, row)
        case st.All(terms=terms):
            return all(_matches(term, row) for term in terms)
        case st.Any(terms=terms):
            return any(_matches(term, row) for term in terms)
        case st.Compare():
            return _compare(condition, row.get(condition.field))
    raise TypeError(f'"{condition!r}" is not a condition')


def _compare(compare, value):
    """Evaluates a Compare for the value of its column.

    Two numbers are compared as numbers. If one side is a boolean, both are
    compared as lower-case text, such as ``true``. In all other cases both are
    compared as text, also a number with a number in quotes.
    """
    wanted = compare.value
    if compare.operator == 'like':
        return fnmatch.fnmatchcase(str(value), str(wanted))
    if isinstance(value, bool) or isinstance(wanted, bool):
        value, wanted = str(value).lower(), str(wanted).lower()
    elif not isinstance(value, int | float) or isinstance(wanted, str):
        value, wanted = str(value), str(wanted)
    match compare.operator:
        case '=':
            return value == wanted
        case '!=':
            return value != wanted
        case '<':
            return value < wanted
        case '<=':
            return value <= wanted
        case '>':
            return value > wanted
    return value >= wanted

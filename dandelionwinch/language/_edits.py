"""What a command changes in the configuration."""

from dandelionwinch import errors
from dandelionwinch.language import _statements as st


def edits_of(statement, documents):
    """Works out the new documents of a command.

    Args:
        statement: A command.
        documents: Documents at the newest revision.

    Returns:
        Mapping of path to new bare value; None removes a document.

    Raises:
        Conflict: If the document is at another revision than named,
            or stands in the way.
        NotFound: If a document does not exist.
    """
    path = _path_of(statement)
    _check_revision(statement, path, documents)
    values = documents.values()
    match statement:
        case st.Create(kind=kind, name=name, fields=fields):
            if path in values:
                raise errors.Conflict(f'{kind} "{name}" exists already')
            return {path: {'name': name, **fields}}
        case st.Remove():
            _existing(path, values)
            return {path: None}
        case st.SetFields(fields=fields):
            return {path: {**_existing(path, values), **fields}}
        case st.Drain():
            return _with_state(path, values, 'draining')
        case st.Undrain():
            return _with_state(path, values, 'active')
        case st.Retire():
            return _with_state(path, values, 'retired')
        case st.ChangeRole(role=role):
            return {path: {**_existing(path, values), 'role': role}}
        case st.Replace():
            return _replaced(statement, path, values)
    raise TypeError(f'"{statement!r}" is not a command')


def _path_of(statement):
    kind = getattr(statement, 'kind', 'upstream')
    return f'{kind}/{statement.name}'


def _check_revision(statement, path, documents):
    if statement.revision is None:
        return
    current = documents.revision_of(path)
    if current != statement.revision:
        raise errors.Conflict(
            f'"{path}" is at revision {current}, not {statement.revision}'
        )


def _existing(path, values):
    if path not in values:
        kind, _, name = path.partition('/')
        raise errors.NotFound(f'{kind} "{name}" does not exist')
    return values[path]


def _with_state(path, values, state):
    if path.startswith('instance/'):
        name = path.partition('/')[2]
        return {path: {'name': name, 'state': state}}
    return {path: {**_existing(path, values), 'state': state}}


def _replaced(statement, path, values):
    old = _existing(path, values)
    new_path = f'upstream/{statement.new_name}'
    if new_path in values:
        raise errors.Conflict(
            f'upstream "{statement.new_name}" exists already'
        )
    new = {
        **old,
        'name': statement.new_name,
        'address': statement.address,
        'state': 'active',
    }
    return {path: {**old, 'state': 'draining'}, new_path: new}

"""Changes of the configuration by commands."""

from dandelionwinch import errors
from dandelionwinch.language import _statements as st


def edits_of(statement, documents):
    """Returns the documents that a command changes.

    Args:
        statement: A command.
        documents: revisions.Documents at the newest revision.

    Returns:
        Mapping of path to new untyped document; None removes it.

    Raises:
        Conflict: If the document is not at the revision that the command
            requires, or if a document to be created exists already.
        NotFound: If a document to be changed does not exist.
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
            _existing_value(path, values)
            return {path: None}
        case st.SetFields(fields=fields):
            return {path: {**_existing_value(path, values), **fields}}
        case st.Drain():
            return _with_state(path, values, 'draining')
        case st.Undrain():
            return _with_state(path, values, 'active')
        case st.Retire():
            return _with_state(path, values, 'retired')
        case st.ChangeRole(role=role):
            return {path: {**_existing_value(path, values), 'role': role}}
        case st.Replace():
            return _edits_of_replace(statement, path, values)
    raise TypeError(f'"{statement!r}" is not a command')


def _path_of(statement):
    # Commands without a kind change an upstream.
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


def _existing_value(path, values):
    if path not in values:
        kind, _, name = path.partition('/')
        raise errors.NotFound(f'{kind} "{name}" does not exist')
    return values[path]


def _with_state(path, values, state):
    # An instance may have no document yet; it needs none to run.
    if path.startswith('instance/'):
        name = path.partition('/')[2]
        return {path: {'name': name, 'state': state}}
    return {path: {**_existing_value(path, values), 'state': state}}


def _edits_of_replace(statement, path, values):
    old = _existing_value(path, values)
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

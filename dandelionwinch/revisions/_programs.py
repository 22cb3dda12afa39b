"""Reading and changing the configuration in the store."""

import json

import attrs

from dandelionwinch import effects
from dandelionwinch.revisions import _documents

PREFIX = 'settings/'
HEAD_KEY = 'settings/head'
DOCUMENT_PREFIX = 'settings/doc/'
MAX_ATTEMPTS = 6


@attrs.frozen
class Fetched:
    """Result: all changes up to a revision, from one snapshot."""

    revision: int
    documents: tuple
    store_revision: int


@attrs.frozen
class Unreached:
    """Result: the store gave no answer.

    Attributes:
        uncertain: Whether a write may have taken effect.
    """

    uncertain: bool = False


@attrs.frozen
class Changed:
    """Result: the change is committed as this revision."""

    revision: int


@attrs.frozen
class Rejected:
    """Result: the document is at another revision than was named."""

    path: str
    revision: int


def _load_document(record):
    raw = json.loads(record.value)
    path = record.key.removeprefix(DOCUMENT_PREFIX)
    return _documents.Document(path, raw['revision'], raw['value'])


def _dump_document(document):
    raw = {'revision': document.revision, 'value': document.value}
    return json.dumps(raw, separators=(',', ':')).encode()


def fetch(after):
    """Reads what changed, in one consistent snapshot.

    Args:
        after: Store revision of the last snapshot, or 0 for all.

    Returns:
        Fetched or Unreached. A revision of 0 means that nothing
        changed, or that there is no configuration yet.
    """
    reply = yield effects.Scan(PREFIX, after)
    if not isinstance(reply, effects.Scanned):
        return Unreached()
    revision = 0
    documents = []
    for record in reply.records:
        if record.key == HEAD_KEY:
            revision = json.loads(record.value)['revision']
        else:
            documents.append(_load_document(record))
    return Fetched(revision, tuple(documents), reply.revision)


def change(edit, token):
    """Commits a change to the newest configuration.

    The head and the documents change in one transaction. A lost answer
    is settled by looking for the change's token in the head.

    Args:
        edit: Function from Documents at the newest revision to a
            mapping of path to new bare value (None removes it). It
            may raise, or return a Rejected.
        token: Text that no other change carries.

    Returns:
        Changed, Rejected or Unreached.
    """
    uncertain = False
    for _attempt in range(MAX_ATTEMPTS):
        reply = yield effects.Scan(PREFIX)
        if not isinstance(reply, effects.Scanned):
            return Unreached(uncertain)
        head = effects.Record(HEAD_KEY, None, 0)
        documents = []
        for record in reply.records:
            if record.key == HEAD_KEY:
                head = record
            else:
                documents.append(_load_document(record))
        raw = json.loads(head.value) if head.value else {}
        settled = raw.get('tokens', {}).get(token)
        if settled is not None:
            return Changed(settled)
        held = _documents.Documents()
        held.adopt(raw.get('revision', 0), documents)
        edits = edit(held)
        if isinstance(edits, Rejected):
            return edits
        revision = held.revision + 1
        written = yield _commit_of(head, raw, revision, edits, token)
        match written:
            case effects.Committed():
                return Changed(revision)
            case effects.Uncertain():
                uncertain = True
            case effects.Unavailable():
                return Unreached(uncertain)
    return Unreached(uncertain)


TOKENS_KEPT = 64


def _commit_of(head, raw, revision, edits, token):
    tokens = {**raw.get('tokens', {}), token: revision}
    newest = dict(list(tokens.items())[-TOKENS_KEPT:])
    value = {'revision': revision, 'tokens': newest}
    puts = [effects.Put(HEAD_KEY, json.dumps(value).encode())]
    for path, bare in edits.items():
        document = _documents.Document(path, revision, bare)
        puts.append(
            effects.Put(DOCUMENT_PREFIX + path, _dump_document(document))
        )
    guard = effects.Guard(HEAD_KEY, head.revision)
    return effects.Commit((guard,), tuple(puts))

"""Sans-I/O programs that read and change the stored configuration."""

import json

import attrs

from dandelionwinch import effects
from dandelionwinch.revisions import _documents
from dandelionwinch import shapes

PREFIX = 'settings/'
HEAD_KEY = 'settings/head'
DOCUMENT_PREFIX = 'settings/doc/'
MAX_WRITE_ATTEMPTS = 6


@attrs.frozen
class Fetched:
    """Result: all changes up to a revision, from one snapshot.

    Attributes:
        revision: Configuration revision of the head, or 0 if the head
            did not change or does not exist.
        documents: Tuple with each changed Document.
        store_revision: Store revision of the snapshot.
    """

    revision: int
    documents: tuple
    store_revision: int


@attrs.frozen
class StoreFailure:
    """Result: the store did not answer, or every write conflicted.

    Unlike claims.Unreached, it may follow a write that took effect.

    Attributes:
        uncertain: Whether a write may have taken effect, because its
            reply was lost (effects.Uncertain).
    """

    uncertain: bool = False


@attrs.frozen
class Changed:
    """Result: the change was committed as this revision."""

    revision: int


@attrs.frozen
class Rejected:
    """Result: a document is not at the revision that the change expects.

    Attributes:
        path: Path of the document.
        revision: Revision that the document is at.
    """

    path: str
    revision: int


def _load_document(record):
    path = record.key.removeprefix(DOCUMENT_PREFIX)
    what = f'document "{path}" in the store'
    raw = shapes.parse(record.value, what)
    revision = shapes.field(raw, 'revision', int, what)
    return _documents.Document(path, revision, raw.get('value'))


def _load_head(record):
    """Returns the revision and the change ids of the head record."""
    if not record.value:
        return 0, {}
    what = 'the head of the configuration in the store'
    raw = shapes.parse(record.value, what)
    revision = shapes.field(raw, 'revision', int, what)
    if 'tokens' not in raw:
        return revision, {}
    return revision, shapes.field(raw, 'tokens', dict, what)


def _dump_document(document):
    raw = {'revision': document.revision, 'value': document.value}
    return json.dumps(raw, separators=(',', ':')).encode()


def fetch(store_revision):
    """Reads all changes since a snapshot, in one consistent snapshot.

    Args:
        store_revision: Store revision of the last snapshot, or 0 to read
            everything.

    Returns:
        Fetched or StoreFailure. A configuration revision of 0 means that
        nothing changed, or that there is no configuration yet.

    Raises:
        MalformedValue: If a record has another shape.
    """
    reply = yield effects.Scan(PREFIX, store_revision)
    if not isinstance(reply, effects.Scanned):
        return StoreFailure()
    revision = 0
    documents = []
    for record in reply.records:
        if record.key == HEAD_KEY:
            revision, _change_ids = _load_head(record)
        else:
            documents.append(_load_document(record))
    return Fetched(revision, tuple(documents), reply.revision)


def change(edit, change_id):
    """Commits a change to the newest configuration.

    The head and the documents are written in one transaction. If a reply
    is lost, the next attempt finds the change's id in the head if the
    write took effect, so that no change is committed twice.

    Args:
        edit: Function from Documents at the newest revision to a
            mapping of path to new content (None removes the document),
            or to a Rejected, which is returned. It may raise.
        change_id: String that is unique to this change.

    Returns:
        Changed, Rejected or StoreFailure.

    Raises:
        MalformedValue: If a record has another shape.
    """
    uncertain = False
    for _attempt in range(MAX_WRITE_ATTEMPTS):
        reply = yield effects.Scan(PREFIX)
        if not isinstance(reply, effects.Scanned):
            return StoreFailure(uncertain)
        head = effects.Record(HEAD_KEY, None, 0)
        documents = []
        for record in reply.records:
            if record.key == HEAD_KEY:
                head = record
            else:
                documents.append(_load_document(record))
        head_revision, change_ids = _load_head(head)
        committed_revision = change_ids.get(change_id)
        if committed_revision is not None:
            return Changed(committed_revision)
        newest = _documents.Documents()
        newest.adopt(head_revision, documents)
        edits = edit(newest)
        if isinstance(edits, Rejected):
            return edits
        revision = newest.revision + 1
        written = yield _commit_of(
            head, {**change_ids, change_id: revision}, revision, edits
        )
        match written:
            case effects.Committed():
                return Changed(revision)
            case effects.Uncertain():
                uncertain = True
            case effects.Unavailable():
                return StoreFailure(uncertain)
    return StoreFailure(uncertain)


# Number of newest changes whose ids the head keeps, in its field "tokens".
MAX_CHANGE_IDS = 64


def _commit_of(head, change_ids, revision, edits):
    newest = dict(list(change_ids.items())[-MAX_CHANGE_IDS:])
    value = {'revision': revision, 'tokens': newest}
    puts = [effects.Put(HEAD_KEY, json.dumps(value).encode())]
    for path, content in edits.items():
        document = _documents.Document(path, revision, content)
        puts.append(
            effects.Put(DOCUMENT_PREFIX + path, _dump_document(document))
        )
    guard = effects.Guard(HEAD_KEY, head.revision)
    return effects.Commit((guard,), tuple(puts))

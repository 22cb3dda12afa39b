"""The documents of one instance, at the revision that it holds."""

import attrs


@attrs.frozen
class Document:
    """One document.

    Attributes:
        path: Kind and name, such as ``upstream/lm-1``.
        revision: Configuration revision that wrote it.
        value: Bare value, or None if it was removed.
    """

    path: str
    revision: int
    value: dict | None


class Documents:
    """A set of documents that only moves to higher revisions."""

    __slots__ = ('_by_path', 'revision')

    def __init__(self):
        self._by_path = {}
        self.revision = 0

    def adopt(self, revision, documents):
        """Takes over all changes up to a revision.

        Args:
            revision: Revision that is complete with these documents.
            documents: Documents changed since the one that is held.

        Returns:
            Whether the revision was higher than the one held.
        """
        if revision <= self.revision:
            return False
        for document in documents:
            held = self._by_path.get(document.path)
            if held is None or held.revision < document.revision:
                self._by_path[document.path] = document
        self.revision = revision
        return True

    def changed_since(self, revision):
        """Returns the documents that changed after a revision."""
        return [
            document
            for document in self._by_path.values()
            if document.revision > revision
        ]

    def values(self):
        """Returns the bare values of existing documents by path."""
        return {
            path: document.value
            for path, document in self._by_path.items()
            if document.value is not None
        }

    def revision_of(self, path):
        """Returns the revision that last wrote a document, or 0."""
        document = self._by_path.get(path)
        return document.revision if document else 0

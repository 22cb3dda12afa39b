"""The configuration documents of one instance."""

import attrs


@attrs.frozen
class Document:
    """One configuration document.

    Attributes:
        path: Kind and name, such as ``upstream/lm-1``.
        revision: Configuration revision that last wrote it.
        value: Content, or None if the document was removed.
    """

    path: str
    revision: int
    value: dict | None


class Documents:
    """All documents at one revision, which only ever increases.

    Attributes:
        revision: The configuration revision.
    """

    __slots__ = ('_by_path', 'revision')

    def __init__(self):
        self._by_path = {}
        self.revision = 0

    def adopt(self, revision, documents):
        """Applies all changes up to a revision.

        Args:
            revision: Revision that is complete with these documents.
            documents: Documents that changed since the present revision.

        Returns:
            Whether the revision was higher than the present one.
        """
        if revision <= self.revision:
            return False
        for document in documents:
            present = self._by_path.get(document.path)
            if present is None or present.revision < document.revision:
                self._by_path[document.path] = document
        self.revision = revision
        return True

    def changed_since(self, revision):
        """Returns the documents written after a revision."""
        return [
            document
            for document in self._by_path.values()
            if document.revision > revision
        ]

    def values(self):
        """Returns the contents by path, without removed documents."""
        return {
            path: document.value
            for path, document in self._by_path.items()
            if document.value is not None
        }

    def revision_of(self, path):
        """Returns the revision that last wrote a document, or 0."""
        document = self._by_path.get(path)
        return document.revision if document else 0

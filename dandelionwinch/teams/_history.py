"""The changes of keys that one instance has applied."""

import collections

import attrs

from dandelionwinch.teams import _directory

MAX_VERSIONS = 20


@attrs.frozen
class VersionChanges:
    """How the keys changed from earlier versions to a newer one.

    Attributes:
        bases: Versions with the keys before the change that the instance
            had. The keys of versions that it skipped are not known.
        version: First version with the keys after it.
        changes: The Changes.
    """

    bases: tuple[int, ...]
    version: int
    changes: _directory.Changes


class KeyHistory:
    """Remembers the last MAX_VERSIONS changes of keys.

    Attributes:
        version: The version in force, None while there are no teams.
    """

    __slots__ = ('_bases', '_changes', '_directory', 'version')

    def __init__(self):
        self._changes = collections.deque(maxlen=MAX_VERSIONS)
        self._directory = None
        # Versions with the keys that are in force, the newest last.
        self._bases = collections.deque(maxlen=MAX_VERSIONS)
        self.version = None

    def apply(self, version, directory):
        """Records that a version is in force.

        Args:
            version: Number of the version.
            directory: Its TeamDirectory, or None.

        Returns:
            The VersionChanges, or None if no keys changed, or keys were not
            needed before or are not needed from now on.
        """
        before, self._directory = self._directory, directory
        self.version = None if directory is None else version
        if before is None or directory is None:
            self._changes.clear()
            self._bases.clear()
            self._bases.append(version)
            return None
        changes = directory.changes(before)
        if not changes:
            self._bases.append(version)
            return None
        found = VersionChanges(tuple(self._bases), version, changes)
        self._changes.append(found)
        self._bases.clear()
        self._bases.append(version)
        return found

    def state(self):
        """Returns VersionChanges without changes, to the version in force."""
        bases = tuple(self._bases)[:-1]
        return VersionChanges(bases, self.version, _directory.Changes())

    def after(self, version):
        """Returns the VersionChanges to versions after one, oldest first."""
        return [c for c in self._changes if c.version > version]

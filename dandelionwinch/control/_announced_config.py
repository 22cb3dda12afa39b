"""A configuration that other instances told of, and that is to be read."""

# Pause before a configuration is read again that an answer lacks.
CONFIG_RETRY_S = 0.5


class AnnouncedConfig:
    """When to read the configuration, and what is unknown without it.

    Attributes:
        number: Number of its revision, None if there is none to read.
        due_at: Time at which to read it.
        missing_at: Time up to which all changes are known but for it.
    """

    __slots__ = ('due_at', 'missing_at', 'number')

    def __init__(self):
        self.clear()

    def clear(self):
        """Records that the last configuration is known."""
        self.number = None
        self.due_at = self.missing_at = float('inf')

    def announce(self, number, due_at, known_at):
        """Records that a configuration exists.

        Args:
            number: Number of its revision.
            due_at: Time at which to read it.
            known_at: Time up to which all changes are known.
        """
        if self.number is None:
            self.due_at, self.missing_at = due_at, known_at
        self.number = number

    def watched(self, after, number):
        """Takes an answer to a watch into account.

        A watch that began after the configuration's revision does not
        return it.

        Args:
            after: Number of the revision after which it returned changes.
            number: Number of the revision of the answer.
        """
        if self.number is not None and after < self.number <= number:
            self.clear()

    def read(self, wanted, number, now):
        """Takes an answer to a reading of the configuration into account.

        Args:
            wanted: Number of the revision for which it was read.
            number: Number of the revision of the answer, which may be of a
                copy of the store that lags.
            now: Time in seconds.
        """
        if number < wanted:
            self.due_at = now + CONFIG_RETRY_S
        elif wanted == self.number:
            self.clear()

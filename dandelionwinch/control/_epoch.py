"""The epoch of the store, which rises when it is restored from a backup.

A restored store has lost its last changes and leases, and assigns their
revisions and ids again. So revisions and leases count in their epoch only.

A rise by one is believed at once, as leases and revisions of the earlier
epoch must not be relied on. A rise by more may be two restores of which the
first was missed, or a false header; it takes a second answer. An epoch that
only one answer has stated is given up if two others agree on a lower one.
"""

import enum

import attrs

# A fencing token has the revision in its low bits, and stays below 2**53,
# up to which JSON parsers with floating-point numbers are exact.
REVISION_BITS = 40
MAX_EPOCH = (1 << 13) - 1


@attrs.frozen(order=True)
class Revision:
    """A revision of the store in its epoch.

    Attributes:
        epoch: Epoch of the store, None if it states none.
        number: Number of the revision.
    """

    epoch: int | None
    number: int

    @property
    def fencing_token(self):
        """A number that increases with revisions and with epochs."""
        return ((self.epoch or 0) << REVISION_BITS) + self.number


@attrs.frozen
class Lease:
    """A lease in the store; it ends with its epoch."""

    id: int
    epoch: int | None


class Verdict(enum.Enum):
    """What the epoch that a response states means."""

    FIRST = 'first'
    CURRENT = 'current'
    NEW = 'new'
    # The request was sent before the current epoch was known.
    LATE = 'late'
    MISSING = 'missing'
    # Not late, and yet lower than the current epoch.
    BACKWARD = 'backward'
    # Far above, or lower than an epoch that one answer alone has stated.
    UNCONFIRMED = 'unconfirmed'


def judge(stated, current, at_send, confirmed=True, candidate=None):
    """Returns the Verdict on the epoch of a response.

    Args:
        stated: Epoch of the response, None if it states none.
        current: Epoch that is believed, or None.
        at_send: Value of `current` when the request was sent.
        confirmed: Whether a second response stated `current`.
        candidate: Epoch of an earlier response that is unconfirmed, or
            None.
    """
    if stated is None:
        return Verdict.MISSING if at_send == current else Verdict.LATE
    if current is None:
        return Verdict.FIRST
    if stated == current:
        return Verdict.CURRENT
    if stated < current and at_send != current:
        return Verdict.LATE
    if stated < current and confirmed:
        return Verdict.BACKWARD
    if stated in (current + 1, candidate):
        return Verdict.NEW
    return Verdict.UNCONFIRMED


def parse(text):
    """Returns the epoch in the text of a header, None if there is none."""
    if not (text.isascii() and text.isdigit()):
        return None
    # No more digits than the highest epoch has.
    epoch = int(text) if len(text) <= len(str(MAX_EPOCH)) else MAX_EPOCH + 1
    return epoch if epoch <= MAX_EPOCH else None


class EpochTracker:
    """Follows the epoch that the responses of the store state.

    A response whose epoch is missing, malformed or backward counts as one
    of the current epoch. One that is unconfirmed changes nothing. Each kind
    of these is reported once, the last one when it is refuted.

    Attributes:
        current: Epoch that is believed, None if none was stated.
        on_change: Function that is called with the previous and the new
            epoch at each change.
        on_invalid: Function that is called with a Verdict and the text of
            the first response of a kind that is not valid.
    """

    __slots__ = (
        '_candidate',
        '_confirmed',
        '_reported',
        'current',
        'on_change',
        'on_invalid',
    )

    def __init__(self):
        self._candidate = None
        self._confirmed = False
        self._reported = set()
        self.current = None
        self.on_change = _ignore
        self.on_invalid = _ignore

    @property
    def awaits_confirmation(self):
        """Whether the next response may state a new epoch once more."""
        return self._candidate is not None

    def observe(self, text, at_send):
        """Takes the epoch of a response into account.

        Args:
            text: Text of the response's header, '' if it has none.
            at_send: Value of `current` when the request was sent.

        Returns:
            Whether the response is of the current epoch; if not, it must
            change nothing.
        """
        stated = parse(text)
        verdict = judge(
            stated, self.current, at_send, self._confirmed, self._candidate
        )
        match verdict:
            case Verdict.FIRST:
                self.current = stated
            case Verdict.CURRENT:
                self._confirm()
            case Verdict.NEW:
                self._change(stated)
            case Verdict.UNCONFIRMED:
                self._candidate = stated
            case Verdict.MISSING | Verdict.BACKWARD:
                self._report(verdict, text)
        return verdict not in (Verdict.LATE, Verdict.UNCONFIRMED)

    def _confirm(self):
        self._confirmed = True
        if self._candidate is not None:
            self._report(Verdict.UNCONFIRMED, str(self._candidate))
            self._candidate = None

    def _change(self, epoch):
        previous, self.current = self.current, epoch
        # A candidate was stated before.
        self._confirmed = epoch == self._candidate
        self._candidate = None
        self.on_change(previous, epoch)

    def _report(self, verdict, text):
        expected = not text and self.current is None
        if expected or verdict in self._reported:
            return
        self._reported.add(verdict)
        self.on_invalid(verdict, text)


def _ignore(*_args):
    pass

"""What an instance tells others of the store, and what they do with it."""

import enum

import attrs


@attrs.frozen
class Change:
    """A change of a key.

    Attributes:
        value: Bytes, None if the key was deleted or the value is withheld.
        revision: Number of the revision of the change.
        withheld: Whether the value is too large to be told.
    """

    key: str
    value: bytes | None
    revision: int
    withheld: bool = False


@attrs.frozen
class Message:
    """Changes between two revisions of the store, or a sign of life.

    Attributes:
        epoch: Epoch of the store, None if it states none.
        before: Number of the revision after which the changes begin.
        after: Number of the revision that they lead to.
        listed: Number of the revision of the last listing among them, or
            `before`. Up to it they hold for a receiver at `before` only, as
            a listing lacks what was written and deleted in between.
        sent_s: Time of sending, in seconds of the sender's clock.
        age_s: Time since the store answered the sender, or another one whose
            changes it was told, when it was sent.
        view_age_s: Time for which the store may have changed since the
            sender's view. An answer may have been under way for long, or
            its receiver suspended.
        failed_s: Seconds since a call of the sender to the store failed, or
            None.
        changes: The Change items in their order, None if they are too large.
    """

    epoch: int | None
    before: int
    after: int
    listed: int
    sent_s: float
    age_s: float
    view_age_s: float
    failed_s: float | None
    changes: tuple[Change, ...] | None


class Action(enum.Enum):
    """What a receiver does with a message."""

    APPLY = 'applied'
    # All of it is known here.
    KNOWN = 'known'
    # Changes between the own revision and its first one are missing.
    ASK = 'gap'
    # Only the store can tell what changed.
    WATCH = 'untold'
    # The store may have been restored since the own view.
    CHECK_EPOCH = 'epoch'
    # The message is from before the restore that is known here.
    DROP = 'outdated'


def judge(message, epoch, number):
    """Returns the Action for a message.

    Args:
        message: Message.
        epoch: Epoch of the receiver's view.
        number: Number of the revision of the receiver's view.
    """
    if message.epoch != epoch:
        newer = message.epoch is not None and message.epoch > (epoch or 0)
        return Action.CHECK_EPOCH if newer else Action.DROP
    if message.after <= number:
        return Action.KNOWN
    if message.before > number:
        return Action.ASK
    if message.changes is None or message.before < number < message.listed:
        return Action.WATCH
    return Action.APPLY

"""What may be concluded about a claim without a known outcome."""

import enum

from dandelionwinch.claims import _bucket


class OutcomeStatus(enum.StrEnum):
    """What the back end says of a key."""

    RAN = 'ran'
    NEVER_SEEN = 'never seen'
    INDETERMINATE = 'cannot say'


def needs_resolution(claim, holder_gone):
    """Tells whether a claim's outcome has to be found by others.

    An open claim belongs to its holder as long as that may live.
    """
    if claim.state is _bucket.State.OPEN:
        return holder_gone
    return claim.state is _bucket.State.UNKNOWN


def resolved_state(claim, status, holder_gone, quiet_s, settle_s):
    """Decides what an unfinished claim becomes.

    "Never seen" proves that a call did not run only if nobody can send
    it any more and whatever was under way has arrived or was dropped.

    Args:
        claim: An open or unknown claim.
        proof: What the back end said.
        holder_gone: Whether the holder's process is certainly gone.
        quiet_s: Seconds since the claim last changed.
        settle_s: Longest time that a sent call may be under way.

    Returns:
        The State that it should have, or None to leave it alone.
    """
    if status is OutcomeStatus.RAN:
        return _bucket.State.DONE
    finished = needs_resolution(claim, holder_gone)
    if status is OutcomeStatus.NEVER_SEEN and finished and quiet_s > settle_s:
        return _bucket.State.NOT_RUN
    return _bucket.State.UNKNOWN if finished else None

"""Resolution of claims that have no known outcome."""

import enum

from dandelionwinch.claims import _bucket


class OutcomeStatus(enum.StrEnum):
    """What an upstream reports about a key.

    Attributes:
        RAN: A call with the key ran.
        NEVER_SEEN: No call with the key has arrived so far.
        INDETERMINATE: The upstream does not tell or was not reached.
    """

    RAN = 'ran'
    NEVER_SEEN = 'never seen'
    INDETERMINATE = 'cannot say'


def needs_resolution(claim, holder_gone):
    """Returns whether a claim has to be resolved by another process.

    An open claim is left to its holder, the process that opened it, as
    long as that process may still be alive.
    """
    if claim.state is _bucket.State.OPEN:
        return holder_gone
    return claim.state is _bucket.State.UNKNOWN


def resolved_state(claim, status, holder_gone, unchanged_s, max_transit_s):
    """Returns the state that an open or unknown claim is set to.

    NEVER_SEEN proves that the call did not run only if no process can
    send it any more and a call in transit has arrived or was dropped.

    Args:
        claim: An open or unknown claim.
        status: The OutcomeStatus that the upstream reported.
        holder_gone: Whether the holder's process is certainly gone.
        unchanged_s: Seconds since the claim last changed.
        max_transit_s: Longest time in seconds that a sent call may be in
            transit.

    Returns:
        The new State, or None to leave the claim unchanged.
    """
    if status is OutcomeStatus.RAN:
        return _bucket.State.DONE
    resolvable = needs_resolution(claim, holder_gone)
    if (
        status is OutcomeStatus.NEVER_SEEN
        and resolvable
        and unchanged_s > max_transit_s
    ):
        return _bucket.State.NOT_RUN
    return _bucket.State.UNKNOWN if resolvable else None

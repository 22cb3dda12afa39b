"""What the holder of the lease performs, and what permits it to act."""

import typing

import attrs


@attrs.frozen
class UsageReport:
    """Requests of each team that began to run in a window.

    Attributes:
        window: Number of the window.
        counts: Number of requests, by name of the team.
    """

    window: int
    counts: dict[str, int]


@attrs.frozen
class CapacityOrder:
    """How many upstreams of one kind a service is to have in a data centre.

    Attributes:
        service: Name of the service.
        data_centre: Name of the data centre.
        count: Desired number of upstreams of this kind.
        reclaimable: Whether these are upstreams that can be taken away.
    """

    service: str
    data_centre: str
    count: int
    reclaimable: bool = False


@attrs.frozen
class Accepted:
    """The duty API accepted the call."""


@attrs.frozen
class Refused:
    """The duty API refused the call (409), which had no effect."""


@attrs.frozen
class Throttled:
    """The duty API received too many calls (429); it had no effect.

    Attributes:
        retry_after_s: Seconds to wait, None if the answer states none.
    """

    retry_after_s: float | None = None


@attrs.frozen
class Unanswered:
    """The call may have been accepted.

    Attributes:
        reason: What came in place of an answer.
    """

    reason: str


@attrs.frozen
class NotSent:
    """No byte of the call was sent.

    Attributes:
        reason: Why not.
    """

    reason: str


CallResult = Accepted | Refused | Throttled | Unanswered | NotSent


class LeaseState(typing.Protocol):
    """The state of the local instance's lease, for an Authority."""

    def holds(self, token):
        """Returns whether the lease with this token is held."""

    def may_act(self, token):
        """Returns whether a call of a duty may be sent now."""

    def may_send_order(self, token):
        """Returns whether a role order may be sent now."""

    async def renew(self, token):
        """Renews the lease with this token."""


class Authority:
    """Permission to act under one acquisition of the lease.

    Once that acquisition is lost it permits nothing any more; a later
    acquisition by the same instance has another Authority and token.

    Args:
        name: Name of the instance.
        token: Fencing token of the acquisition.
        lease: The Lease, to which keys of a duty can be attached.
        state: LeaseState.
    """

    __slots__ = ('_state', 'lease', 'name', 'token')

    def __init__(self, name, token, lease, state):
        self.name = name
        self.token = token
        self.lease = lease
        self._state = state

    @property
    def held(self):
        """Whether the lease is held; it permits no call by itself."""
        return self._state.holds(self.token)

    def may_act(self):
        """Returns whether a call of a duty may be sent now.

        To be called right before each send, with no await in between.
        """
        return self._state.may_act(self.token)

    def may_send_order(self):
        """Returns whether a role order may be sent now; see `may_act`."""
        return self._state.may_send_order(self.token)

    async def renew(self):
        """Renews the lease beside the regular renewals.

        Raises:
            StoreFailed: If it may not have been renewed.
        """
        await self._state.renew(self.token)


class Duty(typing.Protocol):
    """A duty of the holder.

    Attributes:
        name: Name in events and on the operators' page.
    """

    name: str

    async def perform(self, authority):
        """Does what is due now.

        It is called every leadership.RENEW_INTERVAL_S while the lease is
        held, also before the holder may act, and not while an earlier call
        still runs. StoreFailed and other exceptions are logged. It is
        cancelled if it runs on some time after a loss of the lease or the
        begin of a graceful stop; the API then counts a call in flight as
        unanswered.

        Args:
            authority: Authority.
        """


class DutyApi(typing.Protocol):
    """Client of the API at which duties are performed.

    A call waits for its turn and a connection, and then checks `may_act`
    right before its bytes leave.
    """

    async def report_usage(self, holder, token, report, may_act):
        """Reports usage.

        Args:
            holder: Name of the instance.
            token: Fencing token.
            report: UsageReport.
            may_act: Function that returns whether the call may be sent, such
                as `Authority.may_act`.

        Returns:
            Accepted, Refused, Throttled, Unanswered or NotSent.
        """

    async def order_capacity(self, holder, token, order, may_act):
        """Orders upstreams; like `report_usage`, with a CapacityOrder."""

    def close(self):
        """Closes all connections."""

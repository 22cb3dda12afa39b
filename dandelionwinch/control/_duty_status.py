"""What one instance knows of the holder and of its own duties."""

import attrs

from dandelionwinch.control import _duty_calls
from dandelionwinch.control import _epoch


@attrs.frozen
class DutyRow:
    """One duty at this instance.

    Attributes:
        duty: Name of the duty.
        in_flight: Calls without a result.
        last: LastCall, None if this instance made none.
    """

    duty: str
    in_flight: int
    last: _duty_calls.LastCall | None


@attrs.frozen
class DutyStatus:
    """The holder as the store names it, and the duties of this instance.

    Attributes:
        instance: Name of this instance.
        holder: Name of the holder, or ''.
        token: Fencing token of the holder, 0 without one.
        holds: Whether this instance holds the lease.
        may_act: Whether it may send calls now.
        candidates: Names of the instances that follow, the first one first.
        view_age_s: Seconds since the store last answered this instance.
        rows: DutyRow of each duty.
    """

    instance: str
    holder: str
    token: int
    holds: bool
    may_act: bool
    candidates: list[str]
    view_age_s: float
    rows: list[DutyRow]


@attrs.frozen
class SharesStatus:
    """What one instance knows of the shares of teams.

    Attributes:
        instance: Name of this instance.
        holder: Name of the holder, or ''.
        token: Fencing token of the holder, 0 without one.
        views: gateway.ShareView of each service.
    """

    instance: str
    holder: str
    token: int
    views: list


def read_shares(cfg, store, sync, views):
    """Returns the SharesStatus of an instance.

    Args:
        cfg: InstanceConfig.
        store: Store.
        sync: StoreSync.
        views: gateway.ShareView of each service.
    """
    return SharesStatus(
        cfg.instance, sync.holder, _holder_token(store, sync), views
    )


def _holder_token(store, sync):
    if not sync.holder:
        return 0
    revision = _epoch.Revision(store.epochs.current, sync.holder_revision)
    return revision.fencing_token


def read(cfg, store, sync, holder, calls):
    """Returns the DutyStatus of an instance.

    Args:
        cfg: InstanceConfig.
        store: Store.
        sync: StoreSync.
        holder: LeaseHolder.
        calls: DutyCalls.
    """
    token = _holder_token(store, sync)
    duties = sorted(cfg.duty_settings.duties, key=lambda duty: duty.value)
    rows = [
        DutyRow(duty.value, calls.in_flight[duty], calls.last.get(duty))
        for duty in duties
    ]
    return DutyStatus(
        cfg.instance,
        sync.holder,
        token,
        holder.token > 0,
        holder.may_act(holder.token),
        sync.candidates(),
        sync.ages.age_s(),
        rows,
    )

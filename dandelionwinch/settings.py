"""Settings of an instance and the operators' catalog, with defaults."""

import enum
import re

import attrs
from attrs import validators

NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
ADDRESS_PATTERN = re.compile(r'(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d+')

MEBIBYTE = 1024 * 1024

_positive = validators.gt(0)
_share = validators.and_(validators.ge(0), validators.le(1))


def _name(_instance, attribute, value):
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(
            f'{attribute.name} "{value}" is not a name of letters, digits, '
            'dots, dashes and underscores'
        )


def _address(_instance, attribute, value):
    if not ADDRESS_PATTERN.fullmatch(value):
        raise ValueError(
            f'{attribute.name} "{value}" is not an IP number and a port, '
            'such as 127.0.0.1:8080'
        )


def _addresses(instance, attribute, values):
    for value in values:
        _address(instance, attribute, value)


class Role(enum.StrEnum):
    """Part of a job that an upstream takes."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    MIXED = 'mixed'
    SERVICE = 'service'


class UpstreamState(enum.StrEnum):
    """What operators want of an upstream."""

    ACTIVE = 'active'
    DRAINING = 'draining'
    RETIRED = 'retired'


class Repeat(enum.StrEnum):
    """Whether a service's call may be executed more than once."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'


class WhenCutOff(enum.StrEnum):
    """What an instance does with new work while it is cut off."""

    REFUSE = 'refuse'
    SERVE = 'serve'


@attrs.frozen(kw_only=True)
class InstanceSettings:
    """Who this process is and where it listens."""

    name: str = attrs.field(validator=_name)
    data_centre: str = attrs.field(validator=_name)
    region: str = attrs.field(validator=_name)
    client_address: str = attrs.field(
        default='127.0.0.1:8080', validator=_address
    )
    peer_address: str = attrs.field(
        default='127.0.0.1:8081', validator=_address
    )
    operator_address: str = attrs.field(
        default='127.0.0.1:8082', validator=_address
    )
    weight: float = attrs.field(default=1.0, validator=_positive)


@attrs.frozen(kw_only=True)
class StoreSettings:
    """How the platform's key-value service is reached."""

    kind: str = attrs.field(default='etcd', validator=validators.in_(['etcd']))
    endpoints: list[str] = attrs.field(
        factory=list, validator=[validators.min_len(1), _addresses]
    )
    prefix: str = '/dandelionwinch/'
    timeout_s: float = attrs.field(default=1.0, validator=_positive)
    poll_s: float = attrs.field(default=30.0, validator=_positive)


@attrs.frozen(kw_only=True)
class LiveListSettings:
    """How the platform's list of instances is reached."""

    kind: str = attrs.field(
        default='endpointslices',
        validator=validators.in_(['endpointslices']),
    )
    address: str = attrs.field(validator=_address)
    namespace: str = 'default'
    poll_s: float = attrs.field(default=2.0, validator=_positive)
    timeout_s: float = attrs.field(default=1.0, validator=_positive)


@attrs.frozen(kw_only=True)
class RelaySettings:
    """Limits of the clients' listener and of upstream connections."""

    threads: int = attrs.field(default=96, validator=_positive)
    max_jobs: int = attrs.field(default=64, validator=_positive)
    max_body_bytes: int = attrs.field(default=MEBIBYTE, validator=_positive)
    max_header_bytes: int = attrs.field(default=16384, validator=_positive)
    max_answer_bytes: int = attrs.field(
        default=8 * MEBIBYTE, validator=_positive
    )
    client_timeout_s: float = attrs.field(default=10.0, validator=_positive)
    connect_timeout_s: float = attrs.field(default=1.0, validator=_positive)
    idle_connection_s: float = attrs.field(default=20.0, validator=_positive)
    silence_factor: float = attrs.field(default=40.0, validator=_positive)
    least_silence_s: float = attrs.field(default=1.5, validator=_positive)
    deadline_s: float = attrs.field(default=60.0, validator=_positive)
    retry_share: float = attrs.field(default=0.2, validator=_share)


@attrs.frozen(kw_only=True)
class TimingSettings:
    """Periods and time limits of the control tasks."""

    beat_s: float = attrs.field(default=0.5, validator=_positive)
    suspect_s: float = attrs.field(default=2.0, validator=_positive)
    forget_s: float = attrs.field(default=30.0, validator=_positive)
    lease_s: float = attrs.field(default=6.0, validator=_positive)
    drift_s: float = attrs.field(default=0.5, validator=_positive)
    load_s: float = attrs.field(default=0.5, validator=_positive)
    answer_valid_s: float = attrs.field(default=2.0, validator=_positive)
    cut_off_s: float = attrs.field(default=4.0, validator=_positive)
    drain_limit_s: float = attrs.field(default=120.0, validator=_positive)
    earnings_s: float = attrs.field(default=2.0, validator=_positive)
    gone_margin_s: float = attrs.field(default=10.0, validator=_positive)


@attrs.frozen(kw_only=True)
class ClaimSettings:
    """Sizes of the record of calls that may not be repeated."""

    buckets: int = attrs.field(default=16, validator=_positive)
    retention_s: float = attrs.field(default=86400.0, validator=_positive)
    max_bucket_bytes: int = attrs.field(default=900_000, validator=_positive)
    max_kept_answer_bytes: int = attrs.field(
        default=2048, validator=validators.ge(0)
    )
    batch_wait_s: float = attrs.field(default=0.01, validator=_positive)
    send_window_s: float = attrs.field(default=2.0, validator=_positive)
    resolve_s: float = attrs.field(default=2.0, validator=_positive)


@attrs.frozen(kw_only=True)
class SecuritySettings:
    """Bearer tokens by role and the files for TLS."""

    client_token: str = ''
    operator_token: str = ''
    peer_token: str = ''
    certificate_file: str = ''
    key_file: str = ''
    authority_file: str = ''


@attrs.frozen(kw_only=True)
class LogSettings:
    """Level and form of log records."""

    level: str = attrs.field(
        default='INFO',
        validator=validators.in_(['DEBUG', 'INFO', 'WARNING', 'ERROR']),
    )
    json: bool = False


@attrs.frozen(kw_only=True)
class EntrySettings:
    """All settings of one entry instance."""

    instance: InstanceSettings
    store: StoreSettings
    live_list: LiveListSettings
    relay: RelaySettings = attrs.field(factory=RelaySettings)
    timing: TimingSettings = attrs.field(factory=TimingSettings)
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)
    security: SecuritySettings = attrs.field(factory=SecuritySettings)
    log: LogSettings = attrs.field(factory=LogSettings)
    when_cut_off: WhenCutOff = WhenCutOff.REFUSE
    events_kept: int = attrs.field(default=4096, validator=_positive)
    catalog_file: str = ''


@attrs.frozen(kw_only=True)
class DataCentre:
    """A data centre of a region."""

    name: str = attrs.field(validator=_name)
    region: str = attrs.field(validator=_name)


@attrs.frozen(kw_only=True)
class Link:
    """The slow, billed way between two regions.

    Attributes:
        latency_s: One-way latency in seconds.
        bytes_per_s: Usable rate.
        price: Seconds of waiting that one gigabyte is worth.
    """

    name: str = attrs.field(validator=_name)
    latency_s: float = attrs.field(default=0.010, validator=_positive)
    bytes_per_s: float = attrs.field(default=1.0e8, validator=_positive)
    price: float = attrs.field(default=0.5, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class Model:
    """A model that clients can name."""

    name: str = attrs.field(validator=_name)
    token_gap_s: float = attrs.field(default=0.041, validator=_positive)
    first_token_s: float = attrs.field(default=1.1, validator=_positive)


@attrs.frozen(kw_only=True)
class Service:
    """A plain service and its rules on repeating a call.

    Attributes:
        repeat: Whether a call may be executed more than once.
        asks_by_key: Whether a back end can tell a call's outcome by key.
        dedupes_by_key: Whether a back end runs a key once by itself.
        hedge: Whether a slow idempotent call may be sent twice.
    """

    name: str = attrs.field(validator=_name)
    repeat: Repeat = Repeat.ONCE
    asks_by_key: bool = False
    dedupes_by_key: bool = False
    hedge: bool = False
    deadline_s: float = attrs.field(default=10.0, validator=_positive)


@attrs.frozen(kw_only=True)
class Pool:
    """Upstreams of one data centre that serve one model or plain services."""

    name: str = attrs.field(validator=_name)
    data_centre: str = attrs.field(validator=_name)
    model: str = ''
    services: list[str] = attrs.field(factory=list)
    policy: str = 'default'


@attrs.frozen(kw_only=True)
class Fleet:
    """A named set of pools."""

    name: str = attrs.field(validator=_name)
    pools: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Upstream:
    """A back end: a model engine or the process of a plain service.

    Attributes:
        accelerators: Accelerators behind the address; for reports only.
        piece_tokens: Size of the pieces in which the engine is counted;
            for reports only.
        checks_fencing: Whether it refuses orders of an older epoch.
    """

    name: str = attrs.field(validator=_name)
    pool: str = attrs.field(validator=_name)
    address: str = attrs.field(validator=_address)
    role: Role = Role.MIXED
    state: UpstreamState = UpstreamState.ACTIVE
    checks_fencing: bool = True
    accelerators: int = attrs.field(default=2, validator=_positive)
    piece_tokens: int = attrs.field(default=2000, validator=_positive)
    prefill_tokens_per_s: float = attrs.field(
        default=20000.0, validator=_positive
    )
    decode_tokens_per_s: float = attrs.field(
        default=2500.0, validator=_positive
    )
    kv_tokens: int = attrs.field(default=400_000, validator=_positive)
    max_batch: int = attrs.field(default=64, validator=_positive)


@attrs.frozen(kw_only=True)
class Policy:
    """How placement and role changes weigh their terms.

    Attributes:
        change_weight: Knob: 0 counts only goodput, 1 avoids changes.
        horizon_s: Time over which a role change must pay for itself.
        away_share: Largest share of a pool that may be away at once.
        role_change_s: Expected time that a role change takes.
    """

    name: str = attrs.field(validator=_name)
    change_weight: float = attrs.field(default=0.2, validator=_share)
    horizon_s: float = attrs.field(default=120.0, validator=_positive)
    away_share: float = attrs.field(default=0.34, validator=_share)
    role_change_s: float = attrs.field(default=8.0, validator=_positive)


@attrs.frozen(kw_only=True)
class Team:
    """A group of clients that shares an admission limit."""

    name: str = attrs.field(validator=_name)
    weight: float = attrs.field(default=1.0, validator=_positive)
    burst_jobs: int = attrs.field(default=32, validator=_positive)
    jobs_per_s: float = attrs.field(default=20.0, validator=_positive)


@attrs.frozen(kw_only=True)
class Instance:
    """What operators want of an entry instance."""

    name: str = attrs.field(validator=_name)
    state: UpstreamState = UpstreamState.ACTIVE


KINDS = {
    'instance': Instance,
    'data_centre': DataCentre,
    'link': Link,
    'model': Model,
    'service': Service,
    'pool': Pool,
    'fleet': Fleet,
    'upstream': Upstream,
    'policy': Policy,
    'team': Team,
}

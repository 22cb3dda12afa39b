"""Settings of the entry daemon and documents of the catalog.

Names of classes and attributes here are in findings that operators read.
"""

import enum
import re

import attrs
from attrs import validators

NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
ADDRESS_PATTERN = re.compile(r'(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d+')

MEBIBYTE = 1024 * 1024

_positive = validators.gt(0)
_ratio = validators.and_(validators.ge(0), validators.le(1))


def _is_name(_instance, attribute, value):
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(
            f'{attribute.name} "{value}" is not a name of letters, digits, '
            'dots, dashes and underscores'
        )


def _is_address(_instance, attribute, value):
    if not ADDRESS_PATTERN.fullmatch(value):
        raise ValueError(
            f'{attribute.name} "{value}" is not an IP number and a port, '
            'such as 127.0.0.1:8080'
        )


def _are_addresses(instance, attribute, values):
    for value in values:
        _is_address(instance, attribute, value)


class Role(enum.StrEnum):
    """Stages of a job that an upstream runs."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    MIXED = 'mixed'
    SERVICE = 'service'


class UpstreamState(enum.StrEnum):
    """State of an upstream or an instance that operators request."""

    ACTIVE = 'active'
    DRAINING = 'draining'
    RETIRED = 'retired'


class Repeat(enum.StrEnum):
    """Retry policy: whether a call may be executed more than once."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'


class WhenCutOff(enum.StrEnum):
    """Whether an instance accepts new work while it is cut off.

    It is cut off while it has had no contact with the store nor with a
    majority of the data centres for `timing.cut_off_s` seconds.
    """

    REFUSE = 'refuse'
    SERVE = 'serve'


@attrs.frozen(kw_only=True)
class InstanceSettings:
    """Identity, location and listen addresses of an instance."""

    name: str = attrs.field(validator=_is_name)
    data_centre: str = attrs.field(validator=_is_name)
    region: str = attrs.field(validator=_is_name)
    client_address: str = attrs.field(
        default='127.0.0.1:8080', validator=_is_address
    )
    peer_address: str = attrs.field(
        default='127.0.0.1:8081', validator=_is_address
    )
    operator_address: str = attrs.field(
        default='127.0.0.1:8082', validator=_is_address
    )
    weight: float = attrs.field(default=1.0, validator=_positive)


@attrs.frozen(kw_only=True)
class StoreSettings:
    """Connection to the key-value store.

    Attributes:
        prefix: Prefix of all keys.
        poll_s: Time between two reads of the settings documents.
    """

    kind: str = attrs.field(default='etcd', validator=validators.in_(['etcd']))
    endpoints: list[str] = attrs.field(
        factory=list, validator=[validators.min_len(1), _are_addresses]
    )
    prefix: str = '/dandelionwinch/'
    timeout_s: float = attrs.field(default=1.0, validator=_positive)
    poll_s: float = attrs.field(default=30.0, validator=_positive)


@attrs.frozen(kw_only=True)
class LiveListSettings:
    """Connection to the platform's list of instances."""

    kind: str = attrs.field(
        default='endpointslices',
        validator=validators.in_(['endpointslices']),
    )
    address: str = attrs.field(validator=_is_address)
    namespace: str = 'default'
    poll_s: float = attrs.field(default=2.0, validator=_positive)
    timeout_s: float = attrs.field(default=1.0, validator=_positive)


@attrs.frozen(kw_only=True)
class RelaySettings:
    """Limits of the client listener and of upstream connections.

    Attributes:
        max_answer_bytes: Largest completion that is relayed.
        idle_connection_s: Seconds after which idle connections to other
            systems are closed.
        silence_factor: Timeout between chunks as a multiple of the
            expected token gap.
        least_silence_s: Minimum timeout between chunks.
        deadline_s: Time after which the relay gives up a model job.
        retry_share: Retries that each successful job earns.
    """

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
    retry_share: float = attrs.field(default=0.2, validator=_ratio)


@attrs.frozen(kw_only=True)
class TimingSettings:
    """Periods and time limits of the control tasks.

    Attributes:
        beat_s: Period of heartbeats.
        suspect_s: Time without a heartbeat after which a peer is suspect;
            multiplied by REMOTE_SUSPECT_RATIO of membership (5) for peers of
            other data centres.
        forget_s: Time without a heartbeat after which a peer is left out
            of digests and, if it is not listed, removed.
        lease_s: Duration of the lease of an order shard.
        drift_s: Margin for clock drift: a lease ends this much earlier for
            its holder and this much later for others.
        load_s: Period of reading the load of upstreams.
        answer_valid_s: Time for which a client may use an address.
        cut_off_s: Time without contact after which an instance is cut off.
        drain_limit_s: Longest wait for running jobs at a shutdown.
        earnings_s: Minimum period of writing the usage totals of
            ``earnings``.
        gone_margin_s: Time that an instance must be absent from the list
            before it counts as gone. Also the longest time that a call or an
            order is assumed to be in flight after it was sent.
    """

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
    """Limits of the claims of calls that must run at most once.

    Attributes:
        buckets: Number of store records that hold the claims.
        retention_s: Time for which the claim of a key is kept.
        max_bucket_bytes: Estimated size of a bucket above which it gets
            no new claims.
        max_kept_answer_bytes: Largest answer that is stored with a claim.
        batch_wait_s: Time for which claims are collected into one write.
        send_window_s: Time after the request for a claim within which the
            call must be sent.
        resolve_s: Period of resolving claims without an outcome.
    """

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
    """Level and format of log records."""

    level: str = attrs.field(
        default='INFO',
        validator=validators.in_(['DEBUG', 'INFO', 'WARNING', 'ERROR']),
    )
    json: bool = False


@attrs.frozen(kw_only=True)
class EntrySettings:
    """All settings of one instance of the entry daemon.

    Attributes:
        when_cut_off: Whether new work is accepted while it is cut off.
        events_kept: Number of newest events that operators can read.
        catalog_file: YAML file of the catalog that is written to the store
            if the store has no configuration yet, or empty.
    """

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

    name: str = attrs.field(validator=_is_name)
    region: str = attrs.field(validator=_is_name)


@attrs.frozen(kw_only=True)
class Link:
    """The network link between regions, which is slow and billed.

    Attributes:
        latency_s: One-way latency in seconds.
        bytes_per_s: Usable rate.
        price: Cost of sending a gigabyte (1e9 bytes), as the seconds of
            waiting that are worth as much. Placement adds it to the expected
            wait.
    """

    name: str = attrs.field(validator=_is_name)
    latency_s: float = attrs.field(default=0.010, validator=_positive)
    bytes_per_s: float = attrs.field(default=1.0e8, validator=_positive)
    price: float = attrs.field(default=0.5, validator=validators.ge(0))


@attrs.frozen(kw_only=True)
class Model:
    """A model that clients can request.

    Attributes:
        token_gap_s: Target time between tokens.
        first_token_s: Target time to first token.
    """

    name: str = attrs.field(validator=_is_name)
    token_gap_s: float = attrs.field(default=0.041, validator=_positive)
    first_token_s: float = attrs.field(default=1.1, validator=_positive)


@attrs.frozen(kw_only=True)
class Service:
    """A plain service and its retry policy.

    Attributes:
        repeat: Whether a call may be executed more than once.
        asks_by_key: Whether its upstreams return the outcome of a call by
            idempotency key.
        dedupes_by_key: Whether its upstreams execute calls with the same
            idempotency key once.
        hedge: Whether a slow idempotent call may be hedged.
    """

    name: str = attrs.field(validator=_is_name)
    repeat: Repeat = Repeat.ONCE
    asks_by_key: bool = False
    dedupes_by_key: bool = False
    hedge: bool = False
    deadline_s: float = attrs.field(default=10.0, validator=_positive)


@attrs.frozen(kw_only=True)
class Pool:
    """Upstreams of one data centre that serve one model or plain services.

    Not a connection pool; those are adapters.connection_pools.
    """

    name: str = attrs.field(validator=_is_name)
    data_centre: str = attrs.field(validator=_is_name)
    model: str = ''
    services: list[str] = attrs.field(factory=list)
    policy: str = 'default'


@attrs.frozen(kw_only=True)
class Fleet:
    """A named set of pools of upstreams."""

    name: str = attrs.field(validator=_is_name)
    pools: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Upstream:
    """A model engine or a process of a plain service.

    Attributes:
        checks_fencing: Whether it refuses orders of an older epoch.
        accelerators: Number of accelerators, for the table of upstreams.
        max_batch: Largest number of jobs that decode at once.
    """

    name: str = attrs.field(validator=_is_name)
    pool: str = attrs.field(validator=_is_name)
    address: str = attrs.field(validator=_is_address)
    role: Role = Role.MIXED
    state: UpstreamState = UpstreamState.ACTIVE
    checks_fencing: bool = True
    accelerators: int = attrs.field(default=2, validator=_positive)
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
    """Weights of placement and role changes.

    Attributes:
        change_weight: From 0, which counts only goodput, to 1, which
            avoids role changes.
        horizon_s: Time over which the gain of a role change must exceed
            its cost.
        away_share: Largest share of a pool that may change roles at once.
        role_change_s: Expected duration of a role change.
    """

    name: str = attrs.field(validator=_is_name)
    change_weight: float = attrs.field(default=0.2, validator=_ratio)
    horizon_s: float = attrs.field(default=120.0, validator=_positive)
    away_share: float = attrs.field(default=0.34, validator=_ratio)
    role_change_s: float = attrs.field(default=8.0, validator=_positive)


@attrs.frozen(kw_only=True)
class Team:
    """Clients that share an admission limit: a token bucket of jobs."""

    name: str = attrs.field(validator=_is_name)
    weight: float = attrs.field(default=1.0, validator=_positive)
    burst_jobs: int = attrs.field(default=32, validator=_positive)
    jobs_per_s: float = attrs.field(default=20.0, validator=_positive)


@attrs.frozen(kw_only=True)
class Instance:
    """State of an instance of the entry daemon that operators request."""

    name: str = attrs.field(validator=_is_name)
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

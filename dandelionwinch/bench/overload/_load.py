"""Loads of the overload bench: engines, kinds of request, and bursts."""

import math
import random

import attrs
from attrs import validators

from dandelionwinch import dispatch
from dandelionwinch import readers

# The worth of an answer grows linearly with its prompt's size up to a limit.
BASE_SIZE_FACTOR = 0.3
MAX_SIZE_FACTOR = 4.0
_positive = validators.gt(0)
_non_negative = validators.ge(0)


@attrs.frozen(kw_only=True)
class EngineGroup:
    """The engines of one data centre.

    Attributes:
        prefill: Number of engines that only prefill.
        decode: Number of engines that decode and can prefill, too.
        slots: Requests that an engine serves at a time.
        queue: Requests that may wait at an engine; it refuses more.
        read_tokens_per_s: Prompt tokens per second of an engine that only
            prefills; one that also decodes has half of it.
        token_s: Seconds to decode one token of an answer.
        kv_tokens: Tokens that fit in the prefix cache of an engine.
        transfer_s: Seconds to transfer the KV cache of one token to
            another engine of the data centre; ten times that to another
            region.
        speeds: Speeds of its engines in their order, as parts of the nominal
            one; 1 for those beyond its end.
    """

    data_centre: str
    prefill: int = attrs.field(default=0, validator=_non_negative)
    decode: int = attrs.field(default=0, validator=_non_negative)
    slots: int = attrs.field(default=24, validator=_positive)
    queue: int = attrs.field(default=72, validator=_positive)
    read_tokens_per_s: float = attrs.field(
        default=400_000.0, validator=_positive
    )
    token_s: float = attrs.field(default=0.001, validator=_positive)
    kv_tokens: int = attrs.field(default=1_000_000, validator=_positive)
    transfer_s: float = attrs.field(default=2.4e-7, validator=_positive)
    speeds: list[float] = attrs.field(
        factory=list, validator=validators.deep_iterable(_positive)
    )

    @property
    def count(self):
        """Returns the number of its engines."""
        return self.prefill + self.decode

    def resized(self, ratio):
        """Returns a group with a multiple of the engines."""
        prefill, decode = (
            max(1, round(count * ratio)) if count else 0
            for count in (self.prefill, self.decode)
        )
        return attrs.evolve(self, prefill=prefill, decode=decode)

    def speed(self, number):
        """Returns the speed of an engine by its position."""
        return self.speeds[number] if number < len(self.speeds) else 1.0


@attrs.frozen(kw_only=True)
class RequestKind:
    """One kind of request.

    A prompt is a block of a template, a block of a session, and a block of
    its own; a block of 0 tokens is left out.

    Attributes:
        per_s: Requests per second outside bursts.
        own_tokens: Mean size of the block that no other prompt has.
        templates: Number of templates to draw from.
        sessions: Number of sessions to draw from.
        events: Mean number of events of an answer.
        event_tokens: Tokens of one event.
        objective_s: Latency objective of the first event.
        pause_s: Longest gap between events of an answer that is in time.
        deadline_s: Time after which the caller gives up.
        worth: Credit of an answer in time, for a prompt of mean size.
        late_worth: Credit of a late one.
    """

    name: str
    per_s: float = attrs.field(validator=_positive)
    own_tokens: float = attrs.field(validator=_positive)
    template_tokens: int = attrs.field(default=0, validator=_non_negative)
    templates: int = attrs.field(default=1, validator=_positive)
    session_tokens: int = attrs.field(default=0, validator=_non_negative)
    sessions: int = attrs.field(default=1, validator=_positive)
    events: float = attrs.field(default=1.0, validator=_positive)
    event_tokens: int = attrs.field(default=1, validator=_positive)
    objective_s: float = attrs.field(default=0.2, validator=_positive)
    pause_s: float = attrs.field(default=0.15, validator=_positive)
    deadline_s: float = attrs.field(default=2.0, validator=_positive)
    worth: float = attrs.field(default=1.0, validator=_positive)
    late_worth: float = attrs.field(default=0.3, validator=_non_negative)

    def resized(self, ratio):
        """Returns the kind with a multiple of the requests and sessions."""
        return attrs.evolve(
            self,
            per_s=self.per_s * ratio,
            sessions=max(1, round(self.sessions * ratio)),
        )


@attrs.frozen(kw_only=True)
class Burst:
    """An interval with more requests or with engines down or slow.

    The factors of bursts that overlap are multiplied.

    Attributes:
        factor: Multiple of the usual request rate.
        kinds: Names of the kinds of request that it multiplies; empty for
            all.
        lost: Names of engines that crash at its start and restart at its
            end.
        slowed: Names of engines that are slower in it.
        slow_factor: How many times as long their work takes.
    """

    start_s: float = attrs.field(validator=_non_negative)
    end_s: float = attrs.field(validator=_positive)
    factor: float = attrs.field(default=1.0, validator=_positive)
    kinds: list[str] = attrs.field(factory=list)
    lost: list[str] = attrs.field(factory=list)
    slowed: list[str] = attrs.field(factory=list)
    slow_factor: float = attrs.field(default=1.0, validator=_positive)


@attrs.frozen(kw_only=True)
class Spells:
    """Short intervals in which engines are slow, one after the other.

    Attributes:
        ratio: Part of the time in which each engine is slow.
        factor: How many times as long its work takes then.
        span_s: Duration of one spell.
    """

    ratio: float = attrs.field(validator=_positive)
    factor: float = attrs.field(validator=_positive)
    span_s: float = attrs.field(validator=_positive)

    def factor_at(self, turn, now):
        """Returns how many times as long work takes that begins now.

        Args:
            turn: Position of the engine among all, from 0 to 1.
            now: Time in seconds.
        """
        period_s = self.span_s / self.ratio
        phase_s = (now + turn * period_s) % period_s
        return self.factor if phase_s < self.span_s else 1.0


@attrs.frozen(kw_only=True)
class Waves:
    """Waves of the demand in each data centre.

    Attributes:
        amplitude: Largest difference from the mean, as a part of it.
        shift: Part of a period by which each data centre is ahead of the one
            before it.
    """

    period_s: float = attrs.field(validator=_positive)
    amplitude: float = attrs.field(validator=_positive)
    shift: float = attrs.field(validator=_non_negative)

    def factor_at(self, number, now):
        """Returns the demand of a data centre as a multiple of its mean."""
        periods = now / self.period_s + number * self.shift
        return 1.0 + self.amplitude * math.sin(2 * math.pi * periods)


@attrs.frozen(kw_only=True)
class Load:
    """One load for the simulation.

    Attributes:
        instances: Instances that place requests, each with a placer of its
            own.
        regions: Region of each data centre. The instances are then in the
            data centres of the engines, in turn, and the round trips follow
            from it. Empty if each data centre is a region and the instances
            are in none.
        round_trip_s: Round trip between an instance and an engine, unless
            the load names regions.
        spells: Spells in which engines are slow, None without any.
        waves: Waves of the demand, None without any. The instances are then
            spread over the data centres of the engines.
    """

    duration_s: float = attrs.field(validator=_positive)
    engines: list[EngineGroup]
    kinds: list[RequestKind]
    bursts: list[Burst] = attrs.field(factory=list)
    spells: Spells | None = None
    waves: Waves | None = None
    instances: int = attrs.field(default=9, validator=_positive)
    regions: dict[str, str] = attrs.field(factory=dict)
    round_trip_s: float = attrs.field(default=0.025, validator=_positive)

    def resized(self, instances):
        """Returns the load with another number of instances.

        The engines of each group are in proportion to the instances; rates
        and sessions are in proportion to the engines.
        """
        ratio = instances / self.instances
        engines = [group.resized(ratio) for group in self.engines]
        growth = sum(g.count for g in engines)
        growth /= sum(g.count for g in self.engines)
        kinds = [kind.resized(growth) for kind in self.kinds]
        return attrs.evolve(
            self, instances=instances, engines=engines, kinds=kinds
        )


@attrs.frozen
class Arrival:
    """One request of a caller.

    Attributes:
        at: Time of arrival in seconds.
        number: Position in the order of arrival.
        instance: Number of the instance that receives it.
        events: Events of its answer.
    """

    at: float
    number: int
    kind: RequestKind
    instance: int
    prompt: dispatch.Prompt
    events: int

    @property
    def size_factor(self):
        """Returns the factor of its worth, 1 for a prompt of mean size."""
        kind = self.kind
        mean = kind.own_tokens + kind.template_tokens + kind.session_tokens
        factor = (
            BASE_SIZE_FACTOR
            + (1 - BASE_SIZE_FACTOR) * self.prompt.tokens / mean
        )
        return min(MAX_SIZE_FACTOR, factor)


def read_load(path):
    """Reads a load from its file.

    Raises:
        SettingsInvalid: With all findings and their places in the file.
    """
    document = readers.read_yaml(path)
    return readers.structure(
        document.value, Load, document.file, document.lines
    )


def arrivals(load, seed):
    """Draws all arrivals of a load, in order of time."""
    rng = random.Random(seed)
    drawn = []
    for kind in load.kinds:
        now = 0.0
        while True:
            per_s = kind.per_s * _rate_factor(load, kind, now)
            now += rng.expovariate(per_s)
            if now >= load.duration_s:
                break
            drawn.append((now, kind))
    drawn.sort(key=lambda pair: pair[0])
    return [
        _draw_arrival(load, number, at, kind, rng)
        for number, (at, kind) in enumerate(drawn)
    ]


def _rate_factor(load, kind, now):
    factor = 1.0
    for burst in load.bursts:
        concerned = not burst.kinds or kind.name in burst.kinds
        if concerned and burst.start_s <= now < burst.end_s:
            factor *= burst.factor
    return factor * sum(_waves(load, now)) / len(load.engines)


def _waves(load, now):
    """Returns the demand of each data centre as a multiple of its mean."""
    if load.waves is None:
        return [1.0] * len(load.engines)
    return [
        load.waves.factor_at(number, now)
        for number in range(len(load.engines))
    ]


def _draw_instance(load, now, rng):
    if load.waves is None:
        return rng.randrange(load.instances)
    factors = _waves(load, now)
    weights = [factors[n % len(factors)] for n in range(load.instances)]
    return rng.choices(range(load.instances), weights)[0]


def _draw_arrival(load, number, at, kind, rng):
    own_tokens = max(1, int(_draw_lognormal(kind.own_tokens, rng)))
    blocks = [(f'own-{number}', own_tokens)]
    if kind.session_tokens:
        session = rng.randrange(kind.sessions)
        blocks.insert(0, (f'{kind.name}-s{session}', kind.session_tokens))
    if kind.template_tokens:
        template = rng.randrange(kind.templates)
        blocks.insert(0, (f'{kind.name}-t{template}', kind.template_tokens))
    events = max(1, round(_draw_lognormal(kind.events, rng)))
    prompt = dispatch.Prompt(
        sum(tokens for _block_id, tokens in blocks),
        events * kind.event_tokens,
        tuple(blocks),
    )
    instance = _draw_instance(load, at, rng)
    return Arrival(at, number, kind, instance, prompt, events)


def _draw_lognormal(mean, rng):
    """Draws from a log-normal distribution with this mean."""
    sigma = 0.8
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)

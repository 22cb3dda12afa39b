"""The load of an overload day: engines, kinds of request, and bursts."""

import math
import random

import attrs
from attrs import validators

from dandelionwinch import dispatch
from dandelionwinch import readers

# An answer's worth grows with the size of its prompt.
BASE_WORTH = 0.3
MOST_WORTH = 4.0
_positive = validators.gt(0)
_not_negative = validators.ge(0)


@attrs.frozen(kw_only=True)
class Engines:
    """Engines of one data centre, and their figures.

    Attributes:
        read_tokens_per_s: Prompt speed of an engine that only reads; one
            that also makes answers has half of it.
        token_s: Seconds that one token of an answer takes.
        transfer_s: Seconds that the KV cache of a token takes to another
            engine of the data centre; ten times that to another region.
    """

    data_centre: str
    prefill: int = attrs.field(default=0, validator=_not_negative)
    decode: int = attrs.field(default=0, validator=_not_negative)
    slots: int = attrs.field(default=24, validator=_positive)
    queue: int = attrs.field(default=72, validator=_positive)
    read_tokens_per_s: float = attrs.field(
        default=400_000.0, validator=_positive
    )
    token_s: float = attrs.field(default=0.001, validator=_positive)
    kv_tokens: int = attrs.field(default=1_000_000, validator=_positive)
    transfer_s: float = attrs.field(default=2.4e-7, validator=_positive)


@attrs.frozen(kw_only=True)
class Kind:
    """One kind of request.

    Attributes:
        templates: Number of first parts, each of which many share.
        sessions: Number of second parts.
        events: Mean number of events of an answer.
        event_tokens: Tokens of one event.
        worth: Credit of an answer within its objective.
        late_worth: Credit of one that is late.
    """

    name: str
    per_s: float = attrs.field(validator=_positive)
    own_tokens: float = attrs.field(validator=_positive)
    template_tokens: int = attrs.field(default=0, validator=_not_negative)
    templates: int = attrs.field(default=1, validator=_positive)
    session_tokens: int = attrs.field(default=0, validator=_not_negative)
    sessions: int = attrs.field(default=1, validator=_positive)
    events: float = attrs.field(default=1.0, validator=_positive)
    event_tokens: int = attrs.field(default=1, validator=_positive)
    objective_s: float = attrs.field(default=0.2, validator=_positive)
    pause_s: float = attrs.field(default=0.15, validator=_positive)
    deadline_s: float = attrs.field(default=2.0, validator=_positive)
    worth: float = attrs.field(default=1.0, validator=_positive)
    late_worth: float = attrs.field(default=0.3, validator=_not_negative)


@attrs.frozen(kw_only=True)
class Burst:
    """A time in which more requests come, or engines are gone.

    Attributes:
        factor: Requests, as a multiple of the usual rate.
        lost: Names of engines that are gone while it lasts.
    """

    start_s: float = attrs.field(validator=_not_negative)
    end_s: float = attrs.field(validator=_positive)
    factor: float = attrs.field(default=1.0, validator=_positive)
    lost: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class Load:
    """A whole day of the model."""

    duration_s: float = attrs.field(validator=_positive)
    engines: list[Engines]
    kinds: list[Kind]
    bursts: list[Burst] = attrs.field(factory=list)
    instances: int = attrs.field(default=9, validator=_positive)
    round_trip_s: float = attrs.field(default=0.025, validator=_positive)


@attrs.frozen
class Arrival:
    """One request of a caller.

    Attributes:
        events: Events of its answer.
    """

    at: float
    number: int
    kind: Kind
    instance: int
    prompt: dispatch.Prompt
    events: int

    @property
    def size_worth(self):
        """Returns the worth by size, about 1 for a prompt of mean size."""
        kind = self.kind
        mean = kind.own_tokens + kind.template_tokens + kind.session_tokens
        grown = BASE_WORTH + (1 - BASE_WORTH) * self.prompt.tokens / mean
        return min(MOST_WORTH, grown)


def read_load(path):
    """Reads a load from its file.

    Raises:
        SettingsInvalid: With all findings and their places.
    """
    document = readers.read_document(path)
    return readers.structure(
        document.value, Load, document.file, document.lines
    )


def arrivals(load, seed):
    """Returns all Arrival of a load, in order of time."""
    rng = random.Random(seed)
    found = []
    for kind in load.kinds:
        now = 0.0
        while True:
            now += rng.expovariate(kind.per_s * _factor(load, now))
            if now >= load.duration_s:
                break
            found.append((now, kind))
    found.sort(key=lambda pair: pair[0])
    return [
        _arrival(load, number, at, kind, rng)
        for number, (at, kind) in enumerate(found)
    ]


def _factor(load, now):
    found = 1.0
    for burst in load.bursts:
        if burst.start_s <= now < burst.end_s:
            found *= burst.factor
    return found


def _arrival(load, number, at, kind, rng):
    own = max(1, int(_around(kind.own_tokens, rng)))
    parts = [(f'own-{number}', own)]
    if kind.session_tokens:
        session = rng.randrange(kind.sessions)
        parts.insert(0, (f'{kind.name}-s{session}', kind.session_tokens))
    if kind.template_tokens:
        template = rng.randrange(kind.templates)
        parts.insert(0, (f'{kind.name}-t{template}', kind.template_tokens))
    events = max(1, round(_around(kind.events, rng)))
    prompt = dispatch.Prompt(
        sum(tokens for _part, tokens in parts),
        events * kind.event_tokens,
        tuple(parts),
    )
    instance = rng.randrange(load.instances)
    return Arrival(at, number, kind, instance, prompt, events)


def _around(mean, rng):
    """Draws from a skewed distribution with a mean."""
    sigma = 0.8
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)

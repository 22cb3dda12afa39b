"""Chooses the engine that a stream moves to."""

import attrs

from dandelionwinch import utils

# Delay that halves an engine's share of the streams.
HALVING_DELAY_S = 0.05
# Share of an engine without a free slot beside one with one.
MIN_WEIGHT = 0.01


@attrs.frozen
class Engine:
    """An engine as a source or a target.

    Attributes:
        id: Its id.
        data_centre: Its data centre.
        region: Its region.
        software_version: Version of its software.
        reclaimable: Whether it may be taken away at short notice.
        decodes: Whether it decodes.
        free_slots: Requests that this instance may still send to it.
        delay_s: Its delay.
    """

    id: str
    data_centre: str
    region: str
    software_version: str
    reclaimable: bool
    decodes: bool
    free_slots: float
    delay_s: float


def choose_target(source, engines, exclude, key):
    """Returns the id of the engine that a stream moves to, or None.

    Near engines go first, then those that are not reclaimable. Among equal
    ones, weighted rendezvous hashing by the stream spreads the streams, also
    those of other instances.

    Args:
        source: Engine that leaves.
        engines: Engines that serve.
        exclude: Ids of engines that are not to be chosen.
        key: Id of the stream.
    """
    usable = [
        engine
        for engine in engines
        if engine.id not in exclude and _may_take(engine, source)
    ]
    if not usable:
        return None
    best = min(_tier(engine, source) for engine in usable)
    equal = [engine for engine in usable if _tier(engine, source) == best]

    def score(engine):
        weight = max(MIN_WEIGHT, engine.free_slots)
        weight /= 1.0 + engine.delay_s / HALVING_DELAY_S
        return utils.rendezvous_score(weight, key, engine.id)

    return max(equal, key=score).id


def _may_take(engine, source):
    if engine.id == source.id or not engine.decodes:
        return False
    if engine.software_version != source.software_version:
        return False
    # They are taken away all at once.
    near = engine.data_centre == source.data_centre
    return not (engine.reclaimable and near)


def _tier(engine, source):
    """Returns the order of preference, the lowest first."""
    distance = 2
    if engine.data_centre == source.data_centre:
        distance = 0
    elif engine.region == source.region:
        distance = 1
    return engine.free_slots <= 0.0, distance, engine.reclaimable

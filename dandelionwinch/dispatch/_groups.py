"""Divides the engines of a service into groups that prefill or decode.

A prompt that is prefilled between the tokens of an answer delays them, and
a KV cache takes ten times as long to another region. So each prefill engine
is paired with a decode engine in its data centre that is reserved for
decoding; the remaining decode engines prefill and decode.
"""

import functools

import attrs

from dandelionwinch import upstreams
from dandelionwinch import utils

# Salt of the hash by which decode engines are sorted before pairing, so that
# all instances reserve the same ones.
SORT_SALT = 'answers'
SORT_CACHE_SIZE = 4096


@attrs.frozen
class EngineGroups:
    """The engines of one service by what they do with long prompts.

    Attributes:
        prefill: Engines that may prefill long prompts: those of
            Role.PREFILL and the mixed ones.
        decode_only: Engines of Role.DECODE that are reserved for decoding.
        mixed: The other engines of Role.DECODE. They also prefill.
        decode_data_centres: Data centres with an engine that decodes.
    """

    prefill: tuple
    decode_only: tuple
    mixed: tuple
    decode_data_centres: frozenset

    @property
    def decode(self):
        """Returns all engines that decode."""
        return self.decode_only + self.mixed

    def has_local_decoder(self, engine):
        """Tells whether an engine in the same data centre decodes."""
        return engine.entry.data_centre in self.decode_data_centres

    def preferred_decoders(self, engine):
        """Returns the engines preferred to decode what another one prefilled.

        These are the decode-only ones in its data centre, else the mixed
        ones there, else all that decode.
        """
        data_centre = engine.entry.data_centre
        for group in (self.decode_only, self.mixed):
            local = [e for e in group if e.entry.data_centre == data_centre]
            if local:
                return local
        return list(self.decode)

    def local_decoders(self, engine):
        """Returns all decoding engines in the data centre of an engine."""
        data_centre = engine.entry.data_centre
        return [e for e in self.decode if e.entry.data_centre == data_centre]


def admitted(groups, now, takes):
    """Returns the groups without the engines that take no request.

    These are at their rate limit, or their memory has no room.

    An engine stays in its group, whatever others take, so that sessions keep
    their engines.

    Args:
        groups: EngineGroups.
        now: Time in seconds.
        takes: Function that tells whether an engine has room.

    Returns:
        EngineGroups, or None if no engine that decodes takes a request.
    """

    def admits(engine):
        return engine.rate_limit.admits(now) and takes(engine)

    decode_only = tuple(filter(admits, groups.decode_only))
    mixed = tuple(filter(admits, groups.mixed))
    decode = decode_only + mixed
    if not decode:
        return None
    prefill = tuple(filter(admits, groups.prefill)) or decode
    return attrs.evolve(
        groups, prefill=prefill, decode_only=decode_only, mixed=mixed
    )


def group_engines(usable):
    """Divides the engines of a service into groups.

    Args:
        usable: Upstreams that accept requests.

    Returns:
        The EngineGroups, or None if no engine decodes.
    """
    prefill, decode = [], []
    for engine in usable:
        is_prefill = engine.entry.role is upstreams.Role.PREFILL
        (prefill if is_prefill else decode).append(engine)
    if not decode:
        return None
    decode.sort(key=lambda e: _sort_key(e.entry.id))
    # Prefill engines that are not paired yet, by data centre.
    unpaired = {}
    for engine in prefill:
        data_centre = engine.entry.data_centre
        unpaired[data_centre] = unpaired.get(data_centre, 0) + 1
    decode_only, mixed = [], []
    for engine in decode:
        data_centre = engine.entry.data_centre
        if unpaired.get(data_centre, 0) > 0:
            unpaired[data_centre] -= 1
            decode_only.append(engine)
        else:
            mixed.append(engine)
    prefilling = prefill + mixed or decode
    data_centres = frozenset(e.entry.data_centre for e in decode)
    return EngineGroups(
        tuple(prefilling), tuple(decode_only), tuple(mixed), data_centres
    )


@functools.lru_cache(maxsize=SORT_CACHE_SIZE)
def _sort_key(upstream_id):
    """Returns the sort key of an engine, the same at all instances."""
    return utils.stable_hash(SORT_SALT, upstream_id)

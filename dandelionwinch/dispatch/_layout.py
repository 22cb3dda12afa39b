"""Which engines only make answers, and which ones also read prompts.

Answers a mix of long prompts and long answers. A prompt that is read
between the tokens of an answer makes pauses in it, and a KV cache takes
ten times as long to another region. So each engine that only reads
prompts has one beside it, in its data centre, that only makes answers;
the remaining engines read and answer.
"""

import functools

import attrs

from dandelionwinch import upstreams
from dandelionwinch import utils

ORDER_KEY = 'answers'
MAX_ORDERS = 4096


@attrs.frozen
class Layout:
    """The parts of one service's engines.

    Attributes:
        readers: Engines that may read long prompts.
        reserved: Engines that only make answers.
        mixed: Engines that read prompts and make their answers.
        centres: Data centres with an engine that makes answers.
    """

    readers: tuple
    reserved: tuple
    mixed: tuple
    centres: frozenset

    @property
    def decoders(self):
        """Returns all engines that make answers."""
        return self.reserved + self.mixed

    def has_partner(self, reader):
        """Tells whether an engine in the same data centre can answer."""
        return reader.entry.data_centre in self.centres

    def partners(self, reader):
        """Returns engines that may answer what another engine has read."""
        centre = reader.entry.data_centre
        for group in (self.reserved, self.mixed):
            near = [b for b in group if b.entry.data_centre == centre]
            if near:
                return near
        return list(self.decoders)

    def neighbours(self, reader):
        """Returns all engines for answers in a reader's data centre."""
        centre = reader.entry.data_centre
        return [b for b in self.decoders if b.entry.data_centre == centre]


def lay_out(usable):
    """Parts the engines of a service.

    Args:
        usable: Beliefs of engines that take requests.

    Returns:
        A Layout, or None if no engine makes answers.
    """
    prefill, decode = [], []
    for belief in usable:
        is_prefill = belief.entry.role is upstreams.Role.PREFILL
        (prefill if is_prefill else decode).append(belief)
    if not decode:
        return None
    decode.sort(key=lambda b: _order(b.entry.id))
    wanted = {}
    for belief in prefill:
        centre = belief.entry.data_centre
        wanted[centre] = wanted.get(centre, 0) + 1
    reserved, mixed = [], []
    for belief in decode:
        centre = belief.entry.data_centre
        if wanted.get(centre, 0) > 0:
            wanted[centre] -= 1
            reserved.append(belief)
        else:
            mixed.append(belief)
    readers = prefill + mixed or decode
    centres = frozenset(b.entry.data_centre for b in decode)
    return Layout(tuple(readers), tuple(reserved), tuple(mixed), centres)


@functools.lru_cache(maxsize=MAX_ORDERS)
def _order(upstream_id):
    """Returns an engine's place in the order that all instances share."""
    return utils.stable_hash(ORDER_KEY, upstream_id)

"""The product's placement, and the baselines that it is compared with."""

import random

from dandelionwinch import dispatch
from dandelionwinch import upstreams
from dandelionwinch import utils

POLICIES = ('winch', 'homes', 'random', 'least_load')


def make_placer(name, distances, seed, parts):
    """Returns the placer of one instance by the name of its policy."""
    rng = random.Random(seed)
    if name != 'winch':
        return _Baseline(name, rng)
    made = dispatch.EnginePlacer(distances, rng)
    made.instance_count = parts
    return made


class _Baseline:
    """Placement without admission, priority classes and rate limits.

    ``homes`` reads the prompts of a session at one engine; ``random`` and
    ``least_load`` choose an engine for each prompt.
    """

    def __init__(self, name, rng):
        self._name = name
        self._rng = rng

    def place(self, prompt, candidates, exclude, _now, **more):
        """Chooses engines; all prompts are equally urgent."""
        usable = [b for b in candidates if b.entry.id not in exclude]
        readers = [b for b in usable if b.entry.role is upstreams.Role.PREFILL]
        decoders = [b for b in usable if b not in readers]
        if not decoders:
            return None
        prefill, decode = None, self._one_of(decoders, prompt)
        priority_class = dispatch.PriorityClass.ANSWER
        if not prompt.short:
            priority_class = dispatch.PriorityClass.URGENT
            if readers:
                prefill = self._one_of(readers, prompt)
                decode = self._near(prefill, decoders)
        return dispatch.Placement(
            prefill,
            decode,
            priority_class,
            more['late'],
            more['objective_s'],
            prompt.tokens,
            0.0,
            self._name,
        )

    def _near(self, reader, decoders):
        centre = reader.entry.data_centre
        near = [b for b in decoders if b.entry.data_centre == centre]
        return self._rng.choice(near or decoders)

    def _one_of(self, group, prompt):
        match self._name:
            case 'random':
                return self._rng.choice(group)
            case 'least_load':
                least = min(b.active for b in group)
                return self._rng.choice(
                    [b for b in group if b.active == least]
                )
        key = (
            prompt.shared_blocks[-1][0]
            if prompt.shared_blocks
            else self._rng.random()
        )
        return max(group, key=lambda b: utils.stable_hash(key, b.entry.id))

    def _learn_nothing(self, *_args):
        """Takes what the product's placement learns from."""

    sent = prefilled = handed_over = started = ended = _learn_nothing
    token_gap = handle_refused = _learn_nothing

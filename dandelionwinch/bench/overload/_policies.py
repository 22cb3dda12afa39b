"""The placement of the daemons, and baselines to compare it with."""

import random

from dandelionwinch import dispatch
from dandelionwinch import upstreams
from dandelionwinch import utils

POLICIES = ('winch', 'homes', 'random', 'least_load')


def make_placer(name, distances, seed, instance_count):
    """Returns the placer of one instance for the name of a policy."""
    rng = random.Random(seed)
    if name != 'winch':
        return _Baseline(name, rng)
    placer = dispatch.EnginePlacer(distances, rng)
    placer.capacity_ratio = instance_count
    return placer


class _Baseline:
    """Placement without admission, priority classes and rate limits.

    ``homes`` prefills the prompts of a session at its affinity engine;
    ``random`` and ``least_load`` choose an engine for each prompt.
    """

    def __init__(self, name, rng):
        self._name = name
        self._rng = rng

    def place(self, prompt, candidates, exclude, _now, **more):
        """Chooses engines; all long prompts have the same priority."""
        usable = [e for e in candidates if e.entry.id not in exclude]
        prefill_engines = [
            e for e in usable if e.entry.role is upstreams.Role.PREFILL
        ]
        decode_engines = [e for e in usable if e not in prefill_engines]
        if not decode_engines:
            return None
        prefill, decode = None, self._choose(decode_engines, prompt)
        priority_class = dispatch.PriorityClass.ANSWER
        if not prompt.short:
            priority_class = dispatch.PriorityClass.URGENT
            if prefill_engines:
                prefill = self._choose(prefill_engines, prompt)
                decode = self._choose_near(prefill, decode_engines)
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

    def _choose_near(self, prefill, decode_engines):
        data_centre = prefill.entry.data_centre
        near = [
            e for e in decode_engines if e.entry.data_centre == data_centre
        ]
        return self._rng.choice(near or decode_engines)

    def _choose(self, engines, prompt):
        match self._name:
            case 'random':
                return self._rng.choice(engines)
            case 'least_load':
                least = min(e.active for e in engines)
                return self._rng.choice(
                    [e for e in engines if e.active == least]
                )
        key = (
            prompt.shared_blocks[-1][0]
            if prompt.shared_blocks
            else self._rng.random()
        )
        return max(engines, key=lambda e: utils.stable_hash(key, e.entry.id))

    def _ignore(self, *_args):
        """Ignores the progress of a request; baselines learn nothing."""

    record_sent = record_prefill = record_transfer = _ignore
    record_first_token = record_end = _ignore
    record_token_gap = record_kv_handle_refused = _ignore

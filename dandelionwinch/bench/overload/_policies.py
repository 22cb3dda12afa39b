"""The placement of the daemons, and baselines to compare it with."""

import math
import random

from dandelionwinch import dispatch
from dandelionwinch import upstreams
from dandelionwinch import utils

POLICIES = (
    'winch',
    'one_speed',
    'homes',
    'random',
    'least_load',
    'two_choices',
    'peak_ewma',
)
# Time constant with which a peak of the latency decays.
PEAK_DECAY_S = 10.0


def make_placer(name, distances, seed, instance_count):
    """Returns the placer of one instance for the name of a policy."""
    rng = random.Random(seed)
    # Without an exchange of samples all engines count as equally fast.
    if name not in ('winch', 'one_speed'):
        return _Baseline(name, rng)
    placer = dispatch.EnginePlacer(distances, rng)
    placer.capacity_ratio = instance_count
    return placer


class _Baseline:
    """Placement without admission, priority classes and rate limits.

    ``homes`` prefills the prompts of a session at its affinity engine;
    the others choose an engine for each prompt: ``two_choices`` the one with
    fewer requests of two random ones, ``peak_ewma`` the one with the least
    product of its requests and of the decaying peak of its latency.
    """

    def __init__(self, name, rng):
        self._name = name
        self._rng = rng
        # Peak of the latency of each engine and its time.
        self._peaks = {}

    def place(self, prompt, candidates, exclude, now, **more):
        """Chooses engines; all long prompts have the same priority."""
        usable = [e for e in candidates if e.entry.id not in exclude]
        prefill_engines = [
            e for e in usable if e.entry.role is upstreams.Role.PREFILL
        ]
        decode_engines = [e for e in usable if e not in prefill_engines]
        if not decode_engines:
            return None
        prefill, decode = None, self._choose(decode_engines, prompt, now)
        priority_class = dispatch.PriorityClass.ANSWER
        if not prompt.short:
            priority_class = dispatch.PriorityClass.URGENT
            if prefill_engines:
                prefill = self._choose(prefill_engines, prompt, now)
                decode = self._choose_near(prefill, decode_engines, now)
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

    def _choose_near(self, prefill, decode_engines, now):
        data_centre = prefill.entry.data_centre
        near = [
            e for e in decode_engines if e.entry.data_centre == data_centre
        ]
        if self._name in ('two_choices', 'peak_ewma'):
            return self._choose(near or decode_engines, None, now)
        return self._rng.choice(near or decode_engines)

    def _choose(self, engines, prompt, now):
        match self._name:
            case 'random':
                return self._rng.choice(engines)
            case 'least_load':
                least = min(e.active for e in engines)
                return self._rng.choice(
                    [e for e in engines if e.active == least]
                )
            case 'two_choices':
                two = self._rng.sample(engines, min(2, len(engines)))
                return min(two, key=lambda e: e.active)
            case 'peak_ewma':
                return min(engines, key=lambda e: self._peak_cost(e, now))
        key = (
            prompt.shared_blocks[-1][0]
            if prompt.shared_blocks
            else self._rng.random()
        )
        return max(engines, key=lambda e: utils.stable_hash(key, e.entry.id))

    def _peak_cost(self, engine, now):
        peak_s = self._peak_s(engine, now)
        return (engine.active + 1) * peak_s, self._rng.random()

    def _peak_s(self, engine, now):
        peak_s, at = self._peaks.get(engine.entry.id, (0.0, now))
        return peak_s * math.exp((at - now) / PEAK_DECAY_S)

    def _observe(self, engine, taken_s, now):
        peak_s = self._peak_s(engine, now)
        # The mean with the same time constant while it is below the peak.
        _previous, at = self._peaks.get(engine.entry.id, (0.0, now))
        kept = math.exp((at - now) / PEAK_DECAY_S)
        peak_s = max(taken_s, peak_s + (1.0 - kept) * taken_s)
        self._peaks[engine.entry.id] = (peak_s, now)

    def record_prefill(self, placement, taken_s, now):
        """Updates the peak of the engine that prefilled."""
        self._observe(placement.prefill, taken_s, now)

    def record_first_token(self, placement, taken_s, now):
        """Updates the peak of the engine that decodes."""
        self._observe(placement.decode, taken_s, now)

    def _ignore(self, *_args):
        """Ignores what this policy does not learn from."""

    record_sent = record_transfer = record_end = _ignore
    record_token_gap = record_kv_handle_refused = _ignore

"""Whether a run of the soak has a part, by its seed."""

import random

# Runs with a shorter time of faults have none of these parts.
MIN_RUN_S = 10.0


def draw(seed, part, for_s, run_ratio):
    """Returns the random generator of a part, None in a run without it.

    Args:
        seed: Seed of the run.
        part: Name of the part.
        for_s: Seconds for which faults are injected.
        run_ratio: Share of the runs that have the part.
    """
    rng = random.Random(f'{seed} {part}')
    if for_s < MIN_RUN_S or rng.random() >= run_ratio:
        return None
    return rng

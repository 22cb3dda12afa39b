"""Engines, prompts and placers, for tests of placement."""

import random

from dandelionwinch import dispatch
from dandelionwinch import upstreams

SPEED = 200_000.0
OBJECTIVE_S = 0.2


def engines(count, role=upstreams.Role.DECODE, first=0):
    return [
        upstreams.Upstream(
            upstreams.Entry(
                f'e{n}', 's', f'10.0.0.{n}:80', 'dc', 1, True, role, 24
            )
        )
        for n in range(first, first + count)
    ]


def placer(seed=1, instances=1):
    distances = dispatch.Distances('dc', {'dc': 'r'})
    made = dispatch.EnginePlacer(distances, random.Random(seed))
    made.instance_count = instances
    return made


def prompt(session=1, tokens=9000):
    parts = (('a', 2500), (f's{session}', 3500), (f'own{session}', 3000))
    return dispatch.Prompt(tokens, 50, parts)


def place(made, asked, beliefs, now=0.0, exclude=(), **more):
    flags = {'direct': False, 'late': False, **more}
    flags['objective_s'] = OBJECTIVE_S
    return made.place(asked, beliefs, set(exclude), now, **flags)

"""A simulation of model engines under overload, in virtual time."""

from dandelionwinch.bench.overload._costs import net_credit
from dandelionwinch.bench.overload._load import Burst
from dandelionwinch.bench.overload._load import Load
from dandelionwinch.bench.overload._load import read_load
from dandelionwinch.bench.overload._policies import POLICIES
from dandelionwinch.bench.overload._simulation import simulate

__all__ = [
    'POLICIES',
    'Burst',
    'Load',
    'net_credit',
    'read_load',
    'simulate',
]

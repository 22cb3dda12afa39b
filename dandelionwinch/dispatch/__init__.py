"""Which upstream gets a request, decided from one instance's beliefs."""

from dandelionwinch.dispatch._engines import EnginePlacer
from dandelionwinch.dispatch._engines import Placement
from dandelionwinch.dispatch._engines import Prompt
from dandelionwinch.dispatch._engines import Lane
from dandelionwinch.dispatch._plain import choose_plain
from dandelionwinch.dispatch._distance import Distances

__all__ = [
    'Distances',
    'EnginePlacer',
    'Lane',
    'Placement',
    'Prompt',
    'choose_plain',
]

"""Which instance a client should use."""

from dandelionwinch.addresses._answers import Answer
from dandelionwinch.addresses._answers import answer
from dandelionwinch.addresses._nearest import nearest
from dandelionwinch.addresses._nearest import Presence

__all__ = ['Answer', 'Presence', 'answer', 'nearest']

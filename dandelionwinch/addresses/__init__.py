"""Which instance a client should use."""

from dandelionwinch.addresses._answers import Answer
from dandelionwinch.addresses._answers import assign
from dandelionwinch.addresses._nearest import nearest
from dandelionwinch.addresses._nearest import InstanceEntry

__all__ = ['Answer', 'InstanceEntry', 'assign', 'nearest']

"""Which instance a client should use."""

from dandelionwinch.addresses._answers import Assignment
from dandelionwinch.addresses._answers import assign
from dandelionwinch.addresses._nearest import nearest
from dandelionwinch.addresses._nearest import InstanceEntry

__all__ = ['Assignment', 'InstanceEntry', 'assign', 'nearest']

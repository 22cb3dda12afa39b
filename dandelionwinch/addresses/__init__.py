"""Which instance a client should use."""

from dandelionwinch.addresses._answers import assign
from dandelionwinch.addresses._answers import Assignment
from dandelionwinch.addresses._nearest import InstanceEntry
from dandelionwinch.addresses._nearest import nearest

__all__ = ['Assignment', 'InstanceEntry', 'assign', 'nearest']

"""Chooses the instances that clients and callers connect to."""

from dandelionwinch.addresses._assignment import assign
from dandelionwinch.addresses._assignment import Assignment
from dandelionwinch.addresses._nearest import InstanceEntry
from dandelionwinch.addresses._nearest import nearest

__all__ = ['Assignment', 'InstanceEntry', 'assign', 'nearest']

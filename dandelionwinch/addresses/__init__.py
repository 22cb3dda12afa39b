"""Chooses the instances to connect to.

`nearest` serves callers, who send requests to the gateway, and `assign`
serves clients, who send jobs to the entry daemon.
"""

from dandelionwinch.addresses._assignment import assign
from dandelionwinch.addresses._assignment import Assignment
from dandelionwinch.addresses._nearest import InstanceEntry
from dandelionwinch.addresses._nearest import nearest

__all__ = ['Assignment', 'InstanceEntry', 'assign', 'nearest']

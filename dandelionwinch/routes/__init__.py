"""Routing of callers' requests to services."""

from dandelionwinch.routes._table import EngineSpec
from dandelionwinch.routes._table import Limits
from dandelionwinch.routes._table import RetryPolicy
from dandelionwinch.routes._table import Route
from dandelionwinch.routes._table import RouteTable
from dandelionwinch.routes._table import Scaling
from dandelionwinch.routes._table import Service
from dandelionwinch.routes._table import TrafficShare

__all__ = [
    'EngineSpec',
    'Limits',
    'RetryPolicy',
    'Route',
    'RouteTable',
    'Scaling',
    'Service',
    'TrafficShare',
]

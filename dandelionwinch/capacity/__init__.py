"""Decides how many upstreams of each kind run in each data centre."""

from dandelionwinch.capacity._forecast import Forecast
from dandelionwinch.capacity._forecast import Need
from dandelionwinch.capacity._orders import Order
from dandelionwinch.capacity._orders import Orders
from dandelionwinch.capacity._orders import Outcome
from dandelionwinch.capacity._orders import RETRY_S
from dandelionwinch.capacity._places import Kind
from dandelionwinch.capacity._places import Place
from dandelionwinch.capacity._places import View
from dandelionwinch.capacity._places import view_of
from dandelionwinch.capacity._plan import plan
from dandelionwinch.capacity._planner import Planner
from dandelionwinch.capacity._reports import Demand
from dandelionwinch.capacity._reports import DemandReports

__all__ = [
    'RETRY_S',
    'Demand',
    'DemandReports',
    'Forecast',
    'Kind',
    'Need',
    'Order',
    'Orders',
    'Outcome',
    'Place',
    'Planner',
    'View',
    'plan',
    'view_of',
]

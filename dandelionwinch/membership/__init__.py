"""Tracks which instances are alive, by heartbeats and the platform list."""

from dandelionwinch.membership._departures import Departures
from dandelionwinch.membership._departures import populated_data_centres
from dandelionwinch.membership._freshness import Freshness
from dandelionwinch.membership._gossip import Membership
from dandelionwinch.membership._peer_state import member_id
from dandelionwinch.membership._peer_state import PeerState

__all__ = [
    'Departures',
    'Freshness',
    'Membership',
    'PeerState',
    'member_id',
    'populated_data_centres',
]

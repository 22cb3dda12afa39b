"""Timeline of the events of all instances, in causal order."""

from dandelionwinch.timeline._clock import HybridClock
from dandelionwinch.timeline._clock import Timestamp
from dandelionwinch.timeline._merge import Event
from dandelionwinch.timeline._merge import EventBuffer
from dandelionwinch.timeline._merge import Gap
from dandelionwinch.timeline._merge import merge

__all__ = ['Event', 'EventBuffer', 'Gap', 'HybridClock', 'Timestamp', 'merge']

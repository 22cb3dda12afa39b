"""A time line of events over all processes."""

from dandelionwinch.timeline._clock import HybridClock
from dandelionwinch.timeline._clock import Timestamp
from dandelionwinch.timeline._merge import Event
from dandelionwinch.timeline._merge import EventBuffer
from dandelionwinch.timeline._merge import Gap
from dandelionwinch.timeline._merge import merge

__all__ = ['Event', 'Gap', 'HybridClock', 'EventBuffer', 'Timestamp', 'merge']

"""The event loop of one entry instance: state, background tasks, I/O.

The decisions themselves are made by packages without I/O; this package
feeds them with clocks, store replies and messages of peers.
"""

from dandelionwinch.daemon._core import Core

__all__ = ['Core']

"""The tasks of one entry instance, around the pure decisions."""

from dandelionwinch.daemon._core import Core

__all__ = ['Core']

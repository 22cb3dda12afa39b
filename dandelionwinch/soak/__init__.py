"""A fault soak: real instances, stand-ins, and faults from outside."""

from dandelionwinch.soak._run import run

__all__ = ['run']

"""Soak test of real instances and stand-ins under injected faults."""

from dandelionwinch.soak._run import run

__all__ = ['run']

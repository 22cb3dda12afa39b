"""Calls between the entry instances."""

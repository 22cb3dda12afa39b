"""Measurements, each with a seed and one JSON line."""

import click


@click.group()
def bench():
    """Measure the decisions and the daemons on this machine."""

"""Which instances of a data centre watch the store for the others."""

from dandelionwinch import utils

# One that is killed or turned away by the store leaves another one.
WATCHERS = 2


def order(names):
    """Returns the instances of a data centre, the first watcher first.

    It is a rendezvous hash: an instance that is missing in one view changes
    the order of the others by one rank at most.

    Args:
        names: Names of the registered instances of the data centre.
    """
    return sorted(
        set(names), key=lambda name: (utils.stable_hash('watch', name), name)
    )


def rank(ordered, name):
    """Returns the precedence of an instance, as a value to compare.

    Those that are not registered come last, by name.
    """
    if name in ordered:
        return ordered.index(name), name
    return len(ordered), name

"""Decides when instances tell each other that an upstream shuts down.

Many instances may learn of it at once. Each waits a random time and says
nothing if another was first. The times are distributed exponentially, as
for feedback suppression in multicast: few of many are short, and a single
one is not long.
"""

import hashlib
import math

# Longest time before an instance tells the others.
MAX_TELL_DELAY_S = 0.5
# Time for which an upstream is avoided on the word of another instance. Its
# entry says by then that it is draining or gone, or its own response does.
BELIEVED_S = 8.0
DIGEST_CHARS = 8


def tell_delay_s(draw, instances):
    """Returns the time to wait before the others are told.

    Args:
        draw: Random number from 0 to 1.
        instances: Number of instances.
    """
    if instances < 2:
        return 0.0
    least = 1.0 / instances
    part = 1.0 + math.log(max(least, draw)) / math.log(instances)
    return MAX_TELL_DELAY_S * part


def digest(incarnation):
    """Returns a short text that tells one incarnation from the next."""
    data = repr(incarnation).encode()
    return hashlib.sha256(data).hexdigest()[:DIGEST_CHARS]

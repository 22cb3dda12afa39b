"""Which instance decides where the jobs of a data centre run.

Answers many instances before few upstreams: each would see a small part
of what is sent, and independent choices on old reports only spread jobs,
they do not join the shortest queue. One instance that decides for all of
a data centre knows what was sent. It is for quality only: an instance
that does not get an answer decides itself.
"""

import attrs

from dandelionwinch import utils


@attrs.frozen
class Query:
    """A job as its decider is told of it.

    Attributes:
        prefix: Hash of the prompt's beginning.
        exclude: Names of upstreams that are not to be chosen.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    prefix: int
    exclude: frozenset = frozenset()


def choose_owner(names, data_centre, model):
    """Returns the name of the usual decider.

    Args:
        names: Names of the instances in the data centre.
        data_centre: Data centre of the clients.
        model: Name of the model.
    """
    key = f'{data_centre}/{model}'
    return max(names, key=lambda name: utils.stable_hash(key, str(name)))

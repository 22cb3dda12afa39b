"""Chooses the instance that places the jobs of a data centre and model.

With many instances and few upstreams each instance would see only a small
part of what is sent. Independent decisions on old reports can spread jobs,
but can't join the shortest queue. One owner that decides for the whole data
centre has the record of all that was sent. It only improves the placement:
an instance that gets no response from it places the job itself.
"""

import attrs

from dandelionwinch import utils


@attrs.frozen
class Query:
    """A job as it is described to the placement owner.

    Attributes:
        prefix: Hash of the beginning of the prompt.
        exclude: Names of upstreams that must not be chosen.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    prefix: int
    exclude: frozenset = frozenset()


def choose_owner(names, data_centre, model):
    """Returns the name of the placement owner, by rendezvous hashing.

    Args:
        names: Names of the instances in the data centre.
        data_centre: Data centre of the clients.
        model: Name of the model.
    """
    key = f'{data_centre}/{model}'
    return max(names, key=lambda name: utils.stable_hash(key, str(name)))

"""Pools that may run a job, with the cost of the link to each."""

from dandelionwinch import placement
from dandelionwinch import settings

# Traffic that a job causes on a link between regions.
BYTES_PER_PROMPT_TOKEN = 6
BYTES_PER_OUTPUT_TOKEN = 200
BYTES_PER_GIGABYTE = 1e9


def candidate_pools(catalog, local_data_centre, pools, query):
    """Returns the CandidatePools of a job, the cheapest link first.

    A pool of another data centre costs one link latency, in seconds. In
    another region it costs two more, and the time and price of the
    transfer.
    """
    region = catalog.region_of(local_data_centre)
    link = catalog.link()
    candidates = []
    for pool in pools:
        link_cost_s = 0.0
        if pool.data_centre != local_data_centre:
            link_cost_s = link.latency_s
        if catalog.region_of(pool.data_centre) != region:
            link_cost_s += 2 * link.latency_s + _transfer_cost_s(link, query)
        names = tuple(
            upstream.name
            for upstream in catalog.upstreams_of(pool.name)
            if upstream.state is settings.UpstreamState.ACTIVE
        )
        candidates.append(
            placement.CandidatePool(pool.name, names, link_cost_s)
        )
    candidates.sort(
        key=lambda candidate: (candidate.link_cost_s, candidate.name)
    )
    return candidates


def _transfer_cost_s(link, query):
    """Returns the cost of a job's traffic between regions, in seconds.

    The price of the traffic is added in seconds of waiting that it is
    worth; see ``settings.Link``.
    """
    size = query.prompt_tokens * BYTES_PER_PROMPT_TOKEN
    size += query.output_tokens * BYTES_PER_OUTPUT_TOKEN
    return size / link.bytes_per_s + link.price * size / BYTES_PER_GIGABYTE

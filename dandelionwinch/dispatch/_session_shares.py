"""Shares of the sessions that engines of the same speed get."""

from dandelionwinch import upstreams

# Relative shares of the sessions: of a prefill engine, of an engine that
# decodes, and of a prefill engine without a decode engine in its data centre.
PREFILL_WEIGHT = 2.0
DECODE_WEIGHT = 0.65
FAR_PREFILL_WEIGHT = 0.5


def weight(engine, groups):
    """Returns the relative share of an engine.

    Args:
        engine: Upstream.
        groups: EngineGroups.
    """
    if engine.entry.role is not upstreams.Role.PREFILL:
        return DECODE_WEIGHT
    near = groups.has_local_decoder(engine)
    return PREFILL_WEIGHT if near else FAR_PREFILL_WEIGHT

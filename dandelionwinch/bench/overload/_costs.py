"""What bytes between regions and tokens read again cost, as credit."""

# Cost of today's decision on the same load and seed, as a part of the credit
# of a day; the cost of another decision is in proportion to it.
REGION_BYTES_COST = 0.038
REREAD_TOKENS_COST = 0.006


def net_credit(result, today):
    """Returns the credit of a Result less its costs.

    Args:
        result: The Result.
        today: The Result of today's decision on the same load and seed.
    """
    bytes_ratio = _ratio(result.region_bytes, today.region_bytes)
    reread_ratio = _ratio(result.reread_tokens, today.reread_tokens)
    costs = REGION_BYTES_COST * bytes_ratio + REREAD_TOKENS_COST * reread_ratio
    return round(result.credit - costs, 3)


def _ratio(part, whole):
    return part / whole if whole else 0.0

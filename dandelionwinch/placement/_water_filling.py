"""Chooses a candidate by water-filling, for decisions on old reports."""


def choose_by_filling(levels, rates, arrivals, rng):
    """Chooses a candidate so that many instances even out the load.

    Between two reports many instances choose by the same numbers. If each
    chose the lowest level, all would choose the same upstream. Instead the
    work expected from all of them is distributed over the candidates so
    that their levels become equal, and a candidate is drawn in proportion
    to the work that it received. If no work is expected, the candidate with
    the lowest level is chosen.

    Args:
        levels: Expected wait at each candidate, in seconds.
        rates: Work per second that each candidate completes.
        arrivals: Work expected from others before the next report.
        rng: Source of random numbers.

    Returns:
        Index of the chosen candidate.
    """
    # Equal levels in random order, or all would choose the first.
    order = list(range(len(levels)))
    rng.shuffle(order)
    order.sort(key=lambda index: levels[index])
    lowest = order[0]
    if arrivals <= 0:
        return lowest
    level = _water_level(order, levels, rates, arrivals)
    shares = [
        max(0.0, level - levels[index]) * rates[index] for index in order
    ]
    point = rng.random() * sum(shares)
    for index, share in zip(order, shares, strict=True):
        point -= share
        if point < 0:
            return index
    return lowest


def _water_level(order, levels, rates, arrivals):
    """Returns the common level after the expected work is distributed."""
    rate = 0.0
    filled = 0.0
    level = levels[order[0]]
    for position, index in enumerate(order):
        step = levels[index] - level
        if position and filled + step * rate >= arrivals:
            break
        filled += step * rate
        level = levels[index]
        rate += rates[index]
    if rate <= 0:
        return level
    return level + (arrivals - filled) / rate

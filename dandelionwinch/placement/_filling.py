"""Spreads choices over candidates when the picture is old."""


def choose_filling(levels, rates, arrivals, rng):
    """Chooses a candidate so that many choosers level the load.

    Between two reports many instances decide on the same picture. If
    each took the lowest level, all would meet on one upstream. Instead
    the work expected from everybody is poured over the candidates
    until they stand equally high, and one is drawn in proportion to
    what was poured on it. Without such work the lowest is taken.

    Args:
        levels: Seconds of waiting for each candidate.
        rates: Work per second that each candidate takes off.
        arrivals: Work expected from others on the same picture.
        rng: Source of random numbers.

    Returns:
        Index of the chosen candidate.
    """
    # Equal levels in random order, or all would meet on the first.
    order = list(range(len(levels)))
    rng.shuffle(order)
    order.sort(key=lambda index: levels[index])
    lowest = order[0]
    if arrivals <= 0:
        return lowest
    level = _water_level(order, levels, rates, arrivals)
    pours = [max(0.0, level - levels[index]) * rates[index] for index in order]
    point = rng.random() * sum(pours)
    for index, pour in zip(order, pours, strict=True):
        point -= pour
        if point < 0:
            return index
    return lowest


def _water_level(order, levels, rates, arrivals):
    rate = 0.0
    poured = 0.0
    level = levels[order[0]]
    for position, index in enumerate(order):
        step = levels[index] - level
        if position and poured + step * rate >= arrivals:
            break
        poured += step * rate
        level = levels[index]
        rate += rates[index]
    if rate <= 0:
        return level
    return level + (arrivals - poured) / rate

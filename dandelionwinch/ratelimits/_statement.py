"""What an upstream states about the rate that it takes."""

import attrs

# Time after a response with a limit in which those without it are ignored, as
# they may have been sent earlier and come late.
REORDER_S = 1.0
# Time within which two statements of the same limit count as one that came by
# two ways: each way adds its latency to the time that is told as an age.
SAME_S = 0.1


@attrs.frozen
class Statement:
    """The newest that is known of an upstream's rate limit.

    Attributes:
        rate_per_s: Requests a second that it takes from all instances
            together, None if it states no limit.
        at: Time in seconds at which it stated that.
        doubted: Whether one response without the limit has come since. It
            may be no answer of the upstream; the next one ends the limit.
    """

    rate_per_s: float | None = None
    at: float = float('-inf')
    doubted: bool = False

    def followed_by(self, rate_per_s, at):
        """Returns the Statement after another one.

        Args:
            rate_per_s: Requests a second, None without a limit.
            at: Time in seconds at which the upstream stated that.

        Returns:
            The newer Statement, or this one if the other is older.
        """
        same_s = SAME_S if rate_per_s == self.rate_per_s else 0.0
        if at <= self.at + same_s:
            return self
        return Statement(rate_per_s, at)

    def observed(self, rate_per_s, now):
        """Returns the Statement after a response to this instance.

        Args:
            rate_per_s: Requests a second, None without a limit.
            now: Time in seconds.
        """
        if rate_per_s is None and self.rate_per_s is not None:
            if now - self.at < REORDER_S:
                return self
            if not self.doubted:
                return attrs.evolve(self, doubted=True)
        return self.followed_by(rate_per_s, now)

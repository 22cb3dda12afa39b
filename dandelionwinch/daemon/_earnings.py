"""Books the cut of delivered jobs and writes it in batches."""

from dandelionwinch.daemon import _periodic
from dandelionwinch import earnings


class Earnings:
    """Owns the ledger of this process."""

    def __init__(self, core):
        self._core = core
        self.ledger = earnings.Ledger(core.name, core.incarnation)

    def runs(self):
        """Returns the coroutines of this task."""
        period_s = self._core.cfg.timing.earnings_s
        yield _periodic.every(period_s, self.write, self._core.rng)

    def book(self, record, tokens):
        """Books a job whose whole answer reached its clerk."""
        self.ledger.book(record.id, record.team, tokens)

    async def write(self):
        """Writes the totals if they changed."""
        await self._core.run(self.ledger.write())

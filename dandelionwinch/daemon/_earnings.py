"""Books the cut of delivered jobs and writes it in batches."""

from dandelionwinch.daemon import _periodic
from dandelionwinch import earnings

DUE_RATIO = 0.9


class Earnings:
    """Owns the ledger of this process."""

    def __init__(self, core):
        self._core = core
        self.ledger = earnings.Ledger(core.name, core.incarnation)
        self._written_at = float('-inf')

    def coroutines(self):
        """Returns the coroutines of the background tasks."""
        period_s = self._core.cfg.timing.earnings_s
        yield _periodic.every(period_s, self._write_if_due, self._core.rng)

    def record_job(self, record, tokens):
        """Books a job whose whole answer reached its client."""
        self.ledger.book(record.id, record.team, tokens)

    async def _write_if_due(self):
        core = self._core
        now = core.now()
        period_s = earnings.write_period(
            core.cfg.timing.earnings_s, len(core.members.live(now))
        )
        if now - self._written_at >= period_s * DUE_RATIO:
            self._written_at = now
            await self.write()

    async def write(self):
        """Writes the totals if they changed."""
        await self._core.run_program(self.ledger.write())

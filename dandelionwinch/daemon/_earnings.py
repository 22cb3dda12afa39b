"""Records the earnings of delivered jobs and writes them in batches."""

from dandelionwinch.daemon import _periodic
from dandelionwinch import earnings

# Below 1, as jitter shortens a period by up to 10 percent.
DUE_RATIO = 0.9


class Earnings:
    """Keeps the ledger of this process and writes it periodically.

    Attributes:
        ledger: The earnings.Ledger.
    """

    def __init__(self, core):
        self._core = core
        self.ledger = earnings.Ledger(core.name, core.incarnation)
        self._written_at = float('-inf')

    def coroutines(self):
        """Returns the coroutines of the background tasks."""
        period_s = self._core.cfg.timing.earnings_s
        yield _periodic.every(period_s, self._write_if_due, self._core.rng)

    def record_job(self, record, tokens):
        """Records a job whose complete answer reached its client.

        Args:
            record: The jobs.JobRecord.
            tokens: Output tokens of the answer.
        """
        self.ledger.record_job(record.id, record.team, tokens)

    async def _write_if_due(self):
        core = self._core
        now = core.now()
        period_s = earnings.write_interval_s(
            core.cfg.timing.earnings_s, len(core.members.live(now))
        )
        if now - self._written_at >= period_s * DUE_RATIO:
            self._written_at = now
            await self.write()

    async def write(self):
        """Writes the totals to the store if they changed."""
        await self._core.run_program(self.ledger.write())

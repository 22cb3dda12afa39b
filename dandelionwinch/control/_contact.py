"""The calls that follow the store, and how long it does not answer them."""


class StoreContact:
    """Records each call that follows the store, and how it ended.

    Args:
        loop: Event loop.
        log: EventLog.
        metrics: Metrics of the gateway.

    Attributes:
        began_at: Loop time at which the last call began.
        failures: Number of calls that failed since the last answer.
    """

    __slots__ = (
        '_answered',
        '_call',
        '_failing_at',
        '_log',
        '_loop',
        '_metrics',
        'began_at',
        'failures',
    )

    def __init__(self, loop, log, metrics):
        self._loop = loop
        self._log = log
        self._metrics = metrics
        self._call = ''
        self._answered = False
        # Begin of the first call that failed since the last answer.
        self._failing_at = None
        self.failures = 0
        self.began_at = float('-inf')

    def begins(self, call):
        """Records that a call begins.

        Args:
            call: What it is for: `list`, `watch` or `config`.
        """
        self._call = call
        self.began_at = self._loop.time()

    def answered(self, revision):
        """Records an answer.

        Args:
            revision: Number of the revision that is known by it.
        """
        if not self._answered or self.failures:
            self._returned(revision)
        self._answered = True
        self._failing_at = None
        self.failures = 0

    def _returned(self, revision):
        away_s = None
        if self._failing_at is not None:
            away_s = round(self._loop.time() - self._failing_at, 3)
            self._metrics.store_away.observe(away_s)
        self._log.event(
            'store.reached',
            revision=revision,
            away_s=away_s,
            failures=self.failures,
        )

    def failed(self, exc, pause_s):
        """Records that the call failed.

        Args:
            exc: StoreFailed.
            pause_s: Seconds until the next call.
        """
        if self._answered and not self.failures:
            self._log.event('store.lost', reason=str(exc))
        if not self.failures:
            self._failing_at = self.began_at
        self.failures += 1
        self._metrics.store_failed_calls.labels(self._call).inc()
        self._log.event(
            'store.call_failed',
            call=self._call,
            taken_s=round(self._loop.time() - self.began_at, 3),
            pause_s=round(pause_s, 3),
            failures=self.failures,
            reason=str(exc),
        )

"""Periodic background tasks."""

import asyncio

import loguru

JITTER_RATIO = 0.1

logger = loguru.logger


async def every(period_s, step, rng):
    """Runs a step periodically; a failed step is logged and repeated.

    Args:
        period_s: Seconds between the end of a step and the next one.
        step: Async function without arguments.
        rng: Source of the jitter, which keeps instances from running
            their steps at the same moment.
    """
    while True:
        try:
            await step()
        except Exception:
            logger.exception('periodic task failed; retrying after a period')
        jitter = 1 + JITTER_RATIO * (2 * rng.random() - 1)
        await asyncio.sleep(period_s * jitter)

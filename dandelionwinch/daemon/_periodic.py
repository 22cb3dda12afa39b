"""Runs a step again and again; a failed step does not end the task."""

import asyncio

import loguru

JITTER_RATIO = 0.1

logger = loguru.logger


async def every(period_s, step, rng):
    """Runs an async step with a period and a little jitter.

    Args:
        period_s: Seconds between two steps.
        step: Async function without arguments.
        rng: Source of the jitter, which keeps instances from acting
            at the same moment.
    """
    while True:
        try:
            await step()
        except Exception:
            logger.exception('a periodic step failed')
        jitter = 1 + JITTER_RATIO * (2 * rng.random() - 1)
        await asyncio.sleep(period_s * jitter)

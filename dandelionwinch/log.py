"""Structured logs for the daemons."""

import sys

import loguru

TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} '
    '{extra[instance]} {message} {extra}'
)


def init(instance, level='INFO', as_json=False):
    """Sends log records to standard error.

    Args:
        instance: Name put on each record.
        level: Least level that is written.
        as_json: Whether a record is one JSON object per line.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={'instance': instance})
    if as_json:
        loguru.logger.add(sys.stderr, level=level, serialize=True)
    else:
        loguru.logger.add(sys.stderr, level=level, format=TEXT_FORMAT)

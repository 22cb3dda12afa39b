"""Structured logs of the daemons."""

import sys

import loguru

TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} '
    '{extra[instance]} {message} {extra}'
)


def init(instance, level='INFO', as_json=False):
    """Configures loguru to write log records to standard error.

    Args:
        instance: Name of the instance, which each record carries.
        level: Lowest level that is written.
        as_json: Whether each record is written as a JSON object on a
            line of its own.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={'instance': instance})
    if as_json:
        loguru.logger.add(sys.stderr, level=level, serialize=True)
    else:
        loguru.logger.add(sys.stderr, level=level, format=TEXT_FORMAT)

"""Counts what instances tell each other about bytes held by upstreams."""

import prometheus_client


class ByteReports:
    """The counter of the datagrams, and the log line on an unknown upstream.

    Args:
        log: EventLog.
        registry: Registry of the metrics.
    """

    __slots__ = ('_counter', '_log', '_unknown_logged')

    def __init__(self, log, registry):
        self._log = log
        self._unknown_logged = False
        self._counter = prometheus_client.Counter(
            'dandelionwinch_gateway_byte_reports',
            'Datagrams on bytes held by upstreams by what became of them',
            ['result'],
            registry=registry,
        )

    def count(self, result):
        """Counts a datagram.

        Args:
            result: `taken`, `invalid` or `unknown`.
        """
        self._counter.labels(result).inc()

    def count_unknown(self, name, sender):
        """Counts a datagram on a service or an upstream that is not known.

        Args:
            name: Name of the service, or id of the upstream.
            sender: Name of the instance that sent it.
        """
        self.count('unknown')
        if not self._unknown_logged:
            self._unknown_logged = True
            self._log.event('upstream.bytes_unknown', of=name, peer=sender)

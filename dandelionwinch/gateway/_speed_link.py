"""Messages by which instances agree on the speeds of engines.

    ["times", [[upstream, work, age, tokens, seconds], ...]]
    ["speeds", [[upstream, work, quartile, quartile, quartile, speed,
                slowness], ...]]

The "times" of an engine go to the instance that judges it, its "speeds" from
there to all. An age is that before the datagram was sent, as clocks differ.
Datagrams of unknown senders are dropped, and so are those with more than
_datagram_rows.MAX_ROWS rows.
"""

from dandelionwinch import dispatch
from dandelionwinch.gateway import _datagram_rows

MAX_AGE_S = 10.0
MAX_TAKEN_S = 600.0
MAX_TOKENS = 10_000_000
# Bounds of a quartile and of a speed in octaves.
MAX_QUARTILE_OCTAVES = 64.0
MAX_SPEED_OCTAVES = 4.0


class SpeedLink:
    """Encodes, checks and decodes the messages of a SpeedSharing.

    Args:
        loop: The event loop.
        link: PeerLink.
        receiver: Object with `take_times(samples)` and
            `take_speeds(verdicts, sender)`.
    """

    __slots__ = ('_link', '_loop', '_receiver')

    def __init__(self, loop, link, receiver):
        self._loop = loop
        self._link = link
        self._receiver = receiver
        link.register('times', self._take_times)
        link.register('speeds', self._take_speeds)

    @property
    def peers(self):
        """Returns the address of each other instance, by its name."""
        return self._link.peers

    def send_times(self, samples, addr):
        """Reports samples to the instance that judges their engines."""
        now = self._loop.time()
        rows = [
            [
                sample.upstream_id,
                sample.work.value,
                round(max(0.0, now - sample.ended_at), 4),
                sample.tokens,
                round(sample.taken_s, 5),
            ]
            for sample in samples
        ]
        for part in _datagram_rows.pieces(rows):
            self._link.send(['times', part], addr)

    def send_speeds(self, verdicts):
        """Publishes verdicts to all instances."""
        rows = [
            [
                verdict.upstream_id,
                verdict.work.value,
                *(round(octaves, 2) for octaves in verdict.quartiles),
                round(verdict.speed, 4),
                verdict.slowness,
            ]
            for verdict in verdicts
        ]
        addresses = list(self._link.peers.values())
        for part in _datagram_rows.pieces(rows):
            self._link.send_all(['speeds', part], addresses)

    def _take_times(self, items, addr):
        self._link.name_of(addr)
        self._receiver.take_times(
            [self._read_sample(*row) for row in _checked_rows(items)]
        )

    def _take_speeds(self, items, addr):
        sender = self._link.name_of(addr)
        self._receiver.take_speeds(
            [_read_verdict(*row) for row in _checked_rows(items)], sender
        )

    def _read_sample(self, upstream_id, work, age_s, tokens, taken_s):
        if not isinstance(tokens, int):
            raise ValueError(f'tokens {tokens!r}')
        return dispatch.Sample(
            _datagram_rows.checked_text(upstream_id),
            dispatch.Work(work),
            self._loop.time()
            - _datagram_rows.checked_number(age_s, 0.0, MAX_AGE_S),
            _datagram_rows.checked_number(tokens, 0, MAX_TOKENS),
            _datagram_rows.checked_number(taken_s, 1e-6, MAX_TAKEN_S),
        )


def _checked_rows(items):
    match items:
        case [rows]:
            return _datagram_rows.checked_rows(rows)
    raise ValueError('not rows of speeds')


def _read_verdict(upstream_id, work, low, median, high, speed, slowness):
    most = MAX_QUARTILE_OCTAVES
    return dispatch.Verdict(
        _datagram_rows.checked_text(upstream_id),
        dispatch.Work(work),
        tuple(
            _datagram_rows.checked_number(value, -most, most)
            for value in (low, median, high)
        ),
        _datagram_rows.checked_number(
            speed, 2.0**-MAX_SPEED_OCTAVES, 2.0**MAX_SPEED_OCTAVES
        ),
        _datagram_rows.checked_number(slowness, 1.0, 2.0**MAX_SPEED_OCTAVES),
    )

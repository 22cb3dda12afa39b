"""A report of usage, and its form in the store."""

import json
import zlib

import attrs

from dandelionwinch import errors

# Size from which a report is compressed, as each instance's watch of the
# store brings it.
MIN_COMPRESSED_BYTES = 1024
MAX_REPORT_BYTES = 1 << 20


class ReportInvalid(errors.DandelionwinchError):
    """A report in the store can't be decoded."""

    code = 'usage_report_invalid'


@attrs.frozen
class Report:
    """The requests of each team that began to run in a window.

    Attributes:
        window: Number of the window.
        counts: Number of requests, by team.
    """

    window: int
    counts: dict[str, int]

    def encode(self):
        """Returns the bytes that are written to the store."""
        data = json.dumps(
            {'window': self.window, 'counts': self.counts},
            separators=(',', ':'),
            sort_keys=True,
        ).encode()
        if len(data) < MIN_COMPRESSED_BYTES:
            return data
        return zlib.compress(data, 9)

    @classmethod
    def decode(cls, value):
        """Returns the Report of such bytes, or raises ReportInvalid."""
        try:
            data = json.loads(_decompressed(value))
            window, counts = data['window'], data['counts']
        except (*errors.SHAPE_ERRORS, RecursionError, zlib.error) as exc:
            raise ReportInvalid(f'a usage report: {exc!r}') from exc
        if type(window) is not int or not isinstance(counts, dict):
            raise ReportInvalid('a usage report: not a window and counts')
        if any(type(count) is not int for count in counts.values()):
            raise ReportInvalid('a usage report: a count is no number')
        return cls(window, counts)


def _decompressed(value):
    if value[:1] == b'{':
        return value
    inflater = zlib.decompressobj()
    data = inflater.decompress(value, MAX_REPORT_BYTES)
    if inflater.unconsumed_tail:
        raise ReportInvalid(f'a usage report: over {MAX_REPORT_BYTES} bytes')
    return data

"""Gathers from the logs of many instances what decided one request."""

import json

import attrs

CONTEXT_S = 5.0
TIMELINE_COLUMNS = ('time', 'instance', 'kind', 'subject', 'detail')
BELIEF_EVENTS = (
    'config.applied',
    'orders.sent',
    'store.lost',
    'store.reached',
    'upstream.changed',
    'upstream.changing',
    'upstream.gone',
)


@attrs.frozen
class Line:
    """One event of a log.

    Attributes:
        time: Unix seconds by the instance's clock.
    """

    time: float
    instance: str
    event: str
    fields: dict


def read(lines):
    """Yields a Line for each event; other text is passed over.

    Args:
        lines: Lines of logs, whatever stands before each JSON object.
    """
    for text in lines:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            yield Line(
                fields.pop('time'),
                fields.pop('instance'),
                fields.pop('event'),
                fields,
            )
        except (ValueError, KeyError):
            continue


def explain(request_id, lines):
    """Returns the events of a request, and what its instance believed.

    Beliefs are those of the request's instance about the upstreams it
    was sent to, and about the store and routes, up to some seconds
    before the first event of the request.

    Args:
        request_id: Id of the request.
        lines: Lines of logs.

    Returns:
        A list of Line in order of time; empty if the id is not there.
    """
    events = list(read(lines))
    own = [e for e in events if e.fields.get('request') == request_id]
    if not own:
        return []
    instances = {e.instance for e in own}
    first = min(e.time for e in own) - CONTEXT_S
    last = max(e.time for e in own)
    upstreams = {e.fields.get('upstream') for e in own}
    upstreams |= {e.fields.get('decode') for e in own}
    upstreams |= {e.fields.get('prefill') for e in own}
    found = [
        e
        for e in events
        if e in own
        or (
            e.event in BELIEF_EVENTS
            and e.instance in instances
            and first <= e.time <= last
            and e.fields.get('upstream') in upstreams | {None}
        )
    ]
    return sorted(found, key=lambda e: e.time)


def _details(line, left_out):
    return ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name not in left_out and value not in ('', None)
    )


def text_of(line):
    """Returns a Line as one line of text."""
    details = _details(line, ('at', 'request'))
    return f'{line.time:.3f} {line.instance} {line.event} {details}'


def as_timeline(lines):
    """Returns the events of logs in the form of the operators' answers."""
    rows = []
    for line in sorted(read(lines), key=lambda e: e.time):
        subject = line.fields.get('request') or line.fields.get('upstream')
        rows.append(
            {
                'time': line.time,
                'instance': line.instance,
                'kind': line.event,
                'subject': subject or '',
                'detail': _details(line, ('at', 'request', 'upstream')),
            }
        )
    return {'columns': list(TIMELINE_COLUMNS), 'rows': rows}

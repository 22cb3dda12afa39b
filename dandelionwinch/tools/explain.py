"""Explains the handling of a request from the logs of the instances."""

import json

import attrs

CONTEXT_S = 5.0
# Age up to which a crash may have led to a hold.
CRASH_AGE_S = 120.0
TIMELINE_COLUMNS = ('time', 'instance', 'kind', 'subject', 'detail')
CONTEXT_EVENTS = (
    'config.applied',
    'orders.sent',
    'store.era',
    'store.lost',
    'store.reached',
    'upstream.changed',
    'upstream.changing',
    'upstream.crashed',
    'upstream.gone',
)


@attrs.frozen
class LogEvent:
    """An event that an instance logged.

    Attributes:
        time: Unix time in seconds by the instance's clock.
        instance: Name of the instance.
        name: Name of the event.
        fields: All other fields of the event.
    """

    time: float
    instance: str
    name: str
    fields: dict


def read_events(lines):
    """Yields a LogEvent for each event; other lines are skipped.

    Args:
        lines: Lines of logs; any text before the JSON object is ignored.
    """
    for text in lines:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            yield LogEvent(
                fields.pop('time'),
                fields.pop('instance'),
                fields.pop('event'),
                fields,
            )
        except (ValueError, KeyError):
            continue


def explain(request_id, lines):
    """Returns the events of a request and their context.

    The context consists of the events of the same instances about the
    upstreams of the request, the store and the configuration, from
    CONTEXT_S seconds before the first to the last event of the request. If
    a hold refused the request, that hold and the crashes of engines that led
    to it, at all instances, are part of the context.

    Args:
        request_id: Id of the request.
        lines: Lines of logs.

    Returns:
        A list of LogEvent in order of time; empty if the logs do not
        contain the id.
    """
    events = list(read_events(lines))
    request_events = [
        event for event in events if event.fields.get('request') == request_id
    ]
    if not request_events:
        return []
    instances = {event.instance for event in request_events}
    first = min(event.time for event in request_events) - CONTEXT_S
    last = max(event.time for event in request_events)
    upstreams = {event.fields.get('upstream') for event in request_events}
    upstreams |= {event.fields.get('decode') for event in request_events}
    upstreams |= {event.fields.get('prefill') for event in request_events}
    hold_events = _hold_events(events, request_events)
    selected = [
        event
        for event in events
        if event in request_events
        or event in hold_events
        or (
            event.name in CONTEXT_EVENTS
            and event.instance in instances
            and first <= event.time <= last
            and event.fields.get('upstream') in upstreams | {None}
        )
    ]
    return sorted(selected, key=lambda event: event.time)


def _hold_events(events, request_events):
    """Returns the events of the hold that refused a request, if one did."""
    last = request_events[-1]
    held = [
        event
        for event in events
        if event.name == 'subject.held'
        and event.instance == last.instance
        and event.time <= last.time
        and f'"{event.fields["subject"]}"' in (last.fields.get('reason') or '')
    ]
    if not held:
        return []
    hold = max(held, key=lambda event: event.time)
    crashes = [
        event
        for event in events
        if event.name == 'upstream.crashed'
        and hold.fields['subject'] in event.fields['subjects']
        and hold.time - CRASH_AGE_S <= event.time <= hold.time
    ]
    return [*crashes, hold]


def _details(event, excluded):
    return ' '.join(
        f'{name}={value}'
        for name, value in event.fields.items()
        if name not in excluded and value not in ('', None)
    )


def format_event(event):
    """Formats a LogEvent as one line of text."""
    details = _details(event, ('at', 'request'))
    return f'{event.time:.3f} {event.instance} {event.name} {details}'


def as_timeline(lines):
    """Returns the events of logs in the form of a ``show events`` answer."""
    rows = []
    for event in sorted(read_events(lines), key=lambda event: event.time):
        subject = event.fields.get('request') or event.fields.get('upstream')
        rows.append(
            {
                'time': event.time,
                'instance': event.instance,
                'kind': event.name,
                'subject': subject or '',
                'detail': _details(event, ('at', 'request', 'upstream')),
            }
        )
    return {'columns': list(TIMELINE_COLUMNS), 'rows': rows}

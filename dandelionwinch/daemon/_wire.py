"""Encoding of values in the messages between peers."""

import json

import cattrs

from dandelionwinch import claims
from dandelionwinch import errors
from dandelionwinch.peers import peer_pb2
from dandelionwinch import placement
from dandelionwinch import revisions
from dandelionwinch import shapes
from dandelionwinch import timeline

# Values are sent with the name of their class.
_MUTATIONS = {cls.__name__: cls for cls in (claims.Open, claims.Close)}
_RESULTS = {
    cls.__name__: cls
    for cls in (
        claims.Granted,
        claims.Held,
        claims.Recorded,
        claims.Expired,
        claims.Full,
        claims.Unreached,
        claims.Unsettled,
    )
}


def _dump(value):
    raw = {'type': type(value).__name__, 'value': cattrs.unstructure(value)}
    return json.dumps(raw).encode()


def _load(data, classes):
    what = 'a message of a peer'
    raw = shapes.parse(data, what)
    name = shapes.field(raw, 'type', str, what)
    if name not in classes:
        raise errors.MalformedValue(what, '$.type', f'"{name}" is unknown')
    return shapes.structure(raw.get('value'), classes[name], what)


def dump_mutation(mutation):
    """Encodes a claims.Open or claims.Close."""
    return _dump(mutation)


def load_mutation(data):
    """Decodes a claims.Open or claims.Close.

    Raises:
        MalformedValue: If the message has another shape.
    """
    return _load(data, _MUTATIONS)


def dump_result(result):
    """Encodes the result of a claim change."""
    return _dump(result)


def load_result(data):
    """Decodes the result of a claim change.

    Raises:
        MalformedValue: If the message has another shape.
    """
    return _load(data, _RESULTS)


def dump_choice(choice):
    """Returns the PlaceReply for a Choice or Refusal."""
    if isinstance(choice, placement.Refusal):
        return peer_pb2.PlaceReply(
            refusal=choice.reason, retry_after_s=choice.retry_after_s
        )
    return peer_pb2.PlaceReply(
        prefill=choice.prefill,
        decode=choice.decode,
        first_token_s=choice.first_token_s,
        hit_tokens=choice.hit_tokens,
        terms=choice.terms,
    )


def load_choice(message):
    """Returns the Choice or Refusal of a PlaceReply."""
    if message.refusal:
        return placement.Refusal(message.refusal, message.retry_after_s)
    return placement.Choice(
        message.prefill,
        message.decode,
        message.first_token_s,
        message.hit_tokens,
        message.terms,
    )


def dump_event(event):
    """Returns the message of an event."""
    return peer_pb2.Event(
        physical_us=event.timestamp.physical_us,
        logical=event.timestamp.logical,
        instance=event.instance,
        sequence=event.sequence,
        kind=event.kind,
        subject=event.subject,
        detail=event.detail,
    )


def load_event(message):
    """Returns the event of a message."""
    return timeline.Event(
        timeline.Timestamp(message.physical_us, message.logical),
        message.instance,
        message.sequence,
        message.kind,
        message.subject,
        message.detail,
    )


def dump_rows(rows):
    """Encodes rows of a table."""
    return json.dumps(rows, default=str).encode()


def load_rows(data):
    """Decodes rows of a table.

    Raises:
        MalformedValue: If they are no list of objects.
    """
    return shapes.load(data, list[dict], 'a table of a peer')


def load_document(message):
    """Returns the revisions.Document of a message.

    Raises:
        MalformedValue: If its value is not JSON.
    """
    value = None
    if not message.removed:
        what = f'document "{message.path}" of a peer'
        value = shapes.parse(message.value, what)
    return revisions.Document(message.path, message.revision, value)

"""Encoding of values in the messages between peers."""

import json

import cattrs

from dandelionwinch import claims
from dandelionwinch.peers import peer_pb2
from dandelionwinch import placement
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
    raw = json.loads(data)
    return cattrs.structure(raw['value'], classes[raw['type']])


def dump_mutation(mutation):
    """Encodes a claims.Open or claims.Close."""
    return _dump(mutation)


def load_mutation(data):
    """Decodes a claims.Open or claims.Close."""
    return _load(data, _MUTATIONS)


def dump_result(result):
    """Encodes the result of a claim change."""
    return _dump(result)


def load_result(data):
    """Decodes the result of a claim change."""
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
    """Decodes rows of a table."""
    return json.loads(data)

"""Subjects of suspicion, as instances name them to each other.

A subject is a part of a prompt, or a request as a whole, called a call here:
whoever sends it, or from one caller only. Of a call only a digest is told.
"""

import hashlib

import attrs

MAX_KEY_CHARS = 48
DIGEST_BYTES = 16
CALLER_BYTES = 8
_CALL_KINDS = ('call', 'caller')


def subject_key(name):
    """Returns a name of bounded length for a part of a prompt."""
    if len(name) <= MAX_KEY_CHARS:
        return name
    digest = hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES)
    return digest.hexdigest()


def call_keys(method, host, target, body, caller):
    """Returns the keys of a whole request, of any caller and of this one.

    Args:
        method: Method of the request.
        host: Host that it names.
        target: Path and query.
        body: Bytes of the body.
        caller: Address of the caller.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (method, host, target):
        digest.update(text.encode() + b'\0')
    digest.update(body)
    key = digest.hexdigest()
    address = hashlib.blake2b(caller.encode(), digest_size=CALLER_BYTES)
    return [f'call/{key}', f'caller/{key}/{address.hexdigest()}']


def is_call(key):
    """Tells whether a key is that of a whole request."""
    return key.partition('/')[0] in _CALL_KINDS


def is_of_another_caller(key, other):
    """Tells whether a key is a call of one caller, and not that of `key`.

    Args:
        key: Key of a call, of any caller or of one.
        other: Another key.
    """
    kind, _, call = other.partition('/')
    if kind != 'caller' or not is_call(key) or are_other_calls(key, other):
        return False
    return call != key.partition('/')[2]


def callers_of(key, subjects):
    """Returns those of the subjects that are a call, of one caller each."""
    kind, _, call = key.partition('/')
    if kind != 'call':
        return set()
    return {s for s in subjects if s.startswith(f'caller/{call}/')}


def are_other_calls(key, other):
    """Tells whether two keys are those of two different calls."""
    if not (is_call(key) and is_call(other)):
        return False
    call = key.partition('/')[2]
    other_call = other.partition('/')[2]
    return call.partition('/')[0] != other_call.partition('/')[0]


@attrs.frozen
class Suspect:
    """A subject that an upstream had when it crashed.

    Attributes:
        subject: Key of the subject.
        depth: Its place in its request, 0 for the first one.
        answered: Whether an answer on it had begun recently, as far as the
            instance that reports it knows.
    """

    subject: str
    depth: int
    answered: bool

"""A bucket of claims and the rules by which it changes."""

import enum
import json

import attrs
import cattrs

from dandelionwinch.claims import _keys
from dandelionwinch import utils

_CLAIM_OVERHEAD_BYTES = 256


class State(enum.StrEnum):
    """What is known of a claimed call."""

    OPEN = 'open'
    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


@attrs.frozen
class Claim:
    """The record of one idempotency key.

    Attributes:
        key: The idempotency key, with the service's name before it.
        token: Who may send the call: instance, incarnation, request.
        request: Digest of the request, to recognize a reused key.
        opened: Wall time in seconds.
        changed: Wall time of the last change of state.
        answer: The answer's body, if it was small enough to keep.
        digest: Digest of the answer's body.
    """

    key: str
    token: str
    request: str
    opened: float
    state: State = State.OPEN
    changed: float = 0.0
    answer: str = ''
    digest: str = ''
    status: int = 0
    content_type: str = ''
    kept: bool = False


@attrs.frozen
class Open:
    """Asks for the right to send a call."""

    key: str
    token: str
    request: str


@attrs.frozen
class Close:
    """Records what became of a call."""

    key: str
    token: str
    state: State
    answer: str = ''
    digest: str = ''
    status: int = 0
    content_type: str = ''
    kept: bool = False


@attrs.frozen
class Granted:
    """Result: the call may be sent once, with this token."""

    token: str


@attrs.frozen
class Held:
    """Result: the key is claimed; this is its record."""

    claim: Claim


@attrs.frozen
class Recorded:
    """Result: the outcome stands in the bucket."""

    state: State


@attrs.frozen
class Expired:
    """Result: the key is older than the retention of claims."""


@attrs.frozen
class Full:
    """Result: the bucket has no room for another claim."""


@attrs.frozen
class StoredAnswer:
    """An answer that is to be recorded."""

    status: int
    content_type: str
    body: bytes


def close_with_answer(key, token, kept, limit):
    """Returns the change that records an answer.

    A body that is small and text is kept; of others the digest is.

    Args:
        key: Key of the claim.
        token: Token of the claim.
        kept: The answer.
        limit: Largest body in bytes that is kept.
    """
    text = ''
    small = len(kept.body) <= limit
    if small:
        try:
            text = kept.body.decode('utf-8')
        except UnicodeDecodeError:
            small = False
    return Close(
        key,
        token,
        State.DONE,
        answer=text,
        digest=utils.digest_of(kept.body),
        status=kept.status,
        content_type=kept.content_type,
        kept=small,
    )


class Bucket:
    """The aggregate of the claims that share one store value."""

    __slots__ = ('_cfg', '_claims')

    def __init__(self, cfg, claims=()):
        self._cfg = cfg
        self._claims = {claim.key: claim for claim in claims}

    @classmethod
    def load(cls, cfg, value):
        """Reads a bucket from its store value, which may be None."""
        raw = json.loads(value) if value else []
        return cls(cfg, cattrs.structure(raw, list[Claim]))

    def dump(self):
        """Returns the store value."""
        raw = cattrs.unstructure(list(self._claims.values()))
        return json.dumps(raw, separators=(',', ':')).encode()

    def get(self, key):
        """Returns a claim, or None."""
        return self._claims.get(key)

    def claims(self):
        """Returns all claims."""
        return list(self._claims.values())

    def apply(self, mutation, wall):
        """Applies a change; repeating it changes nothing more.

        Args:
            mutation: Open or Close.
            wall: Wall time in seconds.

        Returns:
            One of the result classes.
        """
        match mutation:
            case Open():
                return self._open(mutation, wall)
            case Close():
                return self._close(mutation, wall)
        raise TypeError(f'"{mutation!r}" is not a change of a claim')

    def _open(self, mutation, wall):
        held = self._claims.get(mutation.key)
        if held is not None and held.token == mutation.token:
            if held.state is State.OPEN:
                return Granted(mutation.token)
            return Held(held)
        may_reopen = (
            held is not None
            and held.state is State.NOT_RUN
            and held.request in ('', mutation.request)
        )
        if held is not None and not may_reopen:
            return Held(held)
        if self._is_expired(mutation.key, wall):
            return Expired()
        self.compact(wall)
        if held is None and not self._has_room():
            return Full()
        self._claims[mutation.key] = Claim(
            mutation.key,
            mutation.token,
            mutation.request,
            wall,
            changed=wall,
        )
        return Granted(mutation.token)

    def _is_expired(self, key, wall):
        made = _keys.key_time(key.partition('/')[2])
        return made is not None and made < wall - self._cfg.retention_s

    def _has_room(self):
        kept = sum(len(claim.answer) for claim in self._claims.values())
        bound = self._cfg.max_bucket_bytes
        bound -= self._cfg.max_kept_answer_bytes + _CLAIM_OVERHEAD_BYTES
        return kept + len(self._claims) * _CLAIM_OVERHEAD_BYTES <= bound

    def _close(self, mutation, wall):
        held = self._claims.get(mutation.key)
        if held is None and mutation.state is State.NOT_RUN:
            # A record also changes the bucket's revision, so that a
            # delayed write of the opening fails at its guard.
            held = Claim(mutation.key, mutation.token, '', wall)
        if held is None or held.token != mutation.token:
            return Recorded(mutation.state)
        if held.state in (State.DONE, State.NOT_RUN):
            return Recorded(held.state)
        if held.state is mutation.state:
            return Recorded(held.state)
        self._claims[mutation.key] = attrs.evolve(
            held,
            state=mutation.state,
            changed=wall,
            answer=mutation.answer,
            digest=mutation.digest,
            status=mutation.status,
            content_type=mutation.content_type,
            kept=mutation.kept,
        )
        return Recorded(mutation.state)

    def compact(self, wall):
        """Drops claims that are older than the retention.

        A claim whose outcome is unknown stays.
        """
        floor = wall - self._cfg.retention_s
        over = [
            key
            for key, claim in self._claims.items()
            if claim.changed < floor
            and claim.state in (State.DONE, State.NOT_RUN)
        ]
        for key in over:
            del self._claims[key]

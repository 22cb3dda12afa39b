"""A bucket of claims and the rules for its state transitions."""

import enum
import json

import attrs
import cattrs

from dandelionwinch.claims import _keys
from dandelionwinch import utils

# Estimated size of a serialized claim without its answer.
_CLAIM_OVERHEAD_BYTES = 256


class State(enum.StrEnum):
    """Execution state of a claimed call.

    Attributes:
        OPEN: The key is claimed and no outcome is recorded yet.
        DONE: The call ran.
        NOT_RUN: The call certainly did not run; its key may be claimed
            again.
        UNKNOWN: The call was sent and may have run.
    """

    OPEN = 'open'
    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


@attrs.frozen
class Claim:
    """The stored record of one idempotency key.

    Attributes:
        key: The idempotency key, prefixed with the service's name.
        token: Identifies the request that may send the call: instance,
            incarnation and request id.
        request: Digest of the request, to detect a reused key.
        opened: Wall time in seconds.
        changed: Wall time in seconds of the last change of state.
        answer: The answer's body, or empty if it was not stored.
        digest: Digest of the answer's body.
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        kept: Whether ``answer`` holds the body.
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
    """Mutation: claims a key for one call."""

    key: str
    token: str
    request: str


@attrs.frozen
class Close:
    """Mutation: records the outcome of a call."""

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
    """Result: the holder of this token may send the call once."""

    token: str


@attrs.frozen
class Held:
    """Result: the key is already claimed, by this claim."""

    claim: Claim


@attrs.frozen
class Recorded:
    """Result: the claim has this outcome."""

    state: State


@attrs.frozen
class Expired:
    """Result: the key is older than the retention of claims."""


@attrs.frozen
class Full:
    """Result: the bucket has no room for another claim."""


@attrs.frozen
class StoredAnswer:
    """An upstream's answer, to be stored with its claim."""

    status: int
    content_type: str
    body: bytes


def close_with_answer(key, claim_id, answer, max_bytes):
    """Returns the Close that records an answer.

    The body is stored if it is UTF-8 text within the limit; otherwise
    only its digest is.

    Args:
        key: Key of the claim.
        claim_id: Identifier of the claim, its field `token`.
        answer: The StoredAnswer.
        max_bytes: Largest body in bytes that is stored.
    """
    text = ''
    storable = len(answer.body) <= max_bytes
    if storable:
        try:
            text = answer.body.decode('utf-8')
        except UnicodeDecodeError:
            storable = False
    return Close(
        key,
        claim_id,
        State.DONE,
        answer=text,
        digest=utils.digest_of(answer.body),
        status=answer.status,
        content_type=answer.content_type,
        kept=storable,
    )


class Bucket:
    """The claims that share one value in the store."""

    __slots__ = ('_cfg', '_claims')

    def __init__(self, cfg, claims=()):
        self._cfg = cfg
        self._claims = {claim.key: claim for claim in claims}

    @classmethod
    def load(cls, cfg, value):
        """Deserializes a bucket; a value of None gives an empty one."""
        raw = json.loads(value) if value else []
        return cls(cfg, cattrs.structure(raw, list[Claim]))

    def dump(self):
        """Returns the serialized bucket."""
        raw = cattrs.unstructure(list(self._claims.values()))
        return json.dumps(raw, separators=(',', ':')).encode()

    def get(self, key):
        """Returns the claim of a key, or None."""
        return self._claims.get(key)

    def claims(self):
        """Returns all claims."""
        return list(self._claims.values())

    def apply(self, mutation, wall):
        """Applies a mutation; applying it again has no further effect.

        Args:
            mutation: Open or Close.
            wall: Wall time in seconds.

        Returns:
            Granted, Held, Expired or Full for an Open, Recorded for a
            Close.
        """
        match mutation:
            case Open():
                return self._open(mutation, wall)
            case Close():
                return self._close(mutation, wall)
        raise TypeError(f'"{mutation!r}" is not a mutation of a claim')

    def _open(self, mutation, wall):
        existing = self._claims.get(mutation.key)
        if existing is not None and existing.token == mutation.token:
            if existing.state is State.OPEN:
                return Granted(mutation.token)
            return Held(existing)
        may_reopen = (
            existing is not None
            and existing.state is State.NOT_RUN
            and existing.request in ('', mutation.request)
        )
        if existing is not None and not may_reopen:
            return Held(existing)
        if self._is_expired(mutation.key, wall):
            return Expired()
        self.compact(wall)
        if existing is None and not self._has_room():
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
        created = _keys.key_time(key.partition('/')[2])
        return created is not None and created < wall - self._cfg.retention_s

    def _has_room(self):
        used = sum(len(claim.answer) for claim in self._claims.values())
        limit = self._cfg.max_bucket_bytes
        limit -= self._cfg.max_kept_answer_bytes + _CLAIM_OVERHEAD_BYTES
        return used + len(self._claims) * _CLAIM_OVERHEAD_BYTES <= limit

    def _close(self, mutation, wall):
        claim = self._claims.get(mutation.key)
        if claim is None and mutation.state is State.NOT_RUN:
            # Storing the claim also changes the bucket's store revision,
            # so the guard of a delayed write of the Open fails.
            claim = Claim(mutation.key, mutation.token, '', wall)
        if claim is None or claim.token != mutation.token:
            return Recorded(mutation.state)
        if claim.state in (State.DONE, State.NOT_RUN):
            return Recorded(claim.state)
        if claim.state is mutation.state:
            return Recorded(claim.state)
        self._claims[mutation.key] = attrs.evolve(
            claim,
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

        Claims that are open or have an unknown outcome stay.
        """
        oldest = wall - self._cfg.retention_s
        expired = [
            key
            for key, claim in self._claims.items()
            if claim.changed < oldest
            and claim.state in (State.DONE, State.NOT_RUN)
        ]
        for key in expired:
            del self._claims[key]

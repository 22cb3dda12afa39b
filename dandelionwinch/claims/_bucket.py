"""A bucket of claims and the rules for its state transitions."""

import enum
import json

import attrs
import cattrs

from dandelionwinch.claims import _keys
from dandelionwinch import shapes
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
        key: The idempotency key, prefixed with the service's name and a
            slash.
        token: Identifier of the claim and so of the request that may send
            the call: instance, incarnation and request id, joined by
            ``#``. It is not a credential.
        request: Digest of the request, to detect a key that is reused for
            another request; empty if the claim was created by a Close.
        opened: Wall time in seconds.
        changed: Wall time in seconds of the last change of state.
        answer: The answer's body, or empty if it was not stored.
        digest: Digest of the answer's body.
        status: HTTP status of the answer.
        content_type: Content type of the answer.
        kept: Whether the body is stored in ``answer``.
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
    """Mutation: claims a key for one call.

    Attributes:
        key: Key of the claim.
        token: Identifier of the claim.
        request: Digest of the request.
    """

    key: str
    token: str
    request: str


@attrs.frozen
class Close:
    """Mutation: records the outcome of a call.

    The attributes are those of the Claim, which they replace if its token
    is the same.
    """

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
    """Result: the request that opened the claim may send the call once.

    Attributes:
        token: Identifier of the claim.
    """

    token: str


@attrs.frozen
class Held:
    """Result: the key is already claimed, by this claim."""

    claim: Claim


@attrs.frozen
class Recorded:
    """Result: the Close needs no further write.

    Attributes:
        state: State of the claim, or that of the Close if the bucket has
            no claim of its token.
    """

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


def _dump(value):
    text = json.dumps(value, separators=(',', ':'), ensure_ascii=False)
    return text.encode()


def _stored_bytes(text):
    """Returns the bytes of a text in a serialized bucket, 0 for none."""
    return len(_dump(text)) if text else 0


def close_with_answer(key, claim_id, answer, max_bytes):
    """Returns the Close that records an answer.

    The body is stored if it is UTF-8 text within the limit; otherwise
    only its digest is.

    Args:
        key: Key of the claim.
        claim_id: Identifier of the claim, its field ``token``.
        answer: The StoredAnswer.
        max_bytes: Largest size in bytes of a stored body, as JSON.
    """
    text = ''
    stored = len(answer.body) <= max_bytes
    if stored:
        try:
            text = answer.body.decode('utf-8')
        except UnicodeDecodeError:
            stored = False
    if _stored_bytes(text) > max_bytes:
        text = ''
        stored = False
    return Close(
        key,
        claim_id,
        State.DONE,
        answer=text,
        digest=utils.digest_of(answer.body),
        status=answer.status,
        content_type=answer.content_type,
        kept=stored,
    )


class Bucket:
    """The claims that share one value in the store.

    Args:
        cfg: The ClaimSettings.
        claims: Claims to begin with.
    """

    __slots__ = ('_cfg', '_claims')

    def __init__(self, cfg, claims=()):
        self._cfg = cfg
        self._claims = {claim.key: claim for claim in claims}

    @classmethod
    def load(cls, cfg, value):
        """Deserializes a bucket; a value of None gives an empty one.

        Raises:
            MalformedValue: If the value has another shape.
        """
        if not value:
            return cls(cfg)
        return cls(cfg, shapes.load(value, list[Claim], 'a bucket of claims'))

    def dump(self):
        """Returns the serialized bucket."""
        return _dump(cattrs.unstructure(list(self._claims.values())))

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
            # The same Open was applied before, by a write whose reply was
            # lost.
            if existing.state is State.OPEN:
                return Granted(mutation.token)
            return Held(existing)
        may_reopen = (
            existing is not None
            and existing.state is State.NOT_RUN
            # Empty if a Close created the claim, see _close.
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
        used = sum(_stored_bytes(c.answer) for c in self._claims.values())
        # Leaves room for the new claim with the largest stored answer.
        limit = self._cfg.max_bucket_bytes
        limit -= self._cfg.max_kept_answer_bytes + _CLAIM_OVERHEAD_BYTES
        return used + len(self._claims) * _CLAIM_OVERHEAD_BYTES <= limit

    def _close(self, mutation, wall):
        claim = self._claims.get(mutation.key)
        if claim is None and mutation.state is State.NOT_RUN:
            # The Open was not written, or its write is still delayed.
            # Storing a claim without a request digest changes the bucket's
            # store revision, so the guard of a delayed write fails.
            claim = Claim(mutation.key, mutation.token, '', wall)
        if claim is None or claim.token != mutation.token:
            # The claim was dropped, or the key was claimed by another
            # request: nothing is left to record. Any other result than
            # Recorded would make the writer retry.
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

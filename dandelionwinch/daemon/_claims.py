"""Claims on calls that may run only once: batched writes, resolution."""

import asyncio

import attrs

from dandelionwinch.adapters import service as service_adapter
from dandelionwinch import claims
from dandelionwinch.daemon import _periodic
from dandelionwinch.daemon import _wire
from dandelionwinch import effects
from dandelionwinch import errors
from dandelionwinch.peers import peer_pb2
from dandelionwinch import utils

FORWARD_TIMEOUT_S = 1.5
# Buckets without known unresolved claims are read again after this time.
FULL_SCAN_INTERVAL_S = 30.0
BACKLOG_RETRY_S = 1.0
MAX_PENDING_PER_BUCKET = 4096
CLOSE_WAIT_S = 0.3


@attrs.define
class _PendingBatch:
    """Claim changes for the next write of a bucket.

    Attributes:
        items: Pairs of a change and the future of its result.
        task: Task that writes the batches, or None.
    """

    items: list = attrs.field(factory=list)
    task: object = None


class Claims:
    """Writes claims in batches and resolves those without an outcome.

    Each bucket has an owner, chosen by rendezvous hashing, to which other
    instances forward their changes so that one store write carries many.
    This only saves store writes: any instance may write any bucket, and
    compare-and-swap keeps that safe.
    """

    def __init__(self, core):
        self._core = core
        self._pending = {}
        self._backlog = []
        self._unresolved_counts = {}
        self._scanned_at = {}

    def coroutines(self):
        """Returns the coroutines of the background tasks."""
        cfg = self._core.cfg.claims
        rng = self._core.rng
        yield _periodic.every(cfg.resolve_s, self._resolve_all, rng)
        yield _periodic.every(BACKLOG_RETRY_S, self._retry_backlog, rng)

    async def open(self, opening):
        """Opens a claim.

        Args:
            opening: A claims.Open.

        Returns:
            claims.Granted if the call may be sent, else the result that
            says why not.
        """
        result = await self._route(opening)
        if isinstance(result, claims.Unsettled):
            # The claim may have been written although the call is
            # refused, so it is closed as not run.
            self._backlog.append(
                claims.Close(opening.key, opening.token, claims.State.NOT_RUN)
            )
        return result

    async def close_claim(self, close):
        """Records the outcome of a call and retries until it is written.

        The caller waits ``CLOSE_WAIT_S`` at most. The outcome is certain
        by then, and the only effect of a claim that stays open for longer
        is that it may be resolved through the service.
        """
        self._core.event('claim.closed', close.key, str(close.state))
        task = asyncio.create_task(self._close_or_queue(close))
        await asyncio.wait([task], timeout=CLOSE_WAIT_S)

    async def _close_or_queue(self, close):
        result = await self._route(close)
        if not isinstance(result, claims.Recorded):
            self._backlog.append(close)

    async def _retry_backlog(self):
        backlog, self._backlog = self._backlog, []
        for close in backlog:
            result = await self._route(close)
            if not isinstance(result, claims.Recorded):
                self._backlog.append(close)

    async def flush(self):
        """Tries once to write the outcomes that are not written yet."""
        await self._retry_backlog()

    def _owner(self, bucket):
        core = self._core
        usable = core.members.usable(core.now())
        if not usable:
            return None
        best = max(
            usable, key=lambda peer: utils.stable_hash(bucket, peer.name)
        )
        return None if best is core.members.local else best

    async def _route(self, mutation):
        """Writes a change through the owner of its bucket.

        If the owner does not reply, this instance writes it itself. Both may
        write it, as claims.Bucket recognises a repeated change by the claim's
        identifier.
        """
        number = claims.bucket_of(mutation.key, self._core.cfg.claims.buckets)
        bucket = claims.bucket_key(number)
        owner = self._owner(bucket)
        if owner is not None:
            request = peer_pb2.ClaimRequest(
                bucket=bucket, mutation=_wire.dump_mutation(mutation)
            )
            reply = await self._core.peers.call(
                owner.member.peer_address,
                'Claim',
                request,
                FORWARD_TIMEOUT_S,
            )
            if reply is not None:
                try:
                    return _wire.load_result(reply.result)
                except errors.MalformedValue as exc:
                    self._core.finding(
                        'peer.malformed', owner.name, exc.message
                    )
        result = await self.write(bucket, mutation)
        if owner is not None and isinstance(result, claims.Unreached):
            # The owner gave no reply in time but may still write it.
            return claims.Unsettled()
        return result

    async def write(self, bucket, mutation):
        """Adds a change to the next write of a bucket.

        Args:
            bucket: Store key of the bucket.
            mutation: A claims.Open or claims.Close.

        Returns:
            The result of the change; claims.Unreached if too many changes
            of the bucket are waiting.
        """
        pending = self._pending.setdefault(bucket, _PendingBatch())
        if len(pending.items) >= MAX_PENDING_PER_BUCKET:
            return claims.Unreached()
        fut = asyncio.get_running_loop().create_future()
        pending.items.append((mutation, fut))
        if pending.task is None:
            pending.task = asyncio.create_task(self._write_batches(bucket))
        return await fut

    async def _write_batches(self, bucket):
        """Writes the pending changes of a bucket until none is left."""
        pending = self._pending[bucket]
        try:
            while pending.items:
                await asyncio.sleep(self._core.cfg.claims.batch_wait_s)
                batch, pending.items = pending.items, []
                mutations = [mutation for mutation, _fut in batch]
                results = await self._core.run_program(
                    claims.commit_batch(
                        bucket, mutations, self._core.cfg.claims
                    )
                )
                for (_mutation, fut), result in zip(
                    batch, results, strict=True
                ):
                    if not fut.done():
                        fut.set_result(result)
        finally:
            pending.task = None

    async def _resolve_all(self):
        """Resolves the claims of the buckets that this instance owns."""
        core = self._core
        now = core.now()
        for number in range(core.cfg.claims.buckets):
            bucket = claims.bucket_key(number)
            if self._owner(bucket) is not None:
                self._unresolved_counts.pop(bucket, None)
                continue
            scanned_at = self._scanned_at.get(bucket, float('-inf'))
            due = now - scanned_at >= FULL_SCAN_INTERVAL_S
            if due or self._unresolved_counts.get(bucket):
                self._scanned_at[bucket] = now
                await self._resolve(bucket)
        unresolved = sum(self._unresolved_counts.values())
        core.metrics.claims_open.set(unresolved)

    async def _resolve(self, bucket):
        core = self._core
        reply = await core.call_store(effects.Read(bucket))
        if not isinstance(reply, effects.Found):
            return
        try:
            stored = claims.Bucket.load(core.cfg.claims, reply.record.value)
        except errors.MalformedValue as exc:
            core.finding('claims.malformed', bucket, exc.message)
            return
        to_resolve = [
            claim
            for claim in stored.claims()
            if claim.state in (claims.State.OPEN, claims.State.UNKNOWN)
        ]
        self._unresolved_counts[bucket] = len(to_resolve)
        clock = await core.run_program(_read_clock())
        for claim in to_resolve:
            await self._resolve_claim(bucket, claim, clock)

    async def _resolve_claim(self, bucket, claim, clock):
        core = self._core
        holder, incarnation, _request = claim.token.split('#')
        gone = core.departures.is_gone(holder, int(incarnation), clock.now)
        if not claims.needs_resolution(claim, gone):
            return
        answer = await self._query_outcome(claim)
        status = claims.OutcomeStatus.INDETERMINATE
        match answer:
            case service_adapter.Ran():
                status = claims.OutcomeStatus.RAN
            case service_adapter.NeverSeen():
                status = claims.OutcomeStatus.NEVER_SEEN
        state = claims.resolved_state(
            claim,
            status,
            gone,
            clock.wall - claim.changed,
            core.cfg.timing.gone_margin_s,
        )
        if state is None or state is claim.state:
            return
        close = claims.Close(claim.key, claim.token, state)
        if isinstance(answer, service_adapter.Ran):
            close = claims.close_with_answer(
                claim.key,
                claim.token,
                claims.StoredAnswer(200, 'application/json', answer.body),
                core.cfg.claims.max_kept_answer_bytes,
            )
        await self.write(bucket, close)
        core.event('claim.resolved', claim.key, str(state))

    async def _query_outcome(self, claim):
        """Queries all upstreams of a service for the outcome of a call.

        Returns:
            Ran if one of them executed it, NeverSeen if all replied that
            they did not see it, else CannotSay.
        """
        core = self._core
        name, _, key = claim.key.partition('/')
        service = core.catalog.get('service', name)
        if service is None or not service.asks_by_key:
            return service_adapter.CannotSay()
        upstreams = [
            upstream
            for pool in core.catalog.pools_of_service(name)
            for upstream in core.catalog.upstreams_of(pool.name)
        ]
        answers = [
            await core.run_blocking(
                core.services.fetch_outcome, upstream.address, key
            )
            for upstream in upstreams
        ]
        for answer in answers:
            if isinstance(answer, service_adapter.Ran):
                return answer
        if all(isinstance(a, service_adapter.NeverSeen) for a in answers):
            return service_adapter.NeverSeen()
        return service_adapter.CannotSay()

    async def rows(self):
        """Returns all claims in the store, or None if it was not reached."""
        reply = await self._core.call_store(effects.Scan('claims/'))
        if not isinstance(reply, effects.Scanned):
            return None
        found = []
        for record in reply.records:
            stored = claims.Bucket.load(self._core.cfg.claims, record.value)
            found.extend(stored.claims())
        return found


def _read_clock():
    return (yield effects.Clock())

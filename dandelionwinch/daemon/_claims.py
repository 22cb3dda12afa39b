"""Claims of calls that may run only once: batching and resolving."""

import asyncio

import attrs

from dandelionwinch.adapters import service as service_adapter
from dandelionwinch import claims
from dandelionwinch.daemon import _periodic
from dandelionwinch.daemon import _wire
from dandelionwinch import effects
from dandelionwinch.peers import peer_pb2
from dandelionwinch import utils

FORWARD_TIMEOUT_S = 1.5
FULL_SCAN_S = 30.0
DISOWN_RETRY_S = 1.0
MAX_PENDING = 4096
CLOSE_WAIT_S = 0.3


@attrs.define
class _Pending:
    """Changes that wait for the next write of a bucket."""

    items: list = attrs.field(factory=list)
    task: object = None


class Claims:
    """Writes claims in batches and settles those without an outcome.

    Each bucket has a usual owner, to whom others forward their changes
    so that writes batch. This is for cost only: any instance may write
    any bucket, and compare-and-swap keeps it safe.
    """

    def __init__(self, core):
        self._core = core
        self._pending = {}
        self._backlog = []
        self._unresolved = {}
        self._scanned_at = {}

    def runs(self):
        """Returns the coroutines of this task."""
        cfg = self._core.cfg.claims
        rng = self._core.rng
        yield _periodic.every(cfg.resolve_s, self._resolve_all, rng)
        yield _periodic.every(DISOWN_RETRY_S, self._settle_backlog, rng)

    async def open(self, opening):
        """Asks for the right to send a call once."""
        result = await self._route(opening)
        if isinstance(result, claims.Unsettled):
            # The claim may stand although the call is refused: undo it.
            self._backlog.append(
                claims.Close(opening.key, opening.token, claims.State.NOT_RUN)
            )
        return result

    async def close_claim(self, close):
        """Records what became of a call; repeats until it is written.

        The caller waits only a moment: the outcome is certain, and a
        claim that stays open for a while is merely looked into.
        """
        self._core.event('claim.closed', close.key, str(close.state))
        task = asyncio.create_task(self._close_or_keep(close))
        await asyncio.wait([task], timeout=CLOSE_WAIT_S)

    async def _close_or_keep(self, close):
        result = await self._route(close)
        if not isinstance(result, claims.Recorded):
            self._backlog.append(close)

    async def _settle_backlog(self):
        backlog, self._backlog = self._backlog, []
        for close in backlog:
            result = await self._route(close)
            if not isinstance(result, claims.Recorded):
                self._backlog.append(close)

    async def flush(self):
        """Tries once to write what is not written yet."""
        await self._settle_backlog()

    def _owner(self, bucket):
        core = self._core
        usable = core.members.usable(core.now())
        if not usable:
            return None
        best = max(usable, key=lambda k: utils.stable_hash(bucket, k.name))
        return None if best is core.members.local else best

    async def _route(self, mutation):
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
                return _wire.load_result(reply.result)
        result = await self.write(bucket, mutation)
        if owner is not None and isinstance(result, claims.Unreached):
            # The silent owner may still write it.
            return claims.Unsettled()
        return result

    async def write(self, bucket, mutation):
        """Adds a change to the next write of a bucket."""
        pending = self._pending.setdefault(bucket, _Pending())
        if len(pending.items) >= MAX_PENDING:
            return claims.Unreached()
        fut = asyncio.get_running_loop().create_future()
        pending.items.append((mutation, fut))
        if pending.task is None:
            pending.task = asyncio.create_task(self._write_out(bucket))
        return await fut

    async def _write_out(self, bucket):
        pending = self._pending[bucket]
        try:
            while pending.items:
                await asyncio.sleep(self._core.cfg.claims.batch_wait_s)
                batch, pending.items = pending.items, []
                mutations = [mutation for mutation, _fut in batch]
                results = await self._core.run(
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
        core = self._core
        now = core.now()
        for number in range(core.cfg.claims.buckets):
            bucket = claims.bucket_key(number)
            if self._owner(bucket) is not None:
                self._unresolved.pop(bucket, None)
                continue
            scanned_at = self._scanned_at.get(bucket, float('-inf'))
            due = now - scanned_at >= FULL_SCAN_S
            if due or self._unresolved.get(bucket):
                self._scanned_at[bucket] = now
                await self._resolve(bucket)
        unresolved = sum(self._unresolved.values())
        core.metrics.claims_open.set(unresolved)

    async def _resolve(self, bucket):
        core = self._core
        reply = await core.execute(effects.Read(bucket))
        if not isinstance(reply, effects.Found):
            return
        held = claims.Bucket.load(core.cfg.claims, reply.record.value)
        waiting = [
            claim
            for claim in held.claims()
            if claim.state in (claims.State.OPEN, claims.State.UNKNOWN)
        ]
        self._unresolved[bucket] = len(waiting)
        clock = await core.run(_read_clock())
        for claim in waiting:
            await self._resolve_claim(bucket, claim, clock)

    async def _resolve_claim(self, bucket, claim, clock):
        core = self._core
        holder, incarnation, _request = claim.token.split('#')
        gone = core.departures.is_gone(holder, int(incarnation), clock.now)
        if not claims.needs_resolution(claim, gone):
            return
        answer = await self._ask_back_end(claim)
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

    async def _ask_back_end(self, claim):
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
            await core.call(core.services.fetch_outcome, upstream.address, key)
            for upstream in upstreams
        ]
        for answer in answers:
            if isinstance(answer, service_adapter.Ran):
                return answer
        if all(isinstance(a, service_adapter.NeverSeen) for a in answers):
            return service_adapter.NeverSeen()
        return service_adapter.CannotSay()

    async def rows(self):
        """Returns all claims, or None if the store was not reached."""
        reply = await self._core.execute(effects.Scan('claims/'))
        if not isinstance(reply, effects.Scanned):
            return None
        found = []
        for record in reply.records:
            held = claims.Bucket.load(self._core.cfg.claims, record.value)
            found.extend(held.claims())
        return found


def _read_clock():
    return (yield effects.Clock())

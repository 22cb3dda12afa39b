"""Runs statements of the operators' language."""

import asyncio

from dandelionwinch.daemon import _tables
from dandelionwinch.daemon import _wire
from dandelionwinch import effects
from dandelionwinch import errors
from dandelionwinch import language
from dandelionwinch import membership
from dandelionwinch import orders
from dandelionwinch.peers import peer_pb2
from dandelionwinch import revisions
from dandelionwinch import timeline

EVENTS_PER_INSTANCE = 4096
# Time beside that which every rollout takes, for the heartbeats that bring the
# revision to the peers and their confirmations back.
ROLLOUT_MARGIN_S = 1.6
ROLLOUT_POLL_S = 0.1


def rollout_timeout_s(tracker):
    """Returns how long a command waits for its rollout."""
    return tracker.min_wait_s + ROLLOUT_MARGIN_S


class StatementRunner:
    """Runs queries and commands of operators."""

    def __init__(self, core):
        self._core = core

    async def run(self, text):
        """Runs one statement.

        Args:
            text: The statement.

        Returns:
            A mapping for JSON: rows of a query or the result of a
            command.

        Raises:
            DandelionwinchError: If the statement is invalid or cannot be
                carried out.
        """
        statement = language.parse(text)
        match statement:
            case language.Show():
                return await self._show(statement)
            case language.Explain(kind='job'):
                return await self._explain_job(statement.name)
            case language.Explain():
                return self._explain_upstream(statement.name)
        return await self._command(statement)

    async def _show(self, show):
        columns = _tables.columns_of(show.table)
        rows, silent = await self._rows(show.table)
        answer = {
            'columns': list(columns),
            'rows': language.select(show, rows, columns),
        }
        if silent:
            answer['silent_instances'] = silent
        return answer

    async def _rows(self, table):
        """Returns rows, and names of live instances that did not reply."""
        core = self._core
        match table:
            case 'upstreams':
                return _tables.upstream_rows(core), []
            case 'instances':
                return _tables.instance_rows(core), []
            case 'settings':
                return _tables.setting_rows(core), []
            case 'events':
                timeline_items, silent = await self.events()
                return _tables.event_rows(timeline_items), silent
            case 'shards' | 'orders':
                return await self._shard_rows(table), []
            case 'claims':
                return await self._claim_rows(), []
            case 'jobs' | 'earnings':
                return await self._gather_rows(table, '')
        return _tables.document_rows(core, table), []

    def own_rows(self, table, row_id):
        """Returns this instance's rows of a table that every instance has.

        Args:
            table: ``jobs``, ``earnings``, or ``job`` for a single job.
            row_id: Identifier of the job, for ``job``.
        """
        match table:
            case 'jobs':
                return _tables.job_rows(self._core)
            case 'earnings':
                return _tables.earning_rows(self._core)
            case 'job':
                return self._own_job_rows(row_id)
        return []

    async def _gather_rows(self, table, row_id):
        """Collects ``own_rows`` of all live instances.

        Returns:
            The rows, and the names of the instances that did not reply
            (`silent`).
        """
        request = peer_pb2.RowsRequest(table=table, id=row_id)
        replies = await self._core.peers.broadcast('Rows', request)
        rows = list(self.own_rows(table, row_id))
        silent = []
        for name, reply in replies.items():
            try:
                rows.extend(_wire.load_rows(reply.rows) if reply else ())
            except errors.MalformedValue as exc:
                self._core.finding('peer.malformed', name, exc.message)
                reply = None
            if reply is None:
                silent.append(name)
        return rows, silent

    async def events(self):
        """Merges the timelines of all live instances.

        Returns:
            Events and gaps in causal order, and the names of the
            instances that did not answer.
        """
        core = self._core
        request = peer_pb2.EventsRequest(limit=EVENTS_PER_INSTANCE)
        replies = await core.peers.broadcast('Events', request)
        event_lists = [core.event_buffer.latest(EVENTS_PER_INSTANCE)]
        silent = []
        for name, reply in replies.items():
            if reply is None:
                silent.append(name)
            else:
                event_lists.append([_wire.load_event(e) for e in reply.events])
        return timeline.merge(event_lists), silent

    async def _shard_rows(self, table):
        reply = await self._core.call_store(effects.Scan('shards/'))
        if not isinstance(reply, effects.Scanned):
            raise errors.StoreUnavailable(
                f'table "{table}" is in the store, which was not reached'
            )
        rows = []
        for record in reply.records:
            name = record.key.removeprefix('shards/')
            shard = orders.Shard.load(record.value)
            if table == 'shards':
                rows.append(_shard_row(name, shard))
            else:
                rows.extend(self._order_rows(name, shard))
        return rows

    def _order_rows(self, name, shard):
        for order in shard.orders.values():
            yield {
                'id': order.id,
                'upstream': order.upstream,
                'role': order.role,
                'state': str(order.state),
                'epoch': order.epoch,
                'shard': name,
                'reason': self._core.shards.frozen_reason(order.upstream),
            }

    async def _claim_rows(self):
        held = await self._core.claims.rows()
        if held is None:
            raise errors.StoreUnavailable(
                'table "claims" is in the store, which was not reached'
            )
        return [
            {
                'key': claim.key,
                'state': str(claim.state),
                'holder': claim.token.partition('#')[0],
                'opened': claim.opened,
                'changed': claim.changed,
                'status': claim.status,
            }
            for claim in held
        ]

    def _own_job_rows(self, job_id):
        record = self._core.scheduler.job_history.get(job_id)
        if record is None:
            return []
        return [
            {
                'id': record.id,
                'instance': self._core.name,
                'state': record.state,
                'code': record.code,
                'terms': list(record.terms),
            }
        ]

    async def _explain_job(self, job_id):
        rows, silent = await self._gather_rows('job', job_id)
        if not rows:
            where = f' (silent: {", ".join(silent)})' if silent else ''
            raise errors.NotFound(
                f'job "{job_id}" is not known to any live instance{where}'
            )
        return {'columns': list(rows[0]), 'rows': rows}

    def _explain_upstream(self, name):
        core = self._core
        upstream = core.catalog.get('upstream', name)
        if upstream is None:
            raise errors.NotFound(f'upstream "{name}" does not exist')
        row = next(r for r in _tables.upstream_rows(core) if r['name'] == name)
        estimate = core.scheduler.estimates.get(name)
        if estimate is not None:
            now = core.now()
            model = core.catalog.get('pool', upstream.pool).model
            gap_s = core.catalog.get('model', model).token_gap_s
            speed = estimate.prefill_speed(gap_s)
            row['believed_decoding'] = estimate.decoding()
            row['believed_slots'] = estimate.slots(gap_s)
            row['believed_prefill_tokens_per_s'] = round(speed)
            row['believed_backlog_tokens'] = round(
                estimate.backlog(now, max(1.0, speed))
            )
            row['placed_since_report'] = len(estimate.sent)
        return {'columns': list(row), 'rows': [row]}

    async def _command(self, statement):
        core = self._core
        if core.is_cut_off():
            raise errors.Unready(
                'this instance is cut off and takes no commands'
            )
        self._check_instance(statement)
        # None if nothing is held; an empty list if all confirmed the hold.
        unconfirmed_holds = await self._hold_before_commit(statement)
        requested_at = core.now()
        try:
            revision = await core.settings.change(
                lambda documents: language.edits_of(statement, documents)
            )
        except errors.StoreUnavailable as exc:
            if unconfirmed_holds is None:
                raise
            return self._held_without_commit(statement, unconfirmed_holds, exc)
        core.event('command.committed', f'revision {revision}', str(statement))
        if isinstance(statement, language.Undrain):
            await core.holds.end_drain(statement.name)
        return await self._wait_for_rollout(revision, requested_at)

    def _check_instance(self, statement):
        if getattr(statement, 'kind', '') != 'instance':
            return
        names = {peer.name for peer in self._core.members.all_instances()}
        if statement.name not in names:
            raise errors.NotFound(
                f'instance "{statement.name}" does not exist'
            )

    async def _hold_before_commit(self, statement):
        """Holds an upstream that is to be drained or retired.

        New jobs stay off it at once, even if the store is down. A command
        that requires a revision must be checked by the store first.

        Returns:
            Names of the live instances that did not confirm the hold, empty
            if all did; or None if no hold was made.
        """
        match statement:
            case language.Drain(kind='upstream') | language.Retire():
                pass
            case _:
                return None
        name = statement.name
        if self._core.catalog.get('upstream', name) is None:
            raise errors.NotFound(f'upstream "{name}" does not exist')
        if statement.revision is not None:
            return None
        return await self._core.holds.hold_for_drain(name)

    def _held_without_commit(self, statement, unconfirmed_holds, exc):
        """Returns the result of a drain that is held but not stored."""
        text = (
            f'upstream "{statement.name}" gets no new work from the live '
            'instances, but this is not stored: repeat the command when '
            'the store is back'
        )
        return {
            'accepted': False,
            'revision': None,
            'unconfirmed': unconfirmed_holds,
            'message': f'{text} ({exc.message})',
        }

    async def _wait_for_rollout(self, revision, requested_at):
        """Waits until a revision is rolled out, for a limited time.

        Returns:
            The result of the command, with ``accepted`` False at a timeout.
        """
        core = self._core
        data_centres = membership.populated_data_centres(
            core.possibly_running()
        )
        tracker = revisions.RolloutTracker(
            revision, data_centres, core.cfg.timing.cut_off_s
        )
        timeout_s = rollout_timeout_s(tracker)
        while True:
            now = core.now()
            # Otherwise updated only by the next heartbeat, so that the tracker
            # would count this instance as unconfirmed until then.
            core.members.local.revision = core.documents.revision
            rollout = tracker.observe(core.possibly_running(), now)
            waited_s = now - requested_at
            if rollout.accepted or waited_s > timeout_s:
                break
            await asyncio.sleep(ROLLOUT_POLL_S)
        return {
            'accepted': rollout.accepted,
            'revision': revision,
            'seconds': round(core.now() - requested_at, 3),
            'unconfirmed': list(rollout.unconfirmed),
            'message': rollout.reason,
        }


def _shard_row(name, shard):
    return {
        'name': name,
        'holder': shard.holder,
        'epoch': shard.epoch,
        'released': shard.released,
    }

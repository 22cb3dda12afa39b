"""Keeps the configuration up to date from the store and from peers."""

import json
import pathlib

import loguru

from dandelionwinch import catalog
from dandelionwinch.daemon import _periodic
from dandelionwinch.daemon import _wire
from dandelionwinch import errors
from dandelionwinch.peers import peer_pb2
from dandelionwinch import readers
from dandelionwinch import revisions
from dandelionwinch import settings

FAST_POLL_S = 1.0

logger = loguru.logger


class SettingsSync:
    """Fetches and changes the configuration.

    Only a higher revision than the current one is adopted, from the store
    or from a peer. The delegates of a data centre poll the store each
    second. The others get revisions from their peers, and poll the store
    at longer intervals in case that fails.
    """

    def __init__(self, core):
        self._core = core
        self._store_revision = 0
        self._polled_at = float('-inf')
        self._change_count = 0

    def coroutines(self):
        """Returns the coroutines of the background tasks."""
        yield _periodic.every(FAST_POLL_S, self._poll, self._core.rng)

    async def load_initial(self):
        """Loads the configuration from the store or, if down, from peers."""
        fetched = await self._poll_store()
        if isinstance(fetched, revisions.StoreFailure):
            await self._fetch_from_listed_peers()

    async def _fetch_from_listed_peers(self):
        core = self._core
        listed = await core.run_blocking(core.live_list.fetch)
        for line in listed or ():
            if line.name != core.name:
                await self.fetch_from(line.peer_address)

    async def _seed_store(self):
        path = pathlib.Path(self._core.cfg.catalog_file)
        seed = readers.read_catalog(path)

        def edit(documents):
            if documents.revision:
                return revisions.Rejected('head', documents.revision)
            return seed.docs

        await self._core.run_program(
            revisions.change(edit, self._change_token())
        )

    def _change_token(self):
        self._change_count += 1
        core = self._core
        return f'{core.name}#{core.incarnation}#{self._change_count}'

    async def _poll(self):
        core = self._core
        now = core.now()
        polls_fast = core.members.local in core.members.delegates(
            core.data_centre, now
        )
        if polls_fast or now - self._polled_at >= core.cfg.store.poll_s:
            await self._poll_store()

    async def _poll_store(self):
        core = self._core
        requested_at = core.now()
        self._polled_at = requested_at
        try:
            fetched = await core.run_program(
                revisions.fetch(self._store_revision)
            )
        except errors.MalformedValue as exc:
            core.finding('settings.malformed', exc.what, exc.message)
            return revisions.StoreFailure()
        if isinstance(fetched, revisions.Fetched):
            self._store_revision = fetched.store_revision
            core.freshness.store_read(requested_at)
            if self.adopt(fetched.revision, fetched.documents, 'store'):
                await core.heartbeats.announce()
            elif core.documents.revision == 0 and core.cfg.catalog_file:
                await self._seed_store()
        return fetched

    async def fetch_from(self, address):
        """Fetches newer documents from the peer at an address."""
        core = self._core
        request = peer_pb2.DocumentsRequest(after=core.documents.revision)
        reply = await core.peers.call(address, 'Documents', request)
        if reply is None:
            return
        try:
            documents = [_wire.load_document(item) for item in reply.documents]
        except errors.MalformedValue as exc:
            core.finding('peer.malformed', address, exc.message)
            return
        self.adopt(reply.revision, documents, address)

    def handle(self, request):
        """Returns the DocumentsReply to a peer's DocumentsRequest."""
        held = self._core.documents
        reply = peer_pb2.DocumentsReply(revision=held.revision)
        for document in held.changed_since(request.after):
            reply.documents.add(
                path=document.path,
                revision=document.revision,
                removed=document.value is None,
                value=json.dumps(document.value).encode(),
            )
        return reply

    def adopt(self, revision, documents, source):
        """Adopts a revision if it is higher than the current one.

        The documents of an invalid revision are adopted, too, but the
        previous catalog stays in force.

        Args:
            revision: The revision.
            documents: All documents that changed since the current
                revision.
            source: Where they come from, for the timeline.

        Returns:
            Whether the revision was higher.
        """
        core = self._core
        if not core.documents.adopt(revision, documents):
            return False
        try:
            built = catalog.build(core.documents.values(), readers.structure)
        except errors.SettingsInvalid as exc:
            logger.error(
                'settings revision {} is invalid, keeping the previous '
                'catalog: {}',
                revision,
                exc,
            )
            return True
        core.catalog = built
        core.scheduler.update_upstreams(built)
        core.metrics.revision.set(revision)
        self._apply_own_state()
        core.event('settings.adopted', f'revision {revision}', source)
        return True

    def _apply_own_state(self):
        core = self._core
        configured = core.catalog.get('instance', core.name)
        if configured is None:
            return
        if configured.state is settings.UpstreamState.ACTIVE:
            core.members.cancel_leave()
        else:
            core.members.leave()

    async def change(self, edit):
        """Validates a change against all documents and commits it.

        Args:
            edit: Function from Documents to a mapping of path to new
                untyped document; None removes it.

        Returns:
            The new revision.

        Raises:
            StoreUnavailable: If the store was not reached.
            OutcomeUnknown: If the change may or may not be committed.
            SettingsInvalid: If the result is invalid, with all findings.
        """

        def checked(documents):
            edits = edit(documents)
            values = documents.values()
            for path, untyped in edits.items():
                values.pop(path, None)
                if untyped is not None:
                    values[path] = untyped
            catalog.build(values, readers.structure)
            return edits

        result = await self._core.run_program(
            revisions.change(checked, self._change_token())
        )
        match result:
            case revisions.Changed(revision=revision):
                await self._poll_store()
                return revision
            case revisions.StoreFailure(uncertain=True):
                raise errors.OutcomeUnknown(
                    'the store did not answer; the change may be in force '
                    'soon: ask "show settings" before trying again'
                )
        raise errors.StoreUnavailable(
            'the store was not reached; nothing was changed',
            retry_after_s=5.0,
        )

"""A core of the daemon without event loop, sockets and store."""

import asyncio

from dandelionwinch import catalog
from dandelionwinch.daemon import _core
from dandelionwinch.daemon import messages
from dandelionwinch import jobs
from dandelionwinch.peers import peer_pb2
from dandelionwinch import settings

MODEL = 'counter-lm'
JOB = jobs.parse_completion(
    '/v1/completions',
    b'{"model": "counter-lm", "prompt": "a long question", "max_tokens": 9}',
)
DATA_CENTRE = 'Nanyuki'
SERVICE = 'lookups'
ENGINES = ('lm-1', 'lm-2')
LEDGERS = ('ledger-1', 'ledger-2')


class Peers:
    """Peers whose replies are computed by a function of a test.

    Args:
        respond: Function of method and request that returns the reply, or
            None for a silent peer.
    """

    def __init__(self, respond):
        self.respond = respond
        self.requests = []

    async def call(self, _address, method, request, _timeout_s=0.0):
        """Returns the reply of a peer."""
        self.requests.append((method, request))
        return self.respond(method, request)

    async def broadcast(self, method, request, timeout_s=0.0):
        """Calls no peer."""
        self.requests.append((method, request))
        return {}


class CoreHarness:
    """A Core with a catalog of model engines and a fake clock.

    Args:
        respond: See Peers.
        pools: Names of the pools of model engines. The first one has the
            engines ``lm-1`` and ``lm-2``; each other one has an engine that
            does not check fencing.

    Attributes:
        core: The Core.
        now: Time of its clock.
    """

    def __init__(self, respond, pools=('lm',)):
        cfg = settings.EntrySettings(
            instance=settings.InstanceSettings(
                name='entry-1',
                data_centre=DATA_CENTRE,
                region='laikipia',
                client_address='127.0.0.1:1',
                peer_address='127.0.0.1:2',
                operator_address='127.0.0.1:3',
            ),
            store=settings.StoreSettings(endpoints=['127.0.0.1:4']),
            live_list=settings.LiveListSettings(address='127.0.0.1:5'),
        )
        self.now = 100.0
        self.core = _core.Core(cfg)
        self.core.now = lambda: self.now
        self.core.peers = Peers(respond)
        self.core.catalog = _catalog(pools)
        self.core.scheduler.update_upstreams(self.core.catalog)
        self.core.members.tick(self.now)

    def add_peer(self, name):
        """Adds a live peer of the same data centre."""
        member = peer_pb2.Member(
            name=name,
            data_centre=DATA_CENTRE,
            peer_address=name,
            incarnation=1,
        )
        self.core.members.merge(peer_pb2.Digest(sender=member), self.now)
        for peer in self.core.members.all_instances():
            peer.heartbeat_at = self.now

    def close(self):
        """Frees the event loop and the threads."""
        self.core.executor.shutdown()
        self.core._thread.loop.close()

    def admit(self, job_id='job-1', target=MODEL):
        """Adds a running job to the history."""
        self.core.scheduler.job_history.add(
            jobs.JobRecord(job_id, 'team', target, self.now)
        )

    def place(self, job_id='job-1'):
        """Returns the messages.Placement of the completion JOB."""
        message = messages.PlaceCompletion(job_id, JOB)
        return asyncio.run(self.core.scheduler.place(message))

    def hold(self, upstream, order_id='order-1', release=False):
        """Holds or releases an upstream; returns the number of its jobs."""
        request = peer_pb2.HoldRequest(
            upstream=upstream, order_id=order_id, ttl_s=10.0, release=release
        )
        return self.core.load_reports.hold(request).jobs


def _upstream(name, pool, role, *, fencing=True):
    return settings.Upstream(
        name=name,
        pool=pool,
        address='127.0.0.1:6',
        role=role,
        checks_fencing=fencing,
    )


def _catalog(pools):
    documents = [
        settings.DataCentre(name=DATA_CENTRE, region='laikipia'),
        settings.Model(name=MODEL),
        settings.Service(name=SERVICE, repeat=settings.Repeat.IDEMPOTENT),
        settings.Pool(
            name='plain', data_centre=DATA_CENTRE, services=[SERVICE]
        ),
        *(_upstream(n, 'plain', settings.Role.SERVICE) for n in LEDGERS),
        *(_upstream(n, pools[0], settings.Role.MIXED) for n in ENGINES),
    ]
    documents += [
        settings.Pool(name=name, data_centre=DATA_CENTRE, model=MODEL)
        for name in pools
    ]
    documents += [
        _upstream(f'{name}-1', name, settings.Role.MIXED, fencing=False)
        for name in pools[1:]
    ]
    kinds = {cls: kind for kind, cls in settings.KINDS.items()}
    by_kind = {}
    for document in sorted(documents, key=lambda doc: doc.name):
        kind = kinds[type(document)]
        by_kind.setdefault(kind, {})[document.name] = document
    return catalog.Catalog({}, by_kind)

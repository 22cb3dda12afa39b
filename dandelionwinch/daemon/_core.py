"""The core of an instance: owns its state and handles messages."""

import asyncio
import concurrent.futures
import random
import time

import loguru

from dandelionwinch import adapters
from dandelionwinch.adapters import service as service_adapter
from dandelionwinch.adapters import upstream as upstream_adapter
from dandelionwinch import addresses
from dandelionwinch import catalog
from dandelionwinch.daemon import _claims
from dandelionwinch.daemon import _earnings
from dandelionwinch.daemon import _heartbeats
from dandelionwinch.daemon import _holds
from dandelionwinch.daemon import _load_reports
from dandelionwinch.daemon import _loop_thread
from dandelionwinch.daemon import _metrics
from dandelionwinch.daemon import _peers
from dandelionwinch.daemon import _placement_router
from dandelionwinch.daemon import _scheduler
from dandelionwinch.daemon import _settings
from dandelionwinch.daemon import _shards
from dandelionwinch.daemon import _statements
from dandelionwinch.daemon import messages
from dandelionwinch import effects
from dandelionwinch import errors
from dandelionwinch import membership
from dandelionwinch.peers import peer_pb2
from dandelionwinch import revisions
from dandelionwinch import timeline

# Largest number of blocking calls at the same time: of the store, of the live
# list and of upstreams, for load reports, orders and outcomes of claims.
IO_THREADS = 24
DRAIN_POLL_S = 0.1
MICROSECONDS_PER_S = 1_000_000

logger = loguru.logger


class Core:
    """Runs all tasks of an instance in one event loop.

    The loop has a thread of its own. Other threads send a message with
    ``request`` and wait for the reply; they change no state, apart from
    ``drain``, which clears ``accepting`` and sets ``stop_at``.

    Args:
        cfg: EntrySettings.
    """

    def __init__(self, cfg):
        self.cfg = cfg
        self.incarnation = time.time_ns()
        self.rng = random.Random(self.incarnation)  # noqa: S311
        self.store = adapters.open_store(
            cfg.store, cfg.relay.idle_connection_s
        )
        self.live_list = adapters.open_live_list(
            cfg.live_list, cfg.relay.idle_connection_s
        )
        self.upstreams = upstream_adapter.UpstreamAdapter(
            cfg.relay.connect_timeout_s, cfg.relay.idle_connection_s
        )
        self.services = service_adapter.ServiceAdapter(
            cfg.relay.connect_timeout_s, cfg.relay.idle_connection_s
        )
        self.members = membership.Membership(
            self._own_member(), cfg.timing, self.rng
        )
        self.departures = membership.Departures(cfg.timing.gone_margin_s)
        self.freshness = membership.Freshness(
            cfg.instance.data_centre, cfg.timing.cut_off_s
        )
        self.documents = revisions.Documents()
        self.catalog = catalog.EMPTY
        self.hybrid_clock = timeline.HybridClock(_wall_clock_us)
        self.event_buffer = timeline.EventBuffer(
            cfg.instance.name, self.hybrid_clock, cfg.events_kept
        )
        self.metrics = _metrics.Metrics()
        self.scheduler = _scheduler.Scheduler(self)
        self.placement_router = _placement_router.PlacementRouter(self)
        self.heartbeats = _heartbeats.Heartbeats(self)
        self.settings = _settings.SettingsSync(self)
        self.load_reports = _load_reports.LoadReports(self)
        self.holds = _holds.Holds(self)
        self.shards = _shards.Shards(self)
        self.claims = _claims.Claims(self)
        self.earnings = _earnings.Earnings(self)
        self.statements = _statements.StatementRunner(self)
        self.peers = _peers.Peers(self)
        self.accepting = True
        # Time at which running jobs are ended by a stop.
        self.stop_at = float('inf')
        self.executor = concurrent.futures.ThreadPoolExecutor(
            IO_THREADS, thread_name_prefix='core-io'
        )
        self._thread = _loop_thread.LoopThread(cfg.instance.name)
        self._tasks = []
        self._findings = {}

    def _own_member(self):
        instance_cfg = self.cfg.instance
        return peer_pb2.Member(
            name=instance_cfg.name,
            data_centre=instance_cfg.data_centre,
            region=instance_cfg.region,
            incarnation=self.incarnation,
            client_address=instance_cfg.client_address,
            peer_address=instance_cfg.peer_address,
            operator_address=instance_cfg.operator_address,
            weight=instance_cfg.weight,
        )

    @property
    def name(self):
        """Name of this instance."""
        return self.cfg.instance.name

    @property
    def data_centre(self):
        """Data centre of this instance."""
        return self.cfg.instance.data_centre

    def start(self):
        """Starts the event loop, the listener for peers and all tasks."""
        self._thread.start()
        self._thread.run(self._start())

    async def _start(self):
        await self.peers.start()
        await self.settings.load_initial()
        for component in (
            self.heartbeats,
            self.settings,
            self.load_reports,
            self.holds,
            self.shards,
            self.claims,
            self.earnings,
        ):
            for coroutine in component.coroutines():
                self._tasks.append(
                    asyncio.create_task(_log_failure(coroutine))
                )
        self.event('instance.started', self.name)

    def request(self, message, timeout_s=_loop_thread.REQUEST_TIMEOUT_S):
        """Sends a message from another thread and waits for the reply.

        Args:
            message: One of the classes in ``messages``.
            timeout_s: Longest wait for the reply.

        Returns:
            The reply; its type depends on the message.

        Raises:
            DeadlinePassed: If there was no reply in time.
            DandelionwinchError: If the handler of the message raised it.
        """
        return self._thread.call(self._handle, message, timeout_s)

    def _handle(self, message):
        match message:
            case messages.Admit():
                return self.scheduler.admit(message)
            case messages.PlaceCompletion():
                return self.scheduler.place(message)
            case messages.PlaceService():
                return self.scheduler.place_service(message)
            case messages.BeginAttempt():
                return self.scheduler.begin_attempt(message)
            case messages.UpstreamFailed():
                return self.scheduler.upstream_failed(message)
            case messages.Retry():
                return self.scheduler.retry(message)
            case messages.Finish():
                return self.scheduler.finish(message)
            case messages.OpenClaim(opening=opening):
                return self.claims.open(opening)
            case messages.CloseClaim(close=close):
                return self.claims.close_claim(close)
            case messages.FindAddress(data_centre=data_centre, team=team):
                return self.find_address(data_centre, team)
            case messages.RunStatement(text=text):
                return self.statements.run(text)
            case messages.CheckReadiness():
                return self.unready_reason()
        raise TypeError(f'"{message!r}" is not a message of the core')

    def now(self):
        """Returns the monotonic time in seconds."""
        return time.monotonic()

    def event(self, kind, subject, detail=''):
        """Appends an event to the timeline and logs it."""
        self.event_buffer.add(kind, subject, detail)
        logger.bind(subject=subject).debug('{} {}', kind, detail)

    def finding(self, kind, subject, detail):
        """Records an event, unless the last one of its subject was the same.

        Steps that are repeated would otherwise fill the timeline with one
        malformed value.
        """
        if self._findings.get((kind, subject)) != detail:
            self._findings[kind, subject] = detail
            self.event(kind, subject, detail)

    async def call_store(self, request):
        """Executes a store request in a worker thread."""
        self.metrics.store_calls.labels(type(request).__name__).inc()
        return await self._thread.loop.run_in_executor(
            self.executor, self.store.execute, request
        )

    async def run_program(self, program, handle=None):
        """Drives a sans-I/O program until it returns.

        Args:
            program: Generator that yields effects and is sent the reply
                to each.
            handle: Async function that performs an effect, or None if
                the program uses only the store and the clock.

        Returns:
            The return value of the program.
        """
        handle = handle or self.run_effect
        reply = None
        while True:
            try:
                request = program.send(reply)
            except StopIteration as stop:
                return stop.value
            reply = await handle(request)

    async def run_effect(self, request):
        """Performs a clock or store effect of a sans-I/O program."""
        if isinstance(request, effects.Clock):
            return effects.Time(self.now(), time.time())
        return await self.call_store(request)

    async def run_blocking(self, function, *args):
        """Runs a blocking function in a worker thread of the core."""
        return await self._thread.loop.run_in_executor(
            self.executor, function, *args
        )

    def find_address(self, data_centre, team):
        """Returns the instance that a client should use.

        Raises:
            Unready: If no instance accepts new work.
        """
        now = self.now()
        usable = self.members.usable(now)
        found = addresses.assign(
            usable, data_centre, team, self.cfg.timing.answer_valid_s
        )
        if found is None:
            raise errors.Unready('no instance takes new work')
        return found

    def possibly_running(self):
        """Returns known instances whose process may still be running.

        These are all that membership.Departures does not count as gone, also
        suspect ones.
        """
        return self.departures.remaining(
            self.members.all_instances(), self.now()
        )

    def unready_reason(self):
        """Returns why new work is refused, or an empty string."""
        now = self.now()
        if not self.accepting:
            return 'this instance is stopping'
        if self.documents.revision == 0:
            return 'this instance has no configuration yet'
        if (
            self.members.was_paused(now)
            and len(self.members.all_instances()) > 1
        ):
            return 'this instance was paused and has met no peer since'
        if self.is_cut_off():
            return 'this instance is cut off and may hold old settings'
        return ''

    def is_cut_off(self):
        """Tells whether new work is refused because contact was lost.

        An instance that has had no contact with the store nor with a majority
        of the data centres for ``timing.cut_off_s`` may have an outdated
        configuration. It still accepts work if ``when_cut_off`` is ``serve``.
        """
        if self.cfg.when_cut_off == 'serve':
            return False
        data_centres = membership.populated_data_centres(
            self.possibly_running()
        )
        return self.freshness.is_cut_off(data_centres, self.now())

    def leave(self):
        """Announces to all peers that this instance is leaving.

        It still serves. A graceful stop calls ``leave``, ``drain`` and
        ``close``, in this order and from another thread than the event
        loop's, as each of them blocks.
        """
        self._thread.run(self._leave())

    async def _leave(self):
        self.members.leave()
        self.event('instance.leaving', self.name)
        await self.heartbeats.announce()

    def begin_stop(self):
        """Refuses jobs from now on that may not end before the stop."""
        limit_s = self.cfg.timing.drain_limit_s
        self.stop_at = self.now() + self._address_grace_s() + limit_s

    def _address_grace_s(self):
        """Returns the seconds for which clients may use this address."""
        timing = self.cfg.timing
        return timing.answer_valid_s + 2 * timing.beat_s

    def drain(self):
        """Waits until clients have moved on and all jobs have ended.

        Clients may hold this instance's address for as long as an address
        answer is valid, and peers learn of the leave within two
        heartbeats, so new work is accepted for that long. After that it is
        still accepted until no job runs or ``drain_limit_s`` have passed,
        and then refused. Jobs that may take longer than that are refused at
        once.
        """
        self.begin_stop()
        limit = self.stop_at
        time.sleep(self._address_grace_s())
        while self.scheduler.running_jobs() and time.monotonic() < limit:
            time.sleep(DRAIN_POLL_S)
        self.accepting = False
        # Waits, within the same limit, for jobs that were admitted between
        # the last check and here.
        while self.scheduler.running_jobs() and time.monotonic() < limit:
            time.sleep(DRAIN_POLL_S)

    def close(self):
        """Stops all tasks, releases leases and closes all connections.

        Blocks; must not be called from the event loop's thread.
        """
        self._thread.run(self._close())
        self._thread.close()
        self.executor.shutdown(wait=False, cancel_futures=True)
        for adapter in (
            self.store,
            self.live_list,
            self.upstreams,
            self.services,
        ):
            adapter.close()

    async def _close(self):
        for task in self._tasks:
            task.cancel()
        await self.claims.flush()
        await self.shards.release_all()
        await self.earnings.write()
        # Closed last, as the flush may forward claims to peers.
        await self.peers.close()


async def _log_failure(coroutine):
    """Logs an exception that ends a background task."""
    try:
        await coroutine
    except asyncio.CancelledError:
        raise
    except Exception:
        logger.exception('a background task failed and will not run again')
        raise


def _wall_clock_us():
    return int(time.time() * MICROSECONDS_PER_S)

"""Watches for upstreams that crash, and refuses what crashes them."""

import asyncio

import attrs

from dandelionwinch.gateway import _crash_link
from dandelionwinch.gateway import _crash_probe
from dandelionwinch import quarantine
from dandelionwinch import utils

# Time for which the result holds for other connections to the upstream.
CONFIRMED_S = 0.5
# Time for which reports of one crash are awaited before subjects are held.
SETTLE_S = 0.1
TICK_S = 1.0
# Instances that are told what is known, each TICK_S while there is something.
TOLD_INSTANCES = 2
ASKED_INSTANCES = 3
# Crashes up to this age are told to instances that may have missed them.
TOLD_CRASH_AGE_S = 5.0
# A pause of the process after which it asks others, as after its start.
PAUSED_S = 3.0


@attrs.define
class _Crash:
    """What one instance learns of a crash while it happens.

    Attributes:
        crash_id: Id of the crash.
        at: Loop time of the first lost connection.
        confirmed: Future of whether the upstream crashed.
        suspects: For each subject, its Suspect.
    """

    crash_id: str
    at: float
    confirmed: asyncio.Future
    suspects: dict = attrs.Factory(dict)


class CrashGuard:
    """Puts crashes of upstreams down to subjects, with all instances.

    Args:
        loop: The event loop.
        fleet: Fleet.
        link: PeerLink.
        log: EventLog.
        metrics: Metrics.
        rng: Source of randomness.
    """

    __slots__ = (
        '_asked',
        '_crashes',
        '_decision',
        '_fleet',
        '_link',
        '_log',
        '_loop',
        '_metrics',
        '_quarantine',
        '_reported_at',
        '_rng',
        '_tasks',
        '_tick_at',
        '_timer',
    )

    def __init__(self, loop, fleet, link, log, metrics, rng):
        self._loop = loop
        self._fleet = fleet
        self._link = _crash_link.CrashLink(loop, link, self)
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._quarantine = quarantine.Quarantine()
        # What is being learnt of each crash, by incarnation.
        self._crashes = {}
        self._tasks = set()
        self._decision = None
        self._timer = None
        self._tick_at = None
        self._asked = False
        self._reported_at = float('-inf')

    def start(self):
        """Starts the periodic exchange with other instances."""
        self._tick()

    def close(self):
        """Stops it."""
        for timer in (self._timer, self._decision):
            if timer is not None:
                timer.cancel()
        for task in self._tasks:
            task.cancel()

    def refuse(self, subjects):
        """Returns the Hold by which a request is refused, or None.

        Args:
            subjects: Keys of the subjects of the request.
        """
        hold = self._quarantine.refuse(subjects, self._loop.time())
        if hold is not None:
            self._metrics.held_requests.inc()
        return hold

    def is_nearly_held(self, subjects):
        """Tells whether one more crash would have a subject held."""
        return self._quarantine.is_nearly_held(subjects, self._loop.time())

    def answer_begins(self, subjects):
        """Records that an upstream began an answer; it clears the subjects."""
        cleared = self._quarantine.record_answer(subjects, self._loop.time())
        if cleared:
            self._link.send_answered(cleared, self._link.peers)
            self._log.event('subject.cleared', subjects=cleared)
            self._count_holds()

    async def connection_lost(self, upstream, subjects):
        """Records that an upstream closed a connection before its answer.

        Returns when it is known whether the upstream crashed, so that what
        follows the attempt is decided with it.

        Args:
            upstream: The Upstream.
            subjects: Keys of the subjects of the request.

        Returns:
            Whether it crashed.
        """
        if not upstream.in_service:
            return False
        crash = self._crash_of(upstream)
        now = self._loop.time()
        for depth, subject in enumerate(subjects):
            answered = self._quarantine.was_answered(subject, now)
            suspect = quarantine.Suspect(subject, depth, answered)
            crash.suspects.setdefault(subject, suspect)
        crashed = await asyncio.shield(crash.confirmed)
        if crashed:
            self._report(crash, subjects)
        return crashed

    def process_gone(self, upstream):
        """Records that the process of an upstream was found to be gone.

        One that leaves as planned has not crashed.
        """
        if upstream.in_service:
            self._crash_of(upstream)

    def _crash_of(self, upstream):
        incarnation = upstream.entry.incarnation
        crash = self._crashes.get(incarnation)
        if crash is None:
            crash_id = f'{utils.stable_hash(*incarnation):016x}'
            confirmed = self._loop.create_future()
            crash = _Crash(crash_id, self._loop.time(), confirmed)
            self._crashes[incarnation] = crash
            task = self._loop.create_task(self._confirm(upstream, crash))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return crash

    async def _confirm(self, upstream, crash):
        """Tells a crash from a lost connection by new connections.

        An upstream that still accepts them is watched while the result
        holds: a process that ends may close its listening socket last.
        """
        probe = _crash_probe.CrashProbe(
            self._loop,
            upstream.entry.address,
            # Waiting delays what follows the attempt; the bounds of the
            # bytes at upstreams rely on the answer.
            patient=self._fleet.byte_limits is not None,
        )
        try:
            refused = await probe.refuses()
            crash.confirmed.set_result(refused)
            self._loop.call_later(
                CONFIRMED_S,
                self._crashes.pop,
                upstream.entry.incarnation,
                None,
            )
            if refused:
                self._record_crash(upstream, crash)
            elif await probe.ends(CONFIRMED_S) and upstream.in_service:
                self._confirm_late(upstream, crash)
        finally:
            probe.close()

    def _confirm_late(self, upstream, crash):
        """Records a crash after attempts were told that there was none."""
        crash.confirmed = self._loop.create_future()
        crash.confirmed.set_result(True)
        self._record_crash(upstream, crash)
        self._report(crash, list(crash.suspects))

    def _record_crash(self, upstream, crash):
        upstream.eject(self._loop.time())
        self._fleet.upstream_crashed(upstream)
        self._metrics.engine_crashes.inc()
        self._log.event(
            'upstream.crashed',
            upstream=upstream.entry.id,
            crash=crash.crash_id,
            subjects=sorted(crash.suspects),
        )

    def _report(self, crash, subjects):
        suspects = [crash.suspects[subject] for subject in subjects]
        now = self._loop.time()
        if not suspects:
            return
        self._reported_at = now
        if self._quarantine.record_crash(crash.crash_id, suspects, crash.at):
            self._link.send_crash(
                crash.crash_id, suspects, crash.at, self._link.peers
            )
            self._decide_soon()

    def _decide_soon(self):
        if self._decision is None:
            self._decision = self._loop.call_later(SETTLE_S, self._decide)

    def _decide(self):
        self._decision = None
        now = self._loop.time()
        found = self._quarantine.decide(now)
        for hold in found:
            self._log_held(hold, 'own')
        # All decide alike; few tell all, or at many instances it is a storm.
        if now - self._reported_at <= TOLD_CRASH_AGE_S:
            self._link.send_holds(found, self._link.peers)
        self._count_holds()

    def _log_held(self, hold, source):
        self._log.event(
            'subject.held',
            subject=hold.subject,
            crashes=hold.crashes,
            source=source,
        )

    def _count_holds(self):
        self._metrics.holds.set(len(self.holds()))

    def take_crash(self, crash_id, suspects, at):
        """Takes in a report of another instance."""
        if self._quarantine.record_crash(crash_id, suspects, at):
            self._decide_soon()

    def take_answers(self, subjects, at):
        """Takes in that an answer began at another instance."""
        for subject in subjects:
            self._quarantine.record_answer_elsewhere(subject, at)
        self._count_holds()

    def take_hold(self, hold, sender):
        """Takes over a hold of another instance."""
        if self._quarantine.adopt(hold):
            self._log_held(hold, sender)
            self._count_holds()

    def take_lift(self, subject, at):
        """Lifts a hold as an operator did at another instance."""
        if self._quarantine.lift(subject, at):
            self._log.event('subject.released', subject=subject, why='lifted')
        self._count_holds()

    def tell_holds(self, addr):
        """Tells an instance what is known here."""
        self._tell([addr])

    def holds(self):
        """Returns the Holds in force."""
        return self._quarantine.holds(self._loop.time())

    def lift(self, subject):
        """Lifts a hold here and at the other instances.

        Returns:
            Whether the subject was held here.
        """
        held = any(hold.subject == subject for hold in self.holds())
        self.take_lift(subject, self._loop.time())
        self._link.send_lift(subject, self._link.peers)
        return held

    def _tell(self, addresses):
        now = self._loop.time()
        self._link.send_holds(self.holds(), addresses)
        known = self._quarantine.recent_crashes(now, TOLD_CRASH_AGE_S)
        for crash_id, at, suspects in known:
            self._link.send_crash(crash_id, suspects, at, addresses)

    def _tick(self):
        now = self._loop.time()
        if self._tick_at is not None and now - self._tick_at > PAUSED_S:
            self._asked = False
        self._tick_at = now
        for hold in self._quarantine.expire(now):
            self._log.event(
                'subject.released', subject=hold.subject, why='quiet'
            )
        self._count_holds()
        self._exchange()
        self._timer = self._loop.call_later(TICK_S, self._tick)

    def _exchange(self):
        peers = self._link.peers
        if not peers:
            return
        if not self._asked:
            self._asked = True
            self._link.ask_holds(self._sample(peers, ASKED_INSTANCES))
        self._tell(self._sample(peers, TOLD_INSTANCES))

    def _sample(self, peers, count):
        return self._rng.sample(peers, min(count, len(peers)))

"""Searches for calls that run twice or are reported wrongly."""

import attrs

from dandelionwinch import claims
from dandelionwinch import effects
from dandelionwinch import membership
from dandelionwinch.search import _simulation
from dandelionwinch import settings

INSTANCES = 3
KEYS = 12
RUN_S = 300.0
FAULTS_UNTIL_S = 180.0
# Longest time until a call that was sent arrives.
MAX_DELIVERY_DELAY_S = 12.0
# No call of an instance is in flight any more when it counts as gone.
GONE_MARGIN_S = MAX_DELIVERY_DELAY_S + 1
LIST_LAG_S = 5.0
RESOLVE_INTERVAL_S = 2.0
BUCKET = claims.bucket_key(0)
_CFG = settings.ClaimSettings(buckets=1)


@attrs.frozen
class _Answer:
    """The answer of the backend to one call."""

    claim_id: str


@attrs.define
class _Backend:
    """Executes calls and counts them by idempotency key.

    Attributes:
        asks_by_key: Whether it can report the outcome of a key.
        runs: Claim ids of the executed calls, by key.
    """

    asks_by_key: bool
    runs: dict = attrs.field(factory=dict)

    def run(self, key, claim_id, now):
        """Executes a call.

        Raises:
            InvariantViolated: If a call with the same key was executed.
        """
        before = self.runs.setdefault(key, [])
        before.append(claim_id)
        if len(before) > 1:
            raise _simulation.InvariantViolated(
                f'{now:.2f} s: key "{key}" ran twice: {before}'
            )
        return _Answer(claim_id)

    def outcome(self, key):
        """Returns the outcome of the calls with a key."""
        if not self.asks_by_key:
            return claims.Outcome(claims.OutcomeStatus.INDETERMINATE)
        claim_ids = self.runs.get(key)
        if claim_ids:
            return claims.Outcome(
                claims.OutcomeStatus.RAN, _Answer(claim_ids[0])
            )
        return claims.Outcome(claims.OutcomeStatus.NEVER_SEEN)


class _Instance:
    """An instance that serves calls and resolves unfinished claims."""

    def __init__(self, scenario, process):
        self.scenario = scenario
        self.process = process
        self.departures = membership.Departures(GONE_MARGIN_S)
        self._unwritten = []
        self._calls = {}
        self._sequence = 0

    def start(self):
        """Starts the periodic steps."""
        self.process.call_later(RESOLVE_INTERVAL_S, self._resolve)
        self.process.call_later(1.0, self._retry_closes)

    def serve(self, key, on_result):
        """Serves a client's call; passes its claim id and result on."""
        self._sequence += 1
        claim_id = f'{self.process.name}#1#{self._sequence}'
        call = claims.Open(key, claim_id, 'request')
        program = claims.run_at_most_once(call, False, 2.0, self._record(call))
        self._calls[program] = call

        def done(result):
            on_result(claim_id, result)

        self.process.run(_TaggedProgram(program, call), done)

    @staticmethod
    def _record(call):
        def record(answer):
            return claims.Close(
                call.key,
                call.token,
                claims.State.DONE,
                answer=answer.claim_id,
                kept=True,
            )

        return record

    def _write(self, mutation, done):
        program = claims.commit_batch(BUCKET, [mutation], _CFG)
        self.process.run(program, lambda results: done(results[0]))

    def handle(self, process, tagged, reply):
        """Serves a request of a _TaggedProgram.

        Args:
            process: The Process that runs the program; not used.
            tagged: The request and the Open of the call that it is for.
            reply: Takes the reply.
        """
        request, call = tagged
        match request:
            case claims.WriteOpen(mutation=mutation):
                self._open(mutation, reply)
            case claims.WriteClose(mutation=mutation):
                self._close(mutation)
                reply(None)
            case claims.SendCall():
                self._send(call, reply)
            case claims.QueryOutcome():
                self.scenario.query_outcome(call.key, reply)

    def _open(self, mutation, reply):
        def done(result):
            if isinstance(result, claims.Unsettled):
                # The claim may still be written although the call is not
                # sent, so it is closed as not run.
                self._unwritten.append(
                    claims.Close(
                        mutation.key, mutation.token, claims.State.NOT_RUN
                    )
                )
            reply(result)

        self._write(mutation, done)

    def _close(self, mutation):
        def done(result):
            if not isinstance(result, claims.Recorded):
                self._unwritten.append(mutation)

        self._write(mutation, done)

    def _retry_closes(self):
        self.process.call_later(1.0, self._retry_closes)
        unwritten, self._unwritten = self._unwritten, []
        for mutation in unwritten:
            self._close(mutation)

    def _send(self, call, reply):
        sim = self.scenario.sim
        if sim.should_fail(0.05):
            # Pauses between the last check and the send.
            self.process.pause(_simulation.MAX_PAUSE_S * sim.rng.random())
        self.process.call_later(0, self.scenario.send, call, reply)

    def _resolve(self):
        self.process.call_later(RESOLVE_INTERVAL_S, self._resolve)
        self.departures.list_read(self.scenario.live_list.read())
        self.process.run(_read_bucket(), self._resolve_all)

    def _resolve_all(self, bucket):
        if bucket is None:
            return
        clock = self.process.clock()
        for claim in bucket.claims():
            if claim.state in (claims.State.OPEN, claims.State.UNKNOWN):
                self._resolve_claim(claim, clock)

    def _resolve_claim(self, claim, clock):
        holder = claim.token.partition('#')[0]
        gone = self.departures.is_gone(holder, 1, clock.now)
        if not claims.needs_resolution(claim, gone):
            return

        def resolve(outcome):
            state = claims.resolved_state(
                claim,
                outcome.status,
                gone,
                clock.wall - claim.changed,
                GONE_MARGIN_S,
            )
            if state is None or state is claim.state:
                return
            answer = outcome.answer.claim_id if outcome.answer else ''
            self._close(
                claims.Close(claim.key, claim.token, state, answer=answer)
            )

        self.scenario.query_outcome(claim.key, resolve)


class _TaggedProgram:
    """A program that yields each request with the call that it is for.

    Clock requests are yielded alone: the process replies to them itself.
    """

    def __init__(self, program, call):
        self._program = program
        self._call = call

    def send(self, reply):
        """Resumes the program and returns its next request."""
        request = self._program.send(reply)
        if isinstance(request, effects.Clock):
            return request
        return (request, self._call)


def _read_bucket():
    reply = yield effects.Read(BUCKET)
    if not isinstance(reply, effects.Found):
        return None
    return claims.Bucket.load(_CFG, reply.record.value)


class _ClaimScenario(_simulation.Scenario):
    """A run with clients that repeat calls with the same keys."""

    def __init__(self, seed):
        super().__init__(seed, FAULTS_UNTIL_S, LIST_LAG_S, 0.1)
        self.backend = _Backend(self.sim.chance(0.7))
        self._not_run = {}
        self._reported_done = set()

    def run(self):
        """Runs to the end and checks the results that clients got."""
        for _number in range(INSTANCES):
            self.start_instance(_Instance)
        for number in range(KEYS):
            delay_s = FAULTS_UNTIL_S * self.sim.rng.random()
            self.sim.call_later(
                delay_s, self._send_requests, f'service/key-{number}'
            )
        self.sim.call_later(1, self._inject_faults)
        self.sim.run(RUN_S)
        self._check()
        return self.sim.faults

    def _send_requests(self, key):
        """Sends calls with a key to some instances, repeatedly."""
        sim = self.sim
        if sim.now > RUN_S - 20:
            # The last calls get time to end and to be resolved, as `_check`
            # requires.
            return
        for _copy in range(sim.rng.choice((1, 1, 2))):
            instance = sim.rng.choice(self.instances)
            instance.process.call_later(
                0, instance.serve, key, self._on_result(key)
            )
        sim.call_later(1 + 20 * sim.rng.random(), self._send_requests, key)

    def _on_result(self, key):
        def record(claim_id, result):
            match result:
                case claims.Done():
                    self._reported_done.add(key)
                case claims.NotRun():
                    self._not_run[claim_id] = key
                case claims.NotGranted(
                    result=claims.Unreached() | claims.Unsettled()
                ):
                    self._not_run[claim_id] = key
                case claims.NotGranted(result=claims.Held(claim=claim)):
                    if claim.state is claims.State.DONE:
                        self._reported_done.add(key)

        return record

    def _inject_faults(self):
        sim = self.sim
        if sim.now > FAULTS_UNTIL_S:
            self.store.down_until = 0.0
            return
        sim.call_later(8 * sim.rng.random(), self._inject_faults)
        instance = sim.rng.choice(self.instances)
        match sim.rng.randrange(4):
            case 0:
                seconds = _simulation.MAX_PAUSE_S * sim.rng.random()
                instance.process.pause(seconds)
            case 1 if sim.chance(0.5):
                self.replace(instance, _Instance)
            case 2:
                self.store.outage(10 * sim.rng.random())

    def send(self, call, reply):
        """Delivers a call to the backend; the call or its reply may fail."""
        sim = self.sim
        match sim.rng.randrange(10):
            case 0:
                # Refused: the call did not arrive; there are alternatives.
                sim.call_later(
                    0.01, reply, claims.SendResult(False, None, True)
                )
            case 1:
                # Delivered late; the sender times out after 5 s.
                sim.faults.late_messages += 1
                delay_s = MAX_DELIVERY_DELAY_S * sim.rng.random()
                sim.call_later(delay_s, self._run, call)
                sim.call_later(5.0, reply, claims.SendResult(True))
            case 2:
                # The call runs, but its reply is lost.
                sim.call_later(0.01, self._run, call)
                sim.call_later(5.0, reply, claims.SendResult(True))
            case 3:
                # The call is lost.
                sim.call_later(5.0, reply, claims.SendResult(True))
            case _:
                sim.call_later(0.01, self._run_and_answer, call, reply)

    def _run(self, call):
        return self.backend.run(call.key, call.token, self.sim.now)

    def _run_and_answer(self, call, reply):
        answer = self._run(call)
        self.sim.call_later(0.01, reply, claims.SendResult(True, answer))

    def query_outcome(self, key, reply):
        """Delivers a query for the outcome of a key to the backend."""
        sim = self.sim
        if sim.chance(0.1):
            outcome = claims.Outcome(claims.OutcomeStatus.INDETERMINATE)
            sim.call_later(2.0, reply, outcome)
            return
        sim.call_later(0.01, reply, self.backend.outcome(key))

    def _check(self):
        runs = self.backend.runs
        for key in self._reported_done:
            if not runs.get(key):
                raise _simulation.InvariantViolated(
                    f'key "{key}" was reported as done but never ran'
                )
        ran = {
            claim_id for claim_ids in runs.values() for claim_id in claim_ids
        }
        for claim_id, key in self._not_run.items():
            if claim_id in ran:
                raise _simulation.InvariantViolated(
                    f'call "{claim_id}" of key "{key}" ran although it was '
                    'reported as not run'
                )
        if not self.backend.asks_by_key:
            return
        bucket = claims.Bucket.load(_CFG, self.store.peek(BUCKET))
        unresolved = [
            claim.key
            for claim in bucket.claims()
            if claim.state is claims.State.UNKNOWN
        ]
        if unresolved:
            raise _simulation.InvariantViolated(
                f'claims {unresolved} were never resolved'
            )


def search_claims(seed):
    """Runs one seed and checks that calls run at most once.

    Returns:
        The Faults that were injected.

    Raises:
        InvariantViolated: If a call ran twice, was reported wrongly, or its
            claim was never resolved.
    """
    return _ClaimScenario(seed).run()

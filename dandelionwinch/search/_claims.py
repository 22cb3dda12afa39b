"""Searches for calls that run twice or are reported falsely."""

import attrs

from dandelionwinch import claims
from dandelionwinch import effects
from dandelionwinch import membership
from dandelionwinch.search import _world
from dandelionwinch import settings

INSTANCES = 3
KEYS = 12
RUN_S = 300.0
FAULTS_UNTIL_S = 180.0
CONNECTION_WORST_S = 12.0
SETTLE_S = CONNECTION_WORST_S + 1
LIST_LAG_S = 5.0
RESOLVE_S = 2.0
BUCKET = claims.bucket_key(0)
_CFG = settings.ClaimSettings(buckets=1)


@attrs.frozen
class _Answer:
    """A back end's answer to one call."""

    token: str


@attrs.define
class _BackEnd:
    """Carries calls out and knows them by key.

    Attributes:
        runs: Tokens of the calls carried out, by key.
    """

    asks_by_key: bool
    runs: dict = attrs.field(factory=dict)

    def run(self, key, token, now):
        """Carries out a call; at most one for each key."""
        before = self.runs.setdefault(key, [])
        before.append(token)
        if len(before) > 1:
            raise _world.Broken(
                f'{now:.2f} s: key "{key}" ran twice: {before}'
            )
        return _Answer(token)

    def outcome(self, key):
        """Answers what became of a key."""
        if not self.asks_by_key:
            return claims.Outcome(claims.OutcomeStatus.INDETERMINATE)
        tokens = self.runs.get(key)
        if tokens:
            return claims.Outcome(claims.OutcomeStatus.RAN, _Answer(tokens[0]))
        return claims.Outcome(claims.OutcomeStatus.NEVER_SEEN)


class _Instance:
    """One instance that serves calls and resolves claims."""

    def __init__(self, search, process):
        self.search = search
        self.process = process
        self.departures = membership.Departures(SETTLE_S)
        self._backlog = []
        self._calls = {}
        self._sequence = 0

    def start(self):
        """Starts the periodic steps."""
        self.process.soon(RESOLVE_S, self._resolve)
        self.process.soon(1.0, self._settle)

    def serve(self, key, told):
        """Serves a client's request; calls ``told`` with the result."""
        self._sequence += 1
        token = f'{self.process.name}#1#{self._sequence}'
        opening = claims.Open(key, token, 'request')
        program = claims.run_at_most_once(
            opening, False, 2.0, self._record(opening)
        )
        self._calls[program] = opening

        def done(result):
            told(token, result)

        self.process.run(_Tagged(program, opening), done)

    @staticmethod
    def _record(opening):
        def record(answer):
            return claims.Close(
                opening.key,
                opening.token,
                claims.State.DONE,
                answer=answer.token,
                kept=True,
            )

        return record

    def _write(self, mutation, done):
        program = claims.commit_batch(BUCKET, [mutation], _CFG)
        self.process.run(program, lambda results: done(results[0]))

    def handle(self, process, request, reply):
        """Serves the requests of the programs."""
        request, opening = request
        match request:
            case claims.OpenClaim(mutation=mutation):
                self._open(mutation, reply)
            case claims.CloseClaim(mutation=mutation):
                self._close(mutation)
                reply(None)
            case claims.SendCall():
                self._send(opening, reply)
            case claims.QueryOutcome():
                self.search.ask(opening.key, reply)

    def _open(self, mutation, reply):
        def done(result):
            if isinstance(result, claims.Unsettled):
                self._backlog.append(
                    claims.Close(
                        mutation.key, mutation.token, claims.State.NOT_RUN
                    )
                )
            reply(result)

        self._write(mutation, done)

    def _close(self, mutation):
        def done(result):
            if not isinstance(result, claims.Recorded):
                self._backlog.append(mutation)

        self._write(mutation, done)

    def _settle(self):
        self.process.soon(1.0, self._settle)
        backlog, self._backlog = self._backlog, []
        for mutation in backlog:
            self._close(mutation)

    def _send(self, opening, reply):
        world = self.search.world
        if world.fault(0.05):
            # Paused after the last check and right before the send.
            self.process.pause(_world.LONGEST_PAUSE_S * world.rng.random())
        self.process.soon(0, self.search.send, opening, reply)

    def _resolve(self):
        self.process.soon(RESOLVE_S, self._resolve)
        self.departures.list_read(self.search.platform.read())
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

        def asked(outcome):
            state = claims.resolved_state(
                claim,
                outcome.status,
                gone,
                clock.wall - claim.changed,
                SETTLE_S,
            )
            if state is None or state is claim.state:
                return
            answer = outcome.answer.token if outcome.answer else ''
            self._close(
                claims.Close(claim.key, claim.token, state, answer=answer)
            )

        self.search.ask(claim.key, asked)


class _Tagged:
    """A program whose requests carry the call that they belong to."""

    def __init__(self, program, opening):
        self._program = program
        self._opening = opening

    def send(self, reply):
        """Goes on with the program."""
        request = self._program.send(reply)
        if isinstance(request, effects.Clock):
            return request
        return (request, self._opening)


def _read_bucket():
    reply = yield effects.Read(BUCKET)
    if not isinstance(reply, effects.Found):
        return None
    return claims.Bucket.load(_CFG, reply.record.value)


class _Search(_world.Scene):
    """One seeded run of clients that repeat their calls."""

    def __init__(self, seed):
        super().__init__(seed, FAULTS_UNTIL_S, LIST_LAG_S, 0.1)
        self.back_end = _BackEnd(self.world.chance(0.7))
        self._not_run = {}
        self._told_done = set()

    def run(self):
        """Runs to the end, then checks what the clients were told."""
        for _number in range(INSTANCES):
            self.start_instance(_Instance)
        for number in range(KEYS):
            delay_s = FAULTS_UNTIL_S * self.world.rng.random()
            self.world.after(delay_s, self._ask, f'service/key-{number}')
        self.world.after(1, self._disturb)
        self.world.run(RUN_S)
        self._check()
        return self.world.faults

    def _ask(self, key):
        """A client asks some instances, again and again."""
        world = self.world
        if world.now > RUN_S - 20:
            return
        for _copy in range(world.rng.choice((1, 1, 2))):
            instance = world.rng.choice(self.instances)
            instance.process.soon(0, instance.serve, key, self._told(key))
        world.after(1 + 20 * world.rng.random(), self._ask, key)

    def _told(self, key):
        def told(token, result):
            match result:
                case claims.Done():
                    self._told_done.add(key)
                case claims.NotRun():
                    self._not_run[token] = key
                case claims.NotGranted(
                    result=claims.Unreached() | claims.Unsettled()
                ):
                    self._not_run[token] = key
                case claims.NotGranted(result=claims.Held(claim=claim)):
                    if claim.state is claims.State.DONE:
                        self._told_done.add(key)

        return told

    def _disturb(self):
        world = self.world
        if world.now > FAULTS_UNTIL_S:
            self.store.down_until = 0.0
            return
        world.after(8 * world.rng.random(), self._disturb)
        instance = world.rng.choice(self.instances)
        match world.rng.randrange(4):
            case 0:
                seconds = _world.LONGEST_PAUSE_S * world.rng.random()
                instance.process.pause(seconds)
            case 1 if world.chance(0.5):
                self.replace(instance, _Instance)
            case 2:
                self.store.outage(10 * world.rng.random())

    def send(self, opening, reply):
        """Carries a call to the back end; parts of the way may fail."""
        world = self.world
        match world.rng.randrange(10):
            case 0:
                world.after(0.01, reply, claims.SendResult(False, None, True))
            case 1:
                world.faults.late_messages += 1
                delay_s = CONNECTION_WORST_S * world.rng.random()
                world.after(delay_s, self._run, opening)
                world.after(5.0, reply, claims.SendResult(True))
            case 2:
                world.after(0.01, self._run, opening)
                world.after(5.0, reply, claims.SendResult(True))
            case 3:
                world.after(5.0, reply, claims.SendResult(True))
            case _:
                world.after(0.01, self._run_and_answer, opening, reply)

    def _run(self, opening):
        return self.back_end.run(opening.key, opening.token, self.world.now)

    def _run_and_answer(self, opening, reply):
        answer = self._run(opening)
        self.world.after(0.01, reply, claims.SendResult(True, answer))

    def ask(self, key, reply):
        """Asks the back end what became of a key."""
        world = self.world
        if world.chance(0.1):
            outcome = claims.Outcome(claims.OutcomeStatus.INDETERMINATE)
            world.after(2.0, reply, outcome)
            return
        world.after(0.01, reply, self.back_end.outcome(key))

    def _check(self):
        runs = self.back_end.runs
        for key in self._told_done:
            if not runs.get(key):
                raise _world.Broken(f'key "{key}" was reported done')
        ran = {token for tokens in runs.values() for token in tokens}
        for token, key in self._not_run.items():
            if token in ran:
                raise _world.Broken(
                    f'call "{token}" of key "{key}" ran although its client '
                    'was told "not run"'
                )
        if not self.back_end.asks_by_key:
            return
        bucket = claims.Bucket.load(_CFG, self.store.look(BUCKET))
        left = [
            claim.key
            for claim in bucket.claims()
            if claim.state is claims.State.UNKNOWN
        ]
        if left:
            raise _world.Broken(f'claims {left} were never resolved')


def search_claims(seed):
    """Runs one seed.

    Returns:
        The Faults that were injected.

    Raises:
        Broken: If a promise was broken.
    """
    return _Search(seed).run()

"""Simulates a model engine: timing, batch, answer text and role."""

import threading

import attrs

from dandelionwinch import utils

_WORDS = (
    'boot heel toe strap binding snow trail ridge pole fit size calf snug '
    'loose depth powder crust glove layer pass weather north lodge'
).split()


def word_at(prompt, index):
    """Returns the word at an index of the answer to a prompt."""
    return ' ' + _WORDS[utils.stable_hash(prompt, index) % len(_WORDS)]


def answer_of(prompt, first, end):
    """Returns the answer to a prompt from index `first` to before `end`."""
    return ''.join(word_at(prompt, index) for index in range(first, end))


@attrs.define
class Generation:
    """An answer that is generated.

    Attributes:
        job: Identifier of the job.
        prompt: Text that determines the answer.
        tokens: Length of the whole answer.
        first: Index of the first token that is generated here; greater
            than 0 if an answer is continued.
        ready_at: Time of the first token.
        gap_s: Time between tokens.
    """

    job: str
    prompt: str
    tokens: int
    first: int
    ready_at: float
    gap_s: float
    cancelled: bool = False

    def token_at(self, index):
        """Returns the time at which a token is generated."""
        return self.ready_at + (index - self.first) * self.gap_s

    def ends_at(self):
        """Returns the time at which the answer is complete."""
        return self.token_at(self.tokens)


class Engine:
    """Generates answers in a continuous batch at the speed of an upstream.

    Attributes:
        cfg: settings.Upstream with the speeds and the first role.
        model: Name of the model.
        role: Current role.
        role_change_s: Duration of a role change.
        role_change_until: End of the last role change.
        alive: False while the engine is crashed.
        boot: Number of starts.
        epoch: Highest epoch of the orders received.
        order: Identifier and role of the last accepted order, or None.
        role_changes: Number of role changes.
        interrupted_answers: Answers that were incomplete when a role
            change began.
        crashed_answers: Answers that were dropped by a crash.
        overlapping_orders: Orders accepted during a role change.
        stale_orders: Orders of an older epoch that were executed.
        started_jobs: Identifiers of all jobs that were started.
        prefilled_tokens: Number of prompt tokens that were prefilled.
    """

    __slots__ = (
        '_generations',
        '_lock',
        '_prefill_free_at',
        'alive',
        'boot',
        'cfg',
        'crashed_answers',
        'epoch',
        'interrupted_answers',
        'model',
        'order',
        'overlapping_orders',
        'prefilled_tokens',
        'role',
        'role_change_s',
        'role_change_until',
        'role_changes',
        'stale_orders',
        'started_jobs',
    )

    def __init__(self, cfg, model, role_change_s=2.0):
        self.cfg = cfg
        self.model = model
        self.role = cfg.role
        self.role_change_s = role_change_s
        self.alive = True
        self.boot = 1
        self.epoch = 0
        self.order = None
        self.role_change_until = 0.0
        self.interrupted_answers = 0
        self.overlapping_orders = 0
        self.stale_orders = 0
        self.role_changes = 0
        self.crashed_answers = 0
        self.started_jobs = set()
        self.prefilled_tokens = 0
        self._prefill_free_at = 0.0
        self._generations = {}
        self._lock = threading.Lock()

    def start(self, job, prompt, tokens, first, prefill_tokens, now):
        """Starts the generation of a job, or returns the one that runs.

        Args:
            job: Identifier of the job.
            prompt: Text that determines the answer.
            tokens: Length of the whole answer.
            first: Tokens generated before, if an answer is continued.
            prefill_tokens: Prompt tokens to prefill; 0 after an import of
                a KV cache.
            now: Time in seconds.

        Returns:
            A Generation, or None if the engine accepts no work.
        """
        with self._lock:
            if not self.alive or now < self.role_change_until:
                return None
            existing = self._generations.get(job)
            if (
                existing is not None
                and existing.prompt == prompt
                and (existing.first == first and not existing.cancelled)
            ):
                return existing
            self._remove_ended(now)
            running = 1 + sum(
                1
                for item in self._generations.values()
                if self._not_cancelled(item) and item.ends_at() > now
            )
            prefill_at = max(now, self._prefill_free_at)
            prefill_s = prefill_tokens / self.cfg.prefill_tokens_per_s
            self._prefill_free_at = prefill_at + prefill_s
            self.prefilled_tokens += prefill_tokens
            # A batch of fewer than 8 jobs decodes no faster per job.
            gap_s = max(running, 8) / self.cfg.decode_tokens_per_s
            generation = Generation(
                job, prompt, tokens, first, prefill_at + prefill_s, gap_s
            )
            self._generations[job] = generation
            self.started_jobs.add(job)
            return generation

    @staticmethod
    def _not_cancelled(item):
        return not item.cancelled

    def _remove_ended(self, now, retention_s=5.0):
        # A complete answer can still be resumed for `retention_s`.
        ended = [
            job
            for job, item in self._generations.items()
            if item.cancelled or item.ends_at() + retention_s < now
        ]
        for job in ended:
            del self._generations[job]

    def running(self, now):
        """Returns the generations that are not complete."""
        with self._lock:
            return [
                item
                for item in self._generations.values()
                if self._not_cancelled(item) and item.ends_at() > now
            ]

    def waiting_tokens(self, now):
        """Returns the prompt tokens that are not prefilled yet."""
        with self._lock:
            wait_s = max(0.0, self._prefill_free_at - now)
        return int(wait_s * self.cfg.prefill_tokens_per_s)

    def cancel(self, job):
        """Cancels the generation of a job."""
        with self._lock:
            item = self._generations.get(job)
            if item is not None:
                item.cancelled = True

    def crash(self):
        """Drops all generations and refuses work until `restart`."""
        with self._lock:
            self.alive = False
            self.crashed_answers += len(self._generations)
            self._generations.clear()

    def restart(self):
        """Restarts after a crash, with a new boot number."""
        with self._lock:
            self.boot += 1
            self.alive = True

    def can_resume(self, job):
        """Returns whether the answer of a job can be resumed."""
        with self._lock:
            return job in self._generations

    def is_current(self, generation):
        """Returns whether a generation was neither dropped nor replaced."""
        with self._lock:
            return self._generations.get(generation.job) is generation

    def apply_order(self, order_id, epoch, role, now):
        """Executes an order to change the role.

        An order with the identifier of the last one is accepted and not
        executed again.

        Returns:
            Whether the order was accepted, that is, not fenced off.
        """
        running = len(self.running(now))
        with self._lock:
            if epoch < self.epoch:
                if self.cfg.checks_fencing:
                    return False
                self.stale_orders += 1
            self.epoch = max(epoch, self.epoch)
            if self.order is not None and self.order[0] == order_id:
                return True
            if now < self.role_change_until:
                self.overlapping_orders += 1
            self.order = (order_id, role)
            if role != self.role:
                self.interrupted_answers += running
                self.role = role
                self.role_changes += 1
                self.role_change_until = now + self.role_change_s
            return True

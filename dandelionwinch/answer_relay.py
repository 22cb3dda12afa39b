"""Relays one answer, with resumption and failover between upstreams."""

import json
import time

import attrs

from dandelionwinch.adapters import upstream as upstream_adapter
from dandelionwinch import completion_bodies
from dandelionwinch import completion_calls
from dandelionwinch.daemon import messages
from dandelionwinch import errors
from dandelionwinch import jobs

BAD_REQUEST = 400
GONE = 410
REQUEST_TIMEOUT = 408
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
# An upstream that refuses a job with one of these has not run it.
NOT_RUN_STATUSES = (REQUEST_TIMEOUT, TOO_MANY_REQUESTS, 503)


class AnswerRelay:
    """Relays the answer of one job over all its attempts.

    A generation is one run of the job on one upstream; its attempts are
    the requests for its stream. An attempt resumes the generation of the
    one before it or starts a new generation on another upstream.

    Args:
        core: The Core of the entry daemon.
        job_id: Identifier of the job.
        job: The jobs.CompletionRequest.
    """

    def __init__(self, core, job_id, job):
        self._core = core
        self._cfg = core.cfg.relay
        self._job_id = job_id
        self.job = job
        self._assembly = jobs.AnswerAssembly()
        self._calls = completion_calls.CallBuilder(
            core, job_id, job, self._assembly
        )
        self._deadline = time.monotonic() + self._cfg.deadline_s
        self._started = time.monotonic()
        self._failed_upstreams = set()
        self._generation = None
        self._generation_count = 0
        # Where the next generation runs, if that is certain already.
        self._next_placement = None
        # Attempts that may have run the job.
        self._runs = 0
        self._resumes = 0
        self._answer_bytes = 0
        self._reported_tokens = 0

    def tokens(self):
        """Returns the number of tokens of the answer so far."""
        return self._reported_tokens or self._assembly.tokens

    def chunks(self):
        """Yields new chunks in order until the answer is complete.

        Raises:
            DandelionwinchError: If the answer cannot be completed.
        """
        try:
            while not self._assembly.ended:
                yield from self._attempt()
        finally:
            if not self._assembly.ended and self._generation is not None:
                self._cancel(self._generation.placement.address)

    def _attempt(self):
        self._check_deadline()
        attempt = self._start_attempt()
        try:
            call = self._calls.build(self._generation, self._left_s())
            self._runs += 1
            stream = self._core.upstreams.stream(
                self._generation.placement.address, call
            )
            for item in stream:
                yield from self._accept(attempt, item)
        except upstream_adapter.UpstreamSilent as exc:
            self._handle_silence(str(exc))
        except completion_calls.PrefillFailed as exc:
            self._fail_over_prefill(exc)
        except upstream_adapter.UpstreamRefused as exc:
            self._handle_refusal(exc)
        except upstream_adapter.UpstreamUnreachable as exc:
            self._runs -= 1
            self._fail_over(str(exc))
        except (upstream_adapter.IncompleteResponse, jobs.StreamGap) as exc:
            self._handle_broken_stream(str(exc))

    def _start_attempt(self):
        """Resumes the present generation, or places a new one."""
        if self._generation is not None:
            return self._assembly.resume()
        self._generation_count += 1
        placement, self._next_placement = self._next_placement, None
        if placement is None:
            placement = self._place_next()
        self._generation = completion_calls.Generation(
            placement, self._generation_count
        )
        self._resumes = 0
        return self._assembly.start_continuation()

    def _place_next(self):
        try:
            return self._place(is_retry=False)
        except errors.DandelionwinchError as exc:
            if not self._runs:
                raise
            # Its status would say that the job was not run.
            raise self._failure(exc.message) from exc

    def _place(self, *, is_retry):
        return self._core.request(
            messages.PlaceCompletion(
                self._job_id,
                self.job,
                frozenset(self._failed_upstreams),
                is_retry,
            )
        )

    def _accept(self, attempt, item):
        match item:
            case upstream_adapter.End():
                self._assembly.end(attempt)
            case upstream_adapter.Chunk(offset=offset, text=text):
                if not self._assembly.accept(attempt, offset, text):
                    return
                self._answer_bytes += len(text.encode())
                if self._answer_bytes > self._cfg.max_answer_bytes:
                    raise self._failure('the answer is over the size limit')
                if self._assembly.next_offset == 1:
                    first_s = time.monotonic() - self._started
                    self._core.metrics.first_token.observe(first_s)
                yield item
        self._check_deadline()

    def _left_s(self):
        ends_at = min(self._deadline, self._core.stop_at)
        return max(0.1, ends_at - time.monotonic())

    def _check_deadline(self):
        now = time.monotonic()
        if self._assembly.ended:
            return
        if now >= self._deadline:
            exc = errors.DeadlinePassed(
                f'the answer was not complete after {self._cfg.deadline_s:g} s'
            )
            raise self._with_execution(exc)
        if now >= self._core.stop_at:
            raise self._stopped()

    def _stopped(self):
        message = 'this instance stops'
        if self._runs:
            return self._failure(message)
        return errors.Unready(message, retry_after_s=1.0)

    def _with_execution(self, exc):
        if self._runs:
            exc.execution = errors.ExecutionStatus.UNKNOWN
        return exc

    def _failure(self, reason):
        return self._with_execution(errors.UpstreamFailed(reason))

    def _handle_refusal(self, exc):
        """Retries unless the upstream rejected the request itself."""
        status = exc.status
        if status in NOT_RUN_STATUSES:
            self._runs -= 1
        if status == GONE:
            self._fail_over('the upstream no longer has the answer')
            return
        retryable = (REQUEST_TIMEOUT, TOO_MANY_REQUESTS)
        if BAD_REQUEST <= status < SERVER_ERROR and status not in retryable:
            refusal = errors.BadRequest(
                f'the upstream refused the request: {exc.body[:500]}'
            )
            raise refusal
        self._fail_over(str(exc))

    def _handle_broken_stream(self, reason):
        """Resumes once on a new connection, then fails over."""
        may_resume = self._assembly.last_offset() >= 0
        if may_resume and self._resumes == 0:
            self._resumes += 1
            self._spend_retry(reason)
            return
        self._fail_over(reason)

    def _handle_silence(self, reason):
        """Leaves a silent upstream only if another one can go on.

        A sound upstream may be silent for a while. Until another generation
        is placed, the stream of this one is resumed.
        """
        if self._assembly.last_offset() < 0:
            self._fail_over(reason)
            return
        self._resumes += 1
        if self._resumes == 1:
            return
        placement = self._generation.placement
        if placement.upstream not in self._failed_upstreams:
            self._report_failure(placement.upstream, reason)
        if not self.job.continuable:
            return
        try:
            self._next_placement = self._place(is_retry=True)
        except errors.DandelionwinchError:
            return
        self._cancel(placement.address)
        self._generation = None

    def _fail_over(self, reason):
        """Excludes the decode upstream, so that the next attempt avoids it."""
        placement = self._generation.placement
        self._report_failure(placement.upstream, reason)
        self._cancel(placement.address)
        self._drop_generation(reason)

    def _fail_over_prefill(self, exc):
        """Excludes the prefill upstream; the decode upstream stays usable."""
        placement = self._generation.placement
        self._report_failure(placement.prefill_upstream, str(exc))
        if exc.may_work:
            self._cancel(placement.prefill_address)
        self._drop_generation(str(exc))

    def _drop_generation(self, reason):
        self._generation = None
        if self._assembly.next_offset and not self.job.continuable:
            raise self._failure(
                f'the answer broke off and cannot be continued: {reason}'
            )
        self._spend_retry(reason)

    def _report_failure(self, upstream, reason):
        self._failed_upstreams.add(upstream)
        self._core.request(
            messages.UpstreamFailed(self._job_id, upstream, reason)
        )

    def _spend_retry(self, reason):
        if not self._core.request(
            messages.Retry(self._job_id, self.job.model)
        ):
            raise self._failure(f'no retries are left after: {reason}')

    def _cancel(self, address):
        number = self._generation.number
        self._core.upstreams.cancel(address, f'{self._job_id}-{number}')

    def whole(self, request_id):
        """Returns the whole answer as a JSON body in bytes."""
        if not self.job.continuable:
            return self._fetch_whole()
        finish_reason = 'stop'
        for chunk in self.chunks():
            finish_reason = (
                completion_bodies.finish_reason(chunk) or finish_reason
            )
        return json.dumps(
            completion_bodies.whole_body(
                request_id, self.job, self._assembly, finish_reason
            )
        ).encode()

    def _fetch_whole(self):
        """Fetches an answer that cannot be assembled from chunks."""
        while True:
            self._check_deadline()
            self._start_attempt()
            try:
                call = self._calls.build(self._generation, self._left_s())
                call = attrs.evolve(call, first_chunk_timeout_s=self._left_s())
                self._runs += 1
                body = self._core.upstreams.fetch(
                    self._generation.placement.address, call
                )
                usage = body.get('usage') or {}
                self._reported_tokens = int(
                    usage.get('completion_tokens') or 0
                )
                self._assembly.ended = True
                return json.dumps(body).encode()
            except completion_calls.PrefillFailed as exc:
                self._fail_over_prefill(exc)
            except upstream_adapter.UpstreamRefused as exc:
                self._handle_refusal(exc)
            except upstream_adapter.UpstreamUnreachable as exc:
                self._runs -= 1
                self._fail_over(str(exc))
            except upstream_adapter.IncompleteResponse as exc:
                self._fail_over(str(exc))

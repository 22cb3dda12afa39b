"""Relays completions: attempts, resumption and delivery."""

import json
import time

import attrs

from dandelionwinch.adapters import upstream as upstream_adapter
from dandelionwinch.daemon import messages
from dandelionwinch import delivery
from dandelionwinch import errors
from dandelionwinch import jobs
from dandelionwinch import listeners

BAD_REQUEST = 400
GONE = 410
REQUEST_TIMEOUT = 408
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
FIRST_MARGIN_S = 2.0
EVENT_STREAM = 'text/event-stream'
_DONE_EVENT = b'data: [DONE]\n\n'


class CompletionRelay:
    """Serves completions in the calling worker thread."""

    def __init__(self, core):
        self._core = core

    def serve(self, request, team):
        """Serves one completion.

        Returns:
            A Response whose chunks are the answer.

        Raises:
            DandelionwinchError: If the job is refused before the first
                piece of its answer.
        """
        core = self._core
        job = jobs.parse_completion(request.path, request.body)
        core.request(messages.Admit(request.id, team, job.model))

        def finish(state, code, tokens):
            core.request(messages.Finish(request.id, state, code, tokens))

        answer = _Answer(core, request.id, job)
        try:
            if job.stream:
                return self._streamed(request, answer, finish)
            return self._whole(request, answer, finish)
        except errors.DandelionwinchError as exc:
            finish(delivery.final_state(exc), exc.code, 0)
            raise
        except BaseException:
            finish('unknown', 'internal', 0)
            raise

    @staticmethod
    def _streamed(request, answer, finish):
        pieces = answer.pieces()
        first = next(pieces, None)
        chunks = _events(request.id, answer, first, pieces)
        return listeners.Response(
            content_type=EVENT_STREAM,
            headers={'Cache-Control': 'no-store'},
            chunks=delivery.ResponseStream(chunks, finish, answer.tokens),
        )

    @staticmethod
    def _whole(request, answer, finish):
        body = answer.whole(request.id)

        def chunks():
            yield body

        return listeners.Response(
            headers={'Content-Length': str(len(body))},
            chunks=delivery.ResponseStream(chunks(), finish, answer.tokens),
        )


@attrs.define
class _Target:
    """The upstream of the present attempt."""

    placed: messages.Placement
    generation: int
    transfer: dict | None = None


class _Answer:
    """One job's answer over all its attempts."""

    def __init__(self, core, job_id, job):
        self._core = core
        self._cfg = core.cfg.relay
        self._job_id = job_id
        self.job = job
        self._assembly = jobs.AnswerAssembly()
        self._deadline = time.monotonic() + self._cfg.deadline_s
        self._started = time.monotonic()
        self._exclude = set()
        self._target = None
        self._generation = 0
        self._sent = False
        self._resumes = 0
        self._bytes = 0
        self._usage = 0

    def tokens(self):
        """Returns the number of tokens of the answer so far."""
        return self._usage or self._assembly.tokens

    def pieces(self):
        """Yields new pieces in order until the whole answer is there.

        Raises:
            DandelionwinchError: If the answer cannot be completed.
        """
        try:
            while not self._assembly.ended:
                yield from self._attempt()
        finally:
            if not self._assembly.ended:
                self._cancel()

    def _attempt(self):
        self._check_deadline()
        attempt = self._begin()
        try:
            call = self._call()
            self._sent = True
            stream = self._core.upstreams.stream(
                self._target.placed.address, call
            )
            for item in stream:
                yield from self._accept(attempt, item)
        except upstream_adapter.UpstreamRefused as exc:
            self._refused(exc)
        except upstream_adapter.UpstreamUnreachable as exc:
            self._move_on(str(exc))
        except (upstream_adapter.UpstreamBroke, jobs.StreamGap) as exc:
            self._broken(str(exc))

    def _begin(self):
        if self._target is not None:
            return self._assembly.resume()
        self._generation += 1
        placed = self._core.request(
            messages.PlaceCompletion(
                self._job_id, self.job, frozenset(self._exclude)
            )
        )
        self._target = _Target(placed, self._generation)
        self._resumes = 0
        return self._assembly.start_continuation()

    def _call(self):
        body = jobs.continuation_body(
            self.job, self._assembly_text(), self._assembly.tokens
        )
        placed = self._target.placed
        silence_s = max(
            self._cfg.least_silence_s,
            self._cfg.silence_factor * placed.token_gap_s,
        )
        call = upstream_adapter.Call(
            job_id=f'{self._job_id}-{self._target.generation}',
            path=self.job.path,
            body=body,
            resume_after=self._assembly.resume_after(),
            silence_s=silence_s,
            first_s=min(placed.first_token_s + FIRST_MARGIN_S, self._left_s()),
        )
        if placed.prefill_address and call.resume_after < 0:
            body['kv_transfer_params'] = self._prefill(placed, call)
        return call

    def _assembly_text(self):
        # A resumed generation has the prompt already; only a new one
        # needs the text so far.
        if self._assembly.resume_after() >= 0:
            return ''
        return self._assembly.text

    def _prefill(self, placed, call):
        try:
            return self._core.upstreams.prefill(placed.prefill_address, call)
        except upstream_adapter.UpstreamRefused as exc:
            self._blame(placed.prefill_upstream, str(exc))
            raise upstream_adapter.UpstreamUnreachable(str(exc)) from exc
        except upstream_adapter.UpstreamBroke as exc:
            self._blame(placed.prefill_upstream, str(exc))
            raise upstream_adapter.UpstreamUnreachable(str(exc)) from exc

    def _accept(self, attempt, item):
        match item:
            case upstream_adapter.End():
                self._assembly.end(attempt)
            case upstream_adapter.Piece(offset=offset, text=text):
                if not self._assembly.accept(attempt, offset, text):
                    return
                self._bytes += len(text)
                if self._bytes > self._cfg.max_answer_bytes:
                    raise self._failed('the answer is over the size limit')
                if self._assembly.next_offset == 1:
                    first_s = time.monotonic() - self._started
                    self._core.metrics.first_token.observe(first_s)
                yield item
        self._check_deadline()

    def _left_s(self):
        return max(0.1, self._deadline - time.monotonic())

    def _check_deadline(self):
        if time.monotonic() < self._deadline or self._assembly.ended:
            return
        exc = errors.DeadlinePassed(
            f'the answer was not complete after {self._cfg.deadline_s:g} s'
        )
        raise self._with_truth(exc)

    def _with_truth(self, exc):
        if self._sent:
            exc.execution = errors.ExecutionStatus.UNKNOWN
        return exc

    def _failed(self, reason):
        return self._with_truth(errors.UpstreamFailed(reason))

    def _refused(self, exc):
        status = exc.status
        if status == GONE:
            self._move_on('the upstream no longer has the answer')
            return
        retried = (REQUEST_TIMEOUT, TOO_MANY_REQUESTS)
        if BAD_REQUEST <= status < SERVER_ERROR and status not in retried:
            refusal = errors.BadRequest(
                f'the upstream refused the request: {exc.body[:500]}'
            )
            raise refusal
        self._move_on(str(exc))

    def _broken(self, reason):
        """Resumes on another connection first, then elsewhere."""
        may_resume = self._assembly.resume_after() >= 0
        if may_resume and self._resumes == 0:
            self._resumes += 1
            self._spend_retry(reason)
            return
        self._move_on(reason)

    def _move_on(self, reason):
        self._blame(self._target.placed.upstream, reason)
        self._cancel()
        self._target = None
        if self._assembly.next_offset and not self.job.continuable:
            raise self._failed(
                f'the answer broke off and cannot be continued: {reason}'
            )
        self._spend_retry(reason)

    def _blame(self, upstream, reason):
        self._exclude.add(upstream)
        self._core.request(
            messages.UpstreamFailed(self._job_id, upstream, reason)
        )

    def _spend_retry(self, reason):
        if not self._core.request(
            messages.Retry(self._job_id, self.job.model)
        ):
            raise self._failed(f'no retries are left after: {reason}')

    def _cancel(self):
        target = self._target
        if target is None or not self._sent:
            return
        self._core.upstreams.cancel(
            target.placed.address, f'{self._job_id}-{target.generation}'
        )

    def whole(self, request_id):
        """Returns the whole answer as one JSON body."""
        if not self.job.continuable:
            return self._whole_as_is()
        reason = 'stop'
        for piece in self.pieces():
            reason = _reason_of(piece) or reason
        return json.dumps(
            _whole_body(request_id, self.job, self._assembly, reason)
        ).encode()

    def _whole_as_is(self):
        """Fetches an answer that cannot be put together from pieces."""
        while True:
            self._check_deadline()
            self._begin()
            try:
                call = self._call()
                call = attrs.evolve(call, first_s=self._left_s())
                self._sent = True
                body = self._core.upstreams.whole(
                    self._target.placed.address, call
                )
                usage = body.get('usage') or {}
                self._usage = int(usage.get('completion_tokens') or 0)
                self._assembly.ended = True
                return json.dumps(body).encode()
            except upstream_adapter.UpstreamRefused as exc:
                self._refused(exc)
            except (
                upstream_adapter.UpstreamUnreachable,
                upstream_adapter.UpstreamBroke,
            ) as exc:
                self._move_on(str(exc))


def _reason_of(piece):
    for choice in piece.choices:
        if choice.get('finish_reason'):
            return choice['finish_reason']
    return ''


def _events(request_id, answer, first, pieces):
    """Yields server-sent events, the last of which ends the answer."""
    head = {
        'id': request_id,
        'object': _object_of(answer.job, True),
        'created': int(time.time()),
        'model': answer.job.model,
    }
    try:
        if first is not None:
            yield _event({**head, 'choices': first.choices})
        for piece in pieces:
            yield _event({**head, 'choices': piece.choices})
        yield _DONE_EVENT
    except errors.DandelionwinchError as exc:
        yield _event(listeners.error_body(exc, request_id))
        raise
    finally:
        pieces.close()


def _event(value):
    return b'data: ' + json.dumps(value).encode() + b'\n\n'


def _object_of(job, chunk):
    if not job.chat:
        return 'text_completion'
    return 'chat.completion.chunk' if chunk else 'chat.completion'


def _whole_body(request_id, job, assembly, reason):
    text = assembly.text
    choice = {'index': 0, 'finish_reason': reason}
    if job.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    made = assembly.tokens
    return {
        'id': request_id,
        'object': _object_of(job, False),
        'created': int(time.time()),
        'model': job.model,
        'choices': [choice],
        'usage': {
            'prompt_tokens': job.prompt_tokens,
            'completion_tokens': made,
            'total_tokens': job.prompt_tokens + made,
        },
    }

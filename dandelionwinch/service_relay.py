"""Relays calls of plain services by the retry rules of each service."""

import concurrent.futures
import re
import time

from dandelionwinch.adapters import service as service_adapter
from dandelionwinch import claims
from dandelionwinch.daemon import messages
from dandelionwinch import delivery
from dandelionwinch import effects
from dandelionwinch import errors
from dandelionwinch import listeners
from dandelionwinch import settings
from dandelionwinch import utils

HEDGE_DELAY_S = 0.15
HEDGE_THREADS = 32
SERVER_ERROR = 500
UNRESOLVED_RETRY_AFTER_S = 2.0
_KEY_PATTERN = re.compile(r'[A-Za-z0-9._:~-]{1,200}')
_SAFE_METHODS = ('GET', 'HEAD')
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')


class ServiceRelay:
    """Relays calls of plain services in the calling worker thread.

    Args:
        core: The Core of the entry daemon; it places and counts the calls.
    """

    def __init__(self, core):
        self._core = core
        self._hedge_pool = concurrent.futures.ThreadPoolExecutor(
            HEDGE_THREADS, thread_name_prefix='hedge'
        )

    def close(self):
        """Stops the threads of hedged calls."""
        self._hedge_pool.shutdown(wait=False, cancel_futures=True)

    def serve(self, request, name, path, team):
        """Relays one call.

        Args:
            request: The client's Request.
            name: Name of the service.
            path: Path at the service, with a slash before it.
            team: Name of the client's team.

        Returns:
            A Response with the service's answer.

        Raises:
            DandelionwinchError: If the call is refused or failed.
        """
        core = self._core
        if request.method not in _METHODS:
            raise errors.BadRequest(
                f'method "{request.method}" is not supported'
            )

        def respond(finish):
            answer, headers = self._relay(request, name, path)
            return _response(answer, headers, finish)

        return delivery.serve_job(core, request.id, team, name, respond)

    def _relay(self, request, name, path):
        placement = self._core.request(messages.PlaceService(request.id, name))
        service = placement.service
        at_most_once = service.repeat is settings.Repeat.ONCE
        key = request.header('idempotency-key')
        if key and not _KEY_PATTERN.fullmatch(key):
            raise errors.BadRequest(
                'header "Idempotency-Key" is not 1 to 200 letters, digits '
                'or ._:~-'
            )
        call = service_adapter.ServiceCall(
            request.method,
            path,
            request.body,
            request.header('content-type', 'application/json'),
            key,
            request.id,
        )
        if not at_most_once or request.method in _SAFE_METHODS:
            return self._call_with_retries(call, placement), {}
        if not key:
            raise errors.KeyMissing(
                f'service "{name}" needs the header "Idempotency-Key"'
            )
        return _AtMostOnceCall(self._core, call, placement).run()

    def _call_with_retries(self, call, placement):
        """Tries each upstream at most twice, until the deadline.

        Every attempt but the first takes a retry from the service's
        budget.
        """
        core = self._core
        service = placement.service
        deadline = time.monotonic() + service.deadline_s
        may_have_run = False
        reason = 'no upstream was tried'
        for attempt, upstream in enumerate(placement.upstreams * 2):
            if time.monotonic() >= deadline:
                break
            if attempt and not _may_begin(core, call, upstream):
                continue
            if attempt and not _may_retry(core, call, service):
                break
            answer = self._attempt(
                call, placement, attempt, upstream, deadline
            )
            if _is_relayable(answer):
                return answer
            if not isinstance(answer, service_adapter.NotSent):
                may_have_run = True
            reason = _failure_reason(answer)
            core.request(
                messages.UpstreamFailed(call.request_id, upstream.name, reason)
            )
        message = f'service "{service.name}" gave no answer: {reason}'
        if not may_have_run:
            raise errors.NoUpstream(message, retry_after_s=1.0)
        exc = errors.UpstreamFailed(message, retry_after_s=1.0)
        exc.execution = errors.ExecutionStatus.UNKNOWN
        raise exc

    def _attempt(self, call, placement, attempt, upstream, deadline):
        others = [u for u in placement.upstreams if u is not upstream]
        if placement.service.hedge and not attempt and others:
            return self._hedge(
                call, placement.service, upstream, others[0], deadline
            )
        left_s = deadline - time.monotonic()
        return self._core.services.call(upstream.address, call, left_s)

    def _hedge(self, call, service, upstream, other, deadline):
        """Calls a second upstream if the first takes over HEDGE_DELAY_S.

        The second call takes a retry from the service's budget.

        Returns:
            The first answer that can be relayed; without one before the
            deadline, NotSent only if no call was sent.
        """
        pending = {self._submit(upstream, call, deadline)}
        done = _wait(pending, min(deadline, time.monotonic() + HEDGE_DELAY_S))
        if (
            not done
            and _may_begin(self._core, call, other)
            and _may_retry(self._core, call, service)
        ):
            pending.add(self._submit(other, call, deadline))
        answer = service_adapter.NotSent()
        while pending:
            done = _wait(pending, deadline)
            if not done:
                # A call that is still queued for a thread is not sent.
                queued = [fut.cancel() for fut in pending]
                return answer if all(queued) else service_adapter.NoAnswer()
            pending -= done
            for fut in done:
                found = fut.result()
                if _is_relayable(found):
                    return found
                if isinstance(answer, service_adapter.NotSent):
                    answer = found
        return answer

    def _submit(self, upstream, call, deadline):
        def send():
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                return service_adapter.NotSent()
            return self._core.services.call(upstream.address, call, left_s)

        return self._hedge_pool.submit(send)


class _AtMostOnceCall:
    """One call of a service that is not idempotent.

    Args:
        core: The Core of the entry daemon.
        call: The ServiceCall; it has a key.
        placement: The messages.ServicePlacement.
    """

    def __init__(self, core, call, placement):
        self._core = core
        self._call = call
        self._service = placement.service
        self._upstreams = list(placement.upstreams)
        self._upstream = None
        key = f'{placement.service.name}/{call.key}'
        claim_id = f'{core.name}#{core.incarnation}#{call.request_id}'
        content = f'{call.method} {call.path}\n'.encode() + call.body
        self._open_mutation = claims.Open(
            key, claim_id, utils.digest_of(content)
        )

    def run(self):
        """Runs the call, or returns the recorded answer of its key.

        Returns:
            The answer and a dict of response headers.

        Raises:
            DandelionwinchError: If there is no answer; its ``execution``
                tells whether the call may have run.
        """
        program = claims.run_at_most_once(
            self._open_mutation,
            self._service.dedupes_by_key,
            self._core.cfg.claims.send_window_s,
            self._close_for,
        )
        result = effects.drive(program, self._execute, _clock)
        match result:
            case claims.Done(answer=answer):
                return answer, {}
            case claims.NotGranted(result=open_result):
                return self._answer_not_granted(open_result)
            case claims.NotRun(reason=reason):
                raise errors.NoUpstream(
                    f'service "{self._service.name}": {reason}',
                    retry_after_s=1.0,
                )
        raise errors.OutcomeUnknown(
            'the call was sent and its outcome is not known; ask again '
            'with the same key',
            retry_after_s=UNRESOLVED_RETRY_AFTER_S,
        )

    def _execute(self, request):
        """Executes a request of the program; the core writes the claims."""
        match request:
            case claims.WriteOpen(mutation=mutation):
                return self._core.request(messages.OpenClaim(mutation))
            case claims.SendCall():
                return self._send()
            case claims.QueryOutcome():
                return self._query_outcome()
            case claims.WriteClose(mutation=mutation):
                return self._core.request(messages.CloseClaim(mutation))
        raise TypeError(f'"{request!r}" is not a request of run_at_most_once')

    def _send(self):
        upstream = self._next_upstream()
        if upstream is None:
            return claims.SendResult(False)
        self._upstream = upstream
        answer = self._core.services.call(
            upstream.address, self._call, self._service.deadline_s
        )
        if _is_relayable(answer):
            return claims.SendResult(True, answer)
        self._core.request(
            messages.UpstreamFailed(
                self._call.request_id, upstream.name, _failure_reason(answer)
            )
        )
        may_have_arrived = not isinstance(answer, service_adapter.NotSent)
        return claims.SendResult(may_have_arrived, None, bool(self._upstreams))

    def _next_upstream(self):
        """Returns the next upstream that accepts the call, or None."""
        while self._upstreams:
            upstream = self._upstreams.pop(0)
            # The first one counts the call since its placement.
            is_first = self._upstream is None
            if is_first or _may_begin(self._core, self._call, upstream):
                return upstream
        return None

    def _query_outcome(self):
        if not self._service.asks_by_key:
            return claims.Outcome(claims.OutcomeStatus.INDETERMINATE)
        reply = self._core.services.fetch_outcome(
            self._upstream.address, self._call.key
        )
        # NeverSeen is no proof that the call does not run: it may still be
        # in transit (see claims.resolved_state).
        if not isinstance(reply, service_adapter.Ran):
            return claims.Outcome(claims.OutcomeStatus.INDETERMINATE)
        answer = service_adapter.Answered(200, reply.body, 'application/json')
        return claims.Outcome(claims.OutcomeStatus.RAN, answer)

    def _answer_not_granted(self, result):
        match result:
            case claims.Held(claim=claim):
                return self._replay(claim)
            case claims.Expired():
                raise errors.KeyExpired(
                    f'key "{self._call.key}" is older than the retention '
                    'of keys'
                )
            case claims.Full():
                raise errors.Overloaded(
                    'the record of keys is full', retry_after_s=60.0
                )
        raise errors.StoreUnavailable(
            'the store was not reached, so the call was not sent',
            retry_after_s=2.0,
        )

    def _replay(self, claim):
        """Returns the recorded answer, or its digest if it is not stored."""
        # The digest is empty if a Close created the claim.
        if claim.request not in ('', self._open_mutation.request):
            raise errors.KeyReused(
                f'key "{self._call.key}" was used for another request'
            )
        if claim.state is not claims.State.DONE:
            raise errors.KeyUnresolved(
                f'an earlier call with key "{self._call.key}" has no known '
                'outcome yet; it is being looked into',
                retry_after_s=UNRESOLVED_RETRY_AFTER_S,
            )
        headers = {'Idempotent-Replay': 'true'}
        if claim.kept:
            answer = service_adapter.Answered(
                claim.status, claim.answer.encode(), claim.content_type
            )
            return answer, headers
        headers['Answer-Digest'] = claim.digest
        body = b'{"outcome": "done", "answer": "not kept"}'
        answer = service_adapter.Answered(200, body, 'application/json')
        return answer, headers

    def _close_for(self, answer):
        return claims.close_with_answer(
            self._open_mutation.key,
            self._open_mutation.token,
            claims.StoredAnswer(
                answer.status, answer.content_type, answer.body
            ),
            self._core.cfg.claims.max_kept_answer_bytes,
        )


def _clock():
    return effects.Time(time.monotonic(), time.time())


def _may_begin(core, call, upstream):
    return core.request(messages.BeginAttempt(call.request_id, upstream.name))


def _may_retry(core, call, service):
    return core.request(messages.Retry(call.request_id, service.name))


def _wait(pending, deadline):
    """Returns the futures that are done, some at the deadline or none."""
    left_s = max(0.0, deadline - time.monotonic())
    done, _pending = concurrent.futures.wait(
        pending, left_s, return_when=concurrent.futures.FIRST_COMPLETED
    )
    return done


def _is_relayable(answer):
    """Returns whether an answer is passed on: any status below 500."""
    return (
        isinstance(answer, service_adapter.Answered)
        and answer.status < SERVER_ERROR
    )


def _failure_reason(answer):
    if isinstance(answer, service_adapter.Answered):
        return f'status {answer.status}'
    return type(answer).__name__


def _response(answer, headers, finish):
    body = answer.body

    def chunks():
        if body:
            yield body

    # A call of a service counts as one token.
    return listeners.Response(
        answer.status,
        content_type=answer.content_type or 'application/octet-stream',
        headers={**headers, 'Content-Length': str(len(body))},
        chunks=delivery.ResponseStream(chunks(), finish, lambda: 1),
    )

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
        core.request(messages.Admit(request.id, team, name))

        def finish(state, code, tokens):
            core.request(messages.Finish(request.id, state, code, tokens))

        try:
            answer, headers = self._relay(request, name, path)
        except errors.DandelionwinchError as exc:
            finish(delivery.final_state(exc), exc.code, 0)
            raise
        except BaseException:
            finish('unknown', 'internal', 0)
            raise
        return _response(answer, headers, finish)

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
        service = placement.service
        deadline = time.monotonic() + service.deadline_s
        reason = 'no upstream was tried'
        for attempt, upstream in enumerate(placement.upstreams * 2):
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                break
            if attempt and not self._core.request(
                messages.Retry(call.request_id, service.name)
            ):
                break
            answer = self._attempt(call, placement, attempt, upstream, left_s)
            if _is_relayable(answer):
                return answer
            reason = _failure_reason(answer)
            self._core.request(
                messages.UpstreamFailed(call.request_id, upstream.name, reason)
            )
        exc = errors.UpstreamFailed(
            f'service "{service.name}" gave no answer: {reason}',
            retry_after_s=1.0,
        )
        exc.execution = errors.ExecutionStatus.UNKNOWN
        raise exc

    def _attempt(self, call, placement, attempt, upstream, left_s):
        services = self._core.services
        others = [u for u in placement.upstreams if u is not upstream]
        if not placement.service.hedge or attempt or not others:
            return services.call(upstream.address, call, left_s)
        return self._hedge(call, upstream, others[0], left_s)

    def _hedge(self, call, upstream, other, left_s):
        """Calls a second upstream if the first takes over HEDGE_DELAY_S.

        Returns the first answer that can be relayed. The second call takes
        a retry from a budget of its own (see _hedge_target).
        """
        services = self._core.services
        first = self._hedge_pool.submit(
            services.call, upstream.address, call, left_s
        )
        done, _pending = concurrent.futures.wait([first], HEDGE_DELAY_S)
        if done:
            return first.result()
        if not self._core.request(
            messages.Retry(call.request_id, self._hedge_target(call))
        ):
            return first.result()
        second = self._hedge_pool.submit(
            services.call, other.address, call, left_s
        )
        pending = {first, second}
        answer = None
        while pending:
            done, pending = concurrent.futures.wait(
                pending,
                left_s,
                return_when=concurrent.futures.FIRST_COMPLETED,
            )
            if not done:
                break
            for fut in done:
                answer = fut.result()
                if _is_relayable(answer):
                    return answer
        return answer or service_adapter.NoAnswer()

    @staticmethod
    def _hedge_target(call):
        """Returns the name of the retry budget for hedges of a path."""
        return f'hedge {call.path}'


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
        upstream = self._upstreams.pop(0)
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

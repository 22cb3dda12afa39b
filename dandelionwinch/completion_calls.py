"""Builds the calls by which upstreams run a completion."""

import attrs

from dandelionwinch.adapters import upstream as upstream_adapter
from dandelionwinch.daemon import messages
from dandelionwinch import jobs

# Added to the expected time to first token.
FIRST_TOKEN_MARGIN_S = 2.0


@attrs.define
class Generation:
    """One run of a job on one upstream, over all attempts to stream it.

    Attributes:
        placement: Where the generation runs.
        number: Number of the generation within the job, from 1.
    """

    placement: messages.Placement
    number: int


class PrefillFailed(Exception):
    """The prefill upstream failed; nothing was sent to the other one.

    Attributes:
        may_work: Whether it may still work on the prompt.
    """

    def __init__(self, reason, may_work):
        super().__init__(reason)
        self.may_work = may_work


class CallBuilder:
    """Builds the calls of one job; runs the prefill that a call needs.

    Args:
        core: The Core of the entry daemon.
        job_id: Identifier of the job.
        job: The jobs.CompletionRequest.
        assembly: The jobs.AnswerAssembly of the answer so far.
    """

    def __init__(self, core, job_id, job, assembly):
        self._core = core
        self._cfg = core.cfg.relay
        self._job_id = job_id
        self._job = job
        self._assembly = assembly

    def build(self, generation, left_s):
        """Returns the Call of the next attempt, after its prefill.

        Args:
            generation: The Generation that it resumes or starts.
            left_s: Seconds left for the answer.

        Raises:
            PrefillFailed: If the prefill upstream gave no complete response.
        """
        body = jobs.continuation_body(
            self._job, self._partial_text(), self._assembly.tokens
        )
        placement = generation.placement
        chunk_timeout_s = max(
            self._cfg.least_silence_s,
            self._cfg.silence_factor * placement.token_gap_s,
        )
        call = upstream_adapter.Call(
            job_id=f'{self._job_id}-{generation.number}',
            path=self._job.path,
            body=body,
            resume_after=self._assembly.last_offset(),
            chunk_timeout_s=chunk_timeout_s,
            first_chunk_timeout_s=min(
                placement.first_token_s + FIRST_TOKEN_MARGIN_S, left_s
            ),
        )
        # A generation that is not resumed starts with a prefill. `call`
        # holds the same dict, so it also gets the parameters.
        if placement.prefill_address and call.resume_after < 0:
            body['kv_transfer_params'] = self._prefill(placement, call)
        return call

    def _partial_text(self):
        # The upstream of a resumed generation already has the prompt; only
        # a new generation needs the text so far.
        if self._assembly.last_offset() >= 0:
            return ''
        return self._assembly.text

    def _prefill(self, placement, call):
        """Runs the prefill upstream; returns the KV transfer parameters.

        Raises:
            PrefillFailed: If it refused, was not reached or gave no complete
                response.
        """
        try:
            return self._core.upstreams.prefill(
                placement.prefill_address, call
            )
        except (
            upstream_adapter.UpstreamRefused,
            upstream_adapter.UpstreamUnreachable,
        ) as exc:
            raise PrefillFailed(str(exc), may_work=False) from exc
        except upstream_adapter.IncompleteResponse as exc:
            raise PrefillFailed(str(exc), may_work=True) from exc

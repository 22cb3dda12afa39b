"""Jobs from their admission to the end of their delivery."""

from dandelionwinch.daemon import messages
from dandelionwinch import errors


class ResponseStream:
    """Iterator over the chunks of a response; reports its end once.

    Iterating to the end means that every chunk was written to the
    client's connection; `close` before that means that the client
    disconnected.

    Args:
        chunks: Generator of bytes.
        finish: Function of the job's final state, an error code and the
            number of delivered tokens; called at most once.
        tokens: Function that returns the number of delivered tokens.
    """

    __slots__ = ('_chunks', '_finish', '_tokens')

    def __init__(self, chunks, finish, tokens):
        self._chunks = chunks
        self._finish = finish
        self._tokens = tokens

    def __iter__(self):
        return self

    def __next__(self):
        try:
            return next(self._chunks)
        except StopIteration:
            self._report_end('done', '', self._tokens())
            raise
        except errors.DandelionwinchError as exc:
            # The generator has already yielded the error as its last event,
            # so for the client's connection the response ends here.
            self._report_end(final_state(exc), exc.code, 0)
            raise StopIteration from None

    def close(self):
        """Stops the generator; reports the job as abandoned if not ended."""
        self._chunks.close()
        self._report_end('abandoned', 'client_left', 0)

    def _report_end(self, state, code, tokens):
        if self._finish is not None:
            finish, self._finish = self._finish, None
            finish(state, code, tokens)


def final_state(exc):
    """Returns the final state of a job that failed with an error.

    It is 'unknown' if it is not known whether the job was executed, and
    'refused' for every other failure, also one at an upstream.
    """
    unknown = exc.execution is errors.ExecutionStatus.UNKNOWN
    return 'unknown' if unknown else 'refused'


def serve_job(core, job_id, team, target, respond):
    """Admits a job, makes its response and reports a failure before it.

    Args:
        core: The Core that admits and counts the jobs.
        job_id: Identifier of the job.
        team: Name of the client's team.
        target: Name of the model or service.
        respond: Function that makes the Response. It gets the function that
            reports the job's end (see ResponseStream).

    Returns:
        The Response.

    Raises:
        DandelionwinchError: If the job is refused or fails before the
            response starts.
    """
    core.request(messages.Admit(job_id, team, target))

    def finish(state, code, tokens):
        core.request(messages.Finish(job_id, state, code, tokens))

    try:
        return respond(finish)
    except errors.DandelionwinchError as exc:
        finish(final_state(exc), exc.code, 0)
        raise
    except BaseException:
        finish('unknown', 'internal', 0)
        raise

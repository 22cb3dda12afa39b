"""Serves completions: each job is relayed as a stream or a whole answer."""

from dandelionwinch import answer_relay
from dandelionwinch import completion_bodies
from dandelionwinch import delivery
from dandelionwinch import jobs
from dandelionwinch import listeners

EVENT_STREAM = 'text/event-stream'


class CompletionRelay:
    """Relays completions in the calling worker thread.

    Args:
        core: The Core of the entry daemon; it places and counts the jobs.
    """

    def __init__(self, core):
        self._core = core

    def serve(self, request, team):
        """Relays one completion.

        Args:
            request: The client's Request.
            team: Name of the client's team.

        Returns:
            A Response whose chunks are the answer.

        Raises:
            DandelionwinchError: If the job is refused or fails before
                the response starts.
        """
        core = self._core
        job = jobs.parse_completion(request.path, request.body)
        answer = answer_relay.AnswerRelay(core, request.id, job)

        def respond(finish):
            if job.stream:
                return self._stream_response(request, answer, finish)
            return self._whole_response(request, answer, finish)

        return delivery.serve_job(core, request.id, team, job.model, respond)

    @staticmethod
    def _stream_response(request, answer, finish):
        chunks = answer.chunks()
        # Waits for the first chunk, so that a failure before it is
        # answered with an HTTP status of its own.
        first = next(chunks, None)
        events = completion_bodies.sse_events(
            request.id, answer, first, chunks
        )
        return listeners.Response(
            content_type=EVENT_STREAM,
            headers={'Cache-Control': 'no-store'},
            chunks=delivery.ResponseStream(events, finish, answer.tokens),
        )

    @staticmethod
    def _whole_response(request, answer, finish):
        body = answer.whole(request.id)

        def chunks():
            yield body

        return listeners.Response(
            headers={'Content-Length': str(len(body))},
            chunks=delivery.ResponseStream(chunks(), finish, answer.tokens),
        )

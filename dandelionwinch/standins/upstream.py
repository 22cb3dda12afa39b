"""A stand-in of a model engine with an OpenAI-compatible API."""

import json
import threading
import time

from dandelionwinch.standins import engine
from dandelionwinch.standins import http_server
from dandelionwinch import utils

STALL_S = 30.0
CHUNKS_BEFORE_STALL = 3


class UpstreamServer(http_server.HttpStandIn):
    """Serves a simulated engine over HTTP.

    Attributes:
        engine: The Engine, which also counts what happened.
        streams_to_stall: Number of next streams that stop after a few
            chunks without an end.
    """

    __slots__ = ('_closing', 'engine', 'streams_to_stall')

    def __init__(self, cfg, model, listen='127.0.0.1:0', role_change_s=2.0):
        self.engine = engine.Engine(cfg, model, role_change_s)
        self.streams_to_stall = 0
        self._closing = threading.Event()
        super().__init__(listen)

    def close(self):
        """Stops the server and ends stalled streams."""
        self._closing.set()
        super().close()

    def _handle(self, req):
        if not self.engine.alive:
            raise http_server.DropConnection
        match (req.method, req.path):
            case ('POST', '/v1/completions' | '/v1/chat/completions'):
                return self._complete(req)
            case ('POST', '/v1/cancel'):
                self.engine.cancel(req.json()['request_id'])
                return http_server.Reply(body={})
            case ('GET', '/load'):
                return http_server.Reply(body=self._load())
            case ('POST', '/role'):
                return self._order(req.json())
        return http_server.Reply(404, {'error': f'no path "{req.path}"'})

    def _load(self):
        now = time.monotonic()
        running = self.engine.running(now)
        waiting = [item for item in running if item.ready_at > now]
        order_id = self.engine.order[0] if self.engine.order else ''
        return {
            'running': len(running) - len(waiting),
            'waiting': len(waiting),
            'waiting_tokens': self.engine.waiting_tokens(now),
            'kv_tokens': sum(item.tokens for item in running),
            'role': self.engine.role,
            'epoch': self.engine.epoch,
            'order_id': order_id,
            'away': now < self.engine.role_change_until,
            'boot': self.engine.boot,
        }

    def _order(self, body):
        accepted = self.engine.apply_order(
            body['order_id'], body['epoch'], body['role'], time.monotonic()
        )
        if not accepted:
            return http_server.Reply(409, {'error': 'epoch is old'})
        return http_server.Reply(202, {'order_id': body['order_id']})

    def _complete(self, req):
        body = req.json()
        if body.get('model') != self.engine.model:
            return http_server.Reply(404, {'error': 'no such model'})
        now = time.monotonic()
        job = _parse_job(req, body)
        if job.resume_from and not self.engine.can_resume(job.id):
            return http_server.Reply(410, {'error': 'the answer is gone'})
        generation = self.engine.start(
            job.id, job.prompt, job.tokens, job.first, job.prefill_tokens, now
        )
        if generation is None:
            return http_server.Reply(503, {'error': 'upstream takes no work'})
        if job.exports_kv:
            self._wait_until(generation, generation.ready_at)
            self.engine.cancel(generation.job)
            return http_server.Reply(
                body={'kv_transfer_params': {'id': job.id}}
            )
        if body.get('stream'):
            chunks = self._stream(generation, job)
            return http_server.Reply(
                chunks=chunks, content_type='text/event-stream'
            )
        self._wait_until(generation, generation.ends_at())
        text = engine.answer_of(
            generation.prompt, generation.first, generation.tokens
        )
        return http_server.Reply(
            body=_full_response(
                text, generation.tokens - generation.first, job
            )
        )

    def _wait_until(self, generation, moment):
        wait_s = moment - time.monotonic()
        if wait_s > 0:
            time.sleep(wait_s)
        if not self.engine.alive or not self.engine.is_current(generation):
            raise http_server.DropConnection

    def _stream(self, generation, job):
        stalls = self.streams_to_stall > 0
        if stalls:
            self.streams_to_stall -= 1
        for index in range(
            generation.first + job.resume_from, generation.tokens
        ):
            self._wait_until(generation, generation.token_at(index))
            offset = index - generation.first
            if stalls and offset == job.resume_from + CHUNKS_BEFORE_STALL:
                self._closing.wait(STALL_S)
                return
            word = engine.word_at(generation.prompt, index)
            yield _event(offset, _choice(word, None, job))
        finish = _choice('', 'length', job)
        yield _event(generation.tokens - generation.first, finish)
        yield b'data: [DONE]\n\n'


class _Job:
    """A parsed completion request.

    A token has an index in the whole answer, and an offset, the index less
    `first`, which is the id of its event.

    Attributes:
        chat: Whether it is a chat completion.
        exports_kv: Whether only the prefill is run and its KV cache exported.
        first: Index of the first token to generate: the tokens of the
            partial answer of a chat, or of the whole prompt of a text.
        id: Request id.
        prefill_tokens: Prompt tokens to prefill.
        prompt: Text that determines the answer.
        resume_from: Offset from which a broken stream is resumed: the
            number of chunks that the client has received.
        tokens: Length of the whole answer, with `first`.
    """

    __slots__ = (
        'chat',
        'exports_kv',
        'first',
        'id',
        'prefill_tokens',
        'prompt',
        'resume_from',
        'tokens',
    )


def _parse_job(req, body):
    job = _Job()
    job.id = req.header('X-Request-Id') or str(time.monotonic_ns())
    job.chat = req.path.endswith('/chat/completions')
    job.tokens = int(body.get('max_tokens', 16))
    kv_transfer = body.get('kv_transfer_params') or {}
    job.exports_kv = bool(kv_transfer.get('do_remote_decode'))
    partial = ''
    if job.chat:
        messages = list(body['messages'])
        if body.get('continue_final_message'):
            partial = messages.pop()['content']
        job.prompt = json.dumps(messages, sort_keys=True)
        job.prefill_tokens = utils.estimate_tokens(job.prompt)
        job.first = utils.estimate_tokens(partial)
    else:
        # A client continues a text by appending the partial answer to the
        # prompt, and the two can't be told apart. The answer is therefore
        # determined by the first word, and its index starts at the number
        # of tokens in the prompt, a partial answer included.
        job.prompt = body['prompt'].split()[0]
        job.prefill_tokens = utils.estimate_tokens(body['prompt'])
        job.first = job.prefill_tokens
    job.tokens += job.first
    if kv_transfer.get('do_remote_prefill'):
        job.prefill_tokens = 0
    last_event_id = req.header('Last-Event-Id')
    job.resume_from = int(last_event_id) + 1 if last_event_id else 0
    return job


def _choice(word, reason, job):
    if job.chat:
        return {
            'index': 0,
            'delta': {'content': word},
            'finish_reason': reason,
        }
    return {'index': 0, 'text': word, 'finish_reason': reason}


def _event(index, choice):
    data = json.dumps({'choices': [choice]})
    return f'id: {index}\ndata: {data}\n\n'.encode()


def _full_response(text, tokens, job):
    usage = {'prompt_tokens': job.prefill_tokens, 'completion_tokens': tokens}
    if job.chat:
        message = {'role': 'assistant', 'content': text}
        choice = {'index': 0, 'message': message, 'finish_reason': 'length'}
    else:
        choice = {'index': 0, 'text': text, 'finish_reason': 'length'}
    return {'choices': [choice], 'usage': usage}

"""A stand-in of a model engine with an OpenAI-style interface."""

import json
import threading
import time

from dandelionwinch.standins import engine
from dandelionwinch.standins import http_server
from dandelionwinch import utils

SILENCE_S = 30.0
SILENT_AFTER = 3


class UpstreamServer(http_server.HttpStandIn):
    """Serves one engine.

    Attributes:
        engine: The engine model, with what it recorded.
        silent_streams: Streams that are yet to fall silent for good.
    """

    __slots__ = ('_closing', 'engine', 'streams_to_stall')

    def __init__(self, cfg, model, listen='127.0.0.1:0', role_change_s=2.0):
        self.engine = engine.Engine(cfg, model, role_change_s)
        self.streams_to_stall = 0
        self._closing = threading.Event()
        super().__init__(listen)

    def close(self):
        """Stops serving."""
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
        taken = self.engine.apply_order(
            body['order_id'], body['epoch'], body['role'], time.monotonic()
        )
        if not taken:
            return http_server.Reply(409, {'error': 'epoch is old'})
        return http_server.Reply(202, {'order_id': body['order_id']})

    def _complete(self, req):
        body = req.json()
        if body.get('model') != self.engine.model:
            return http_server.Reply(404, {'error': 'no such model'})
        now = time.monotonic()
        job = _job_of(req, body)
        if job.resumes and not self.engine.has(job.id):
            return http_server.Reply(410, {'error': 'the answer is gone'})
        made = self.engine.begin(
            job.id, job.prompt, job.tokens, job.first, job.prefill, now
        )
        if made is None:
            return http_server.Reply(503, {'error': 'upstream takes no work'})
        if job.exports:
            self._wait_until(made, made.ready_at)
            self.engine.cancel(made.job)
            return http_server.Reply(
                body={'kv_transfer_params': {'id': job.id}}
            )
        if body.get('stream'):
            chunks = self._stream(made, job)
            return http_server.Reply(
                chunks=chunks, content_type='text/event-stream'
            )
        self._wait_until(made, made.ends_at())
        text = engine.answer_of(made.prompt, made.first, made.tokens)
        return http_server.Reply(
            body=_whole(text, made.tokens - made.first, job)
        )

    def _wait_until(self, made, moment):
        wait_s = moment - time.monotonic()
        if wait_s > 0:
            time.sleep(wait_s)
        if not self.engine.alive or not self.engine.holds(made):
            raise http_server.DropConnection

    def _stream(self, made, job):
        silent = self.streams_to_stall > 0
        if silent:
            self.streams_to_stall -= 1
        for index in range(made.first + job.resumes, made.tokens):
            self._wait_until(made, made.at(index))
            offset = index - made.first
            if silent and offset == job.resumes + SILENT_AFTER:
                self._closing.wait(SILENCE_S)
                return
            word = engine.word_at(made.prompt, index)
            yield _event(offset, _choice(word, None, job))
        finish = _choice('', 'length', job)
        yield _event(made.tokens - made.first, finish)
        yield b'data: [DONE]\n\n'


class _Job:
    """What a request asks of the engine."""

    __slots__ = (
        'chat',
        'exports',
        'first',
        'id',
        'prefill',
        'prompt',
        'resumes',
        'tokens',
    )


def _job_of(req, body):
    job = _Job()
    job.id = req.header('X-Request-Id') or str(time.monotonic_ns())
    job.chat = req.path.endswith('/chat/completions')
    job.tokens = int(body.get('max_tokens', 16))
    transfer = body.get('kv_transfer_params') or {}
    job.exports = bool(transfer.get('do_remote_decode'))
    partial = ''
    if job.chat:
        messages = list(body['messages'])
        if body.get('continue_final_message'):
            partial = messages.pop()['content']
        job.prompt = json.dumps(messages, sort_keys=True)
        job.prefill = utils.estimate_tokens(job.prompt)
        job.first = utils.estimate_tokens(partial)
    else:
        # A continued text looks like any prompt: the answer depends on
        # the first word and on the number of words so far.
        job.prompt = body['prompt'].split()[0]
        job.prefill = utils.estimate_tokens(body['prompt'])
        job.first = job.prefill
    job.tokens += job.first
    if transfer.get('do_remote_prefill'):
        job.prefill = 0
    seen = req.header('Last-Event-Id')
    job.resumes = int(seen) + 1 if seen else 0
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


def _whole(text, tokens, job):
    usage = {'prompt_tokens': job.prefill, 'completion_tokens': tokens}
    if job.chat:
        message = {'role': 'assistant', 'content': text}
        choice = {'index': 0, 'message': message, 'finish_reason': 'length'}
    else:
        choice = {'index': 0, 'text': text, 'finish_reason': 'length'}
    return {'choices': [choice], 'usage': usage}

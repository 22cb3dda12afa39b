"""Clients of the demo, which check each answer."""

import json
import random
import threading
import time
import uuid

import attrs
import urllib3

from dandelionwinch.standins import engine

JOB_TIMEOUT_S = 20.0
# First retry delay, and longest pause between two jobs of a client.
PAUSE_S = 0.05
MAX_RETRY_DELAY_S = 1.0
READ_TIMEOUT_S = 15.0


@attrs.frozen
class Mix:
    """The mix of prompt and output lengths during a phase.

    Attributes:
        prompt_words: Mean length of prompts in words.
        output_tokens: Mean length of answers in tokens.
    """

    prompt_words: int
    output_tokens: int


@attrs.frozen
class DeploymentNames:
    """Names of a deployment's model, services and teams."""

    model: str
    lookup_service: str
    charge_service: str
    teams: tuple


@attrs.define
class JobOutcome:
    """The outcome of one job as its client saw it.

    Attributes:
        kind: ``chat``, ``summary``, ``lookup`` or ``charge``.
        key: Idempotency key, '' without one.
        state: ``whole``, ``refused``, ``unknown`` or ``wrong``.
        code: Error code of the last refusal.
        lost: Number of connections that ended without an answer.
        not_run: Ids of the requests that were refused as not run.
        started: Monotonic time of the first attempt.
        duration_s: Duration of the last attempt with status 200.
    """

    kind: str
    key: str = ''
    state: str = ''
    code: str = ''
    tokens: int = 0
    refusals: int = 0
    lost: int = 0
    not_run: list = attrs.field(factory=list)
    started: float = 0.0
    duration_s: float = 0.0


class Client:
    """A client that resolves an instance's address and caches it."""

    def __init__(self, number, fleet, names, data_centre, mix):
        self._rng = random.Random(number)
        self._fleet = fleet
        self._names = names
        self._data_centre = data_centre
        self.mix = mix
        self._team = names.teams[number % len(names.teams)]
        self._http = urllib3.PoolManager(retries=False, maxsize=2)
        self._address = ''
        self._fallback = ''
        self._valid_until = 0.0
        self.outcomes = []

    def run(self, stop_requested):
        """Sends jobs until the event is set; finishes the last one."""
        while not stop_requested.is_set():
            kind = self._rng.choices(
                ('chat', 'summary', 'lookup', 'charge'), (3, 1, 3, 2)
            )[0]
            self.outcomes.append(self._run_job(kind))
            time.sleep(PAUSE_S * self._rng.random())

    def _run_job(self, kind):
        outcome = JobOutcome(kind, started=time.monotonic())
        if kind == 'charge':
            outcome.key = f'charge-{uuid.UUID(int=self._rng.getrandbits(128))}'
        request = self._request(kind, outcome.key)
        deadline = time.monotonic() + JOB_TIMEOUT_S
        delay_s = PAUSE_S
        while time.monotonic() < deadline:
            if self._attempt(kind, request, outcome):
                return outcome
            time.sleep(delay_s)
            delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
        outcome.state = outcome.state or 'unknown'
        return outcome

    def _request(self, kind, key):
        headers = {'X-Team': self._team}
        if kind == 'lookup':
            path = f'/v1/services/{self._names.lookup_service}/trail'
            return path, headers, b'{}'
        if kind == 'charge':
            headers['Idempotency-Key'] = key
            path = f'/v1/services/{self._names.charge_service}/charge'
            return path, headers, b'{"amount": 20}'
        words = self._vary(self.mix.prompt_words)
        prompt = ' '.join(
            f'w{self._rng.randrange(10**6)}' for _ in range(words)
        )
        tokens = self._vary(self.mix.output_tokens)
        body = {
            'model': self._names.model,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': prompt}],
            'stream': kind == 'chat',
        }
        return '/v1/chat/completions', headers, json.dumps(body).encode()

    def _vary(self, mean):
        return max(2, int(mean * self._rng.uniform(0.5, 1.5)))

    def _resolve(self):
        now = time.monotonic()
        if self._address and now < self._valid_until:
            return self._address
        for address in self._directories():
            url = (
                f'http://{address}/v1/address?data_centre={self._data_centre}'
            )
            try:
                reply = self._http.request(
                    'GET', url, headers={'X-Team': self._team}, timeout=2
                )
                answer = reply.json()
            except (urllib3.exceptions.HTTPError, ValueError):
                continue
            if reply.status == 200:
                self._address = answer['address']
                self._fallback = answer['fallback']
                self._valid_until = now + answer['valid_s']
                return self._address
        return self._fallback or self._address

    def _directories(self):
        addresses = [i.cfg.client_address for i in self._fleet.instances]
        self._rng.shuffle(addresses)
        return [a for a in (self._address, self._fallback) if a] + addresses

    def _attempt(self, kind, request, outcome):
        path, headers, body = request
        address = self._resolve()
        started = time.monotonic()
        try:
            reply = self._http.request(
                'POST',
                f'http://{address}{path}',
                body=body,
                headers={'Content-Type': 'application/json', **headers},
                timeout=urllib3.Timeout(connect=1, read=READ_TIMEOUT_S),
                preload_content=False,
            )
            if reply.status != 200:
                return self._record_refusal(reply, outcome)
            data = reply.read()
        except urllib3.exceptions.HTTPError:
            outcome.lost += 1
            self._valid_until = 0.0
            self._address = self._fallback
            return False
        outcome.duration_s = time.monotonic() - started
        return self._check_answer(kind, json.loads(body), data, outcome)

    def _record_refusal(self, reply, outcome):
        error = json.loads(reply.read()).get('error', {})
        outcome.refusals += 1
        outcome.code = error.get('code', '')
        self._valid_until = 0.0
        if error.get('truth') == 'not run':
            outcome.state = 'refused'
            outcome.not_run.append(error.get('request_id', ''))
        else:
            outcome.state = 'unknown'
        return False

    def _check_answer(self, kind, body, data, outcome):
        if kind in ('lookup', 'charge'):
            is_whole = json.loads(data).get('ok') is True
            outcome.state = 'whole' if is_whole else 'wrong'
            return True
        text = _stream_text(data) if kind == 'chat' else _body_text(data)
        if text is None:
            # The stream ended with an error, which is not a wrong answer.
            outcome.state = 'unknown'
            return False
        prompt = json.dumps(body['messages'], sort_keys=True)
        expected = engine.answer_of(prompt, 0, body['max_tokens'])
        outcome.state = 'whole' if text == expected else 'wrong'
        outcome.tokens = body['max_tokens']
        return True


def _stream_text(data):
    """Returns the text of a stream, or None if it is incomplete."""
    pieces = []
    for line in data.decode().splitlines():
        value = line.removeprefix('data: ')
        if value == '[DONE]':
            return ''.join(pieces)
        if value.startswith('{'):
            event = json.loads(value)
            if 'error' in event:
                return None
            delta = event['choices'][0].get('delta', {})
            pieces.append(delta.get('content') or '')
    return None


def _body_text(data):
    return json.loads(data)['choices'][0]['message']['content']


class Clients:
    """All clients of the demo, each in a thread."""

    def __init__(self, count, fleet, names, data_centres, mix):
        self._stop_requested = threading.Event()
        self._clients = [
            Client(
                number,
                fleet,
                names,
                data_centres[number % len(data_centres)],
                mix,
            )
            for number in range(count)
        ]
        self._threads = [
            threading.Thread(target=client.run, args=(self._stop_requested,))
            for client in self._clients
        ]

    def start(self):
        """Starts all clients."""
        for thread in self._threads:
            thread.start()

    def change_mix(self, mix):
        """Changes the mix of all clients."""
        for client in self._clients:
            client.mix = mix

    def stop(self):
        """Stops all clients, each after its last job."""
        self._stop_requested.set()
        for thread in self._threads:
            thread.join()

    def outcomes(self):
        """Returns the JobOutcomes of all finished jobs."""
        return [item for client in self._clients for item in client.outcomes]

"""Clients of the demo, who check each answer for themselves."""

import json
import random
import threading
import time
import uuid

import attrs
import urllib3

from dandelionwinch.standins import engine

PATIENCE_S = 20.0
PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
READ_TIMEOUT_S = 15.0


@attrs.frozen
class Mix:
    """What clients ask for during a phase.

    Attributes:
        prompt_words: Length of prompts.
        output_tokens: Length of answers.
    """

    prompt_words: int
    output_tokens: int


@attrs.frozen
class Names:
    """Names of a house's model and services."""

    model: str
    lookup: str
    once: str
    teams: tuple


@attrs.define
class Outcome:
    """What a client saw of one job.

    Attributes:
        kind: ``chat``, ``summary``, ``lookup`` or ``charge``.
        state: ``whole``, ``refused``, ``unknown`` or ``wrong``.
        request_ids: Requests that were told "not run".
        lost: Connections that ended without an answer.
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
    first_s: float = 0.0


class Client:
    """One client, who asks for an address and keeps it for a while."""

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

    def run(self, stopped):
        """Sends jobs until told to stop; finishes the last one."""
        while not stopped.is_set():
            kind = self._rng.choices(
                ('chat', 'summary', 'lookup', 'charge'), (3, 1, 3, 2)
            )[0]
            self.outcomes.append(self._job(kind))
            time.sleep(PAUSE_S * self._rng.random())

    def _job(self, kind):
        outcome = Outcome(kind, started=time.monotonic())
        if kind == 'charge':
            outcome.key = f'charge-{uuid.UUID(int=self._rng.getrandbits(128))}'
        request = self._request(kind, outcome.key)
        limit = time.monotonic() + PATIENCE_S
        pause_s = PAUSE_S
        while time.monotonic() < limit:
            if self._attempt(kind, request, outcome):
                return outcome
            time.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)
        outcome.state = outcome.state or 'unknown'
        return outcome

    def _request(self, kind, key):
        headers = {'X-Team': self._team}
        if kind == 'lookup':
            path = f'/v1/services/{self._names.lookup}/trail'
            return path, headers, b'{}'
        if kind == 'charge':
            headers['Idempotency-Key'] = key
            path = f'/v1/services/{self._names.once}/charge'
            return path, headers, b'{"amount": 20}'
        words = self._around(self.mix.prompt_words)
        prompt = ' '.join(
            f'w{self._rng.randrange(10**6)}' for _ in range(words)
        )
        tokens = self._around(self.mix.output_tokens)
        body = {
            'model': self._names.model,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': prompt}],
            'stream': kind == 'chat',
        }
        return '/v1/chat/completions', headers, json.dumps(body).encode()

    def _around(self, mean):
        return max(2, int(mean * self._rng.uniform(0.5, 1.5)))

    def _where(self):
        now = time.monotonic()
        if self._address and now < self._valid_until:
            return self._address
        for address in self._askable():
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

    def _askable(self):
        known = [i.cfg.client_address for i in self._fleet.instances]
        self._rng.shuffle(known)
        return [a for a in (self._address, self._fallback) if a] + known

    def _attempt(self, kind, request, outcome):
        path, headers, body = request
        address = self._where()
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
                return self._refused(reply, outcome)
            data = reply.read()
        except urllib3.exceptions.HTTPError:
            outcome.lost += 1
            self._valid_until = 0.0
            self._address = self._fallback
            return False
        outcome.first_s = time.monotonic() - started
        return self._judge(kind, json.loads(body), data, outcome)

    def _refused(self, reply, outcome):
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

    def _judge(self, kind, body, data, outcome):
        if kind in ('lookup', 'charge'):
            whole = json.loads(data).get('ok') is True
            outcome.state = 'whole' if whole else 'wrong'
            return True
        text = _stream_text(data) if kind == 'chat' else _body_text(data)
        if text is None:
            # The stream ended with an error, so nothing false was said.
            outcome.state = 'unknown'
            return False
        prompt = json.dumps(body['messages'], sort_keys=True)
        wanted = engine.answer_of(prompt, 0, body['max_tokens'])
        outcome.state = 'whole' if text == wanted else 'wrong'
        outcome.tokens = body['max_tokens']
        return True


def _stream_text(data):
    """Returns the text of a stream, or None if it did not end whole."""
    parts = []
    for line in data.decode().splitlines():
        value = line.removeprefix('data: ')
        if value == '[DONE]':
            return ''.join(parts)
        if value.startswith('{'):
            event = json.loads(value)
            if 'error' in event:
                return None
            delta = event['choices'][0].get('delta', {})
            parts.append(delta.get('content') or '')
    return None


def _body_text(data):
    return json.loads(data)['choices'][0]['message']['content']


class Clients:
    """All clients of the demo, each in a thread."""

    def __init__(self, count, fleet, names, data_centres, mix):
        self._stopped = threading.Event()
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
            threading.Thread(target=client.run, args=(self._stopped,))
            for client in self._clients
        ]

    def start(self):
        """Starts to send jobs."""
        for thread in self._threads:
            thread.start()

    def change_mix(self, mix):
        """Changes what all clients ask for."""
        for client in self._clients:
            client.mix = mix

    def stop(self):
        """Lets each client finish its last job."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def outcomes(self):
        """Returns all outcomes so far."""
        return [item for client in self._clients for item in client.outcomes]

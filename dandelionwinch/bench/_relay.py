"""Compares streams through an entry instance with direct ones."""

import json
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

import attrs
import urllib3
import yaml

from dandelionwinch import utils

STREAMS = (1, 16, 64, 128)
OUTPUT_TOKENS = 50
READY_TIMEOUT_S = 20.0
MODEL = 'counter-lm'
DECODE_TOKENS_PER_S = 2000.0
_CLOCK_TICKS_PER_S = 100.0


@attrs.define
class _ClientStats:
    """The figures of the clients of one run."""

    requests: int = 0
    failed: int = 0
    tokens: int = 0
    first_tokens_s: list = attrs.field(factory=list)
    gaps_s: list = attrs.field(factory=list)
    lock: object = attrs.field(factory=threading.Lock)

    def add(self, first_token_s, gaps_s):
        """Records a complete answer."""
        with self.lock:
            self.requests += 1
            self.tokens += len(gaps_s) + 1
            self.first_tokens_s.append(first_token_s)
            self.gaps_s.extend(gaps_s)

    def fail(self):
        """Records a request without a complete answer."""
        with self.lock:
            self.failed += 1


def measure(seconds, seed):
    """Returns a row for each number of streams.

    Each row compares the same load, sent first to the stand-in upstream
    directly and then through an entry instance, and has the processor time
    and the memory of the instance.
    """
    harness = _Harness()
    try:
        harness.start()
        return [_row(harness, count, seconds, seed) for count in STREAMS]
    finally:
        harness.close()


def _row(harness, streams, seconds, seed):
    direct = _run(harness.upstream, streams, seconds, seed)
    before = harness.cpu_s()
    relayed = _run(harness.client, streams, seconds, seed)
    cpu_used_s = harness.cpu_s() - before
    return {
        'streams': streams,
        'straight_requests_per_s': round(direct.requests / seconds, 1),
        'through_requests_per_s': round(relayed.requests / seconds, 1),
        'requests_ratio': _ratio(relayed.requests, direct.requests),
        'failed': relayed.failed + direct.failed,
        'straight_first_ms': _mean_ms(direct.first_tokens_s),
        'through_first_ms': _mean_ms(relayed.first_tokens_s),
        'straight_gap_ms': _mean_ms(direct.gaps_s),
        'through_gap_ms': _mean_ms(relayed.gaps_s),
        'through_gap_p95_ms': round(
            1000 * utils.percentile(relayed.gaps_s, 0.95), 2
        ),
        'us_per_token': round(1e6 * cpu_used_s / max(1, relayed.tokens), 1),
        'resident_mb': round(harness.resident_mb(), 1),
        'seed': seed,
    }


def _ratio(value, base):
    return round(value / base, 3) if base else None


def _mean_ms(values):
    return round(1000 * sum(values) / max(1, len(values)), 2)


def _run(address, streams, seconds, seed):
    stats = _ClientStats()
    end = time.monotonic() + seconds
    threads = [
        threading.Thread(
            target=_client, args=(address, stats, end, seed * 1000 + n)
        )
        for n in range(streams)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return stats


def _client(address, stats, end, seed):
    rng = random.Random(seed)
    http = urllib3.PoolManager(retries=False)
    while time.monotonic() < end:
        prompt = ' '.join(f'w{rng.randrange(10**6)}' for _ in range(20))
        try:
            _stream(http, address, prompt, stats)
        except (urllib3.exceptions.HTTPError, ValueError):
            stats.fail()


def _stream(http, address, prompt, stats):
    body = {
        'model': MODEL,
        'prompt': prompt,
        'max_tokens': OUTPUT_TOKENS,
        'stream': True,
    }
    started = time.monotonic()
    reply = http.request(
        'POST',
        f'http://{address}/v1/completions',
        body=json.dumps(body),
        headers={'Content-Type': 'application/json'},
        preload_content=False,
        timeout=30,
    )
    token_times = []
    done = False
    for data in reply.read_chunked():
        token_times += [time.monotonic()] * data.count(b'"choices"')
        done = done or b'[DONE]' in data
    reply.release_conn()
    if not done or reply.status != 200:
        stats.fail()
        return
    gaps_s = [
        b - a for a, b in zip(token_times, token_times[1:], strict=False)
    ]
    stats.add(token_times[0] - started, gaps_s)


class _Harness:
    """Processes of an upstream, a store, a live list and an instance."""

    def __init__(self):
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='relay-'))
        self._processes = []
        ports = [f'127.0.0.1:{port}' for port in utils.free_ports(6)]
        self.upstream, self.client, self._peer, self._operator = ports[:4]
        self._store, self._list = ports[4:]
        self._entry = None

    def start(self):
        """Starts all processes and waits until the instance is ready."""
        catalog = {
            'data_centres': [{'name': 'here', 'region': 'here'}],
            'models': [{'name': MODEL}],
            'pools': [{'name': 'lm', 'data_centre': 'here', 'model': MODEL}],
            'upstreams': [
                {
                    'name': 'lm-1',
                    'pool': 'lm',
                    'address': self.upstream,
                    'max_batch': 4096,
                    'kv_tokens': 10**9,
                    'decode_tokens_per_s': 1e6,
                }
            ],
            'teams': [
                {'name': 'default', 'jobs_per_s': 1e6, 'burst_jobs': 10**6}
            ],
        }
        entry = {
            'instance': {
                'name': 'bench-1',
                'data_centre': 'here',
                'region': 'here',
                'client_address': self.client,
                'peer_address': self._peer,
                'operator_address': self._operator,
            },
            'store': {'endpoints': [self._store]},
            'live_list': {'address': self._list},
            'relay': {'threads': 160, 'max_jobs': 150},
            'catalog_file': str(self._folder / 'catalog.yaml'),
            'log': {'level': 'WARNING'},
        }
        self._write('catalog.yaml', catalog)
        path = self._write('entry.yaml', entry)
        self._spawn('stand-in', 'store', '--listen', self._store)
        self._spawn('stand-in', 'live-list', '--listen', self._list)
        rate = str(DECODE_TOKENS_PER_S)
        self._spawn(
            'stand-in',
            'upstream',
            '--listen',
            self.upstream,
            '--decode-tokens-per-s',
            rate,
        )
        self._entry = self._spawn('entry', '--settings', str(path))
        self._wait_until_ready()

    def _write(self, name, value):
        path = self._folder / name
        path.write_text(yaml.safe_dump(value))
        return path

    def _spawn(self, *arguments):
        process = subprocess.Popen(
            [sys.executable, '-m', 'dandelionwinch', *arguments],
            stdout=subprocess.DEVNULL,
        )
        self._processes.append(process)
        return process

    def _wait_until_ready(self):
        limit = time.monotonic() + READY_TIMEOUT_S
        http = urllib3.PoolManager(retries=False)
        while time.monotonic() < limit:
            try:
                url = f'http://{self.client}/readyz'
                if http.request('GET', url, timeout=1).status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.1)
        raise TimeoutError(f'instance at "{self.client}" is not ready')

    def cpu_s(self):
        """Returns the processor time that the instance has used."""
        path = pathlib.Path(f'/proc/{self._entry.pid}/stat')
        fields = path.read_text().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S

    def resident_mb(self):
        """Returns the resident memory of the instance."""
        path = pathlib.Path(f'/proc/{self._entry.pid}/status')
        for line in path.read_text().splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0

    def close(self):
        """Ends the processes that this object started."""
        for process in reversed(self._processes):
            process.send_signal(signal.SIGTERM)
        for process in self._processes:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        shutil.rmtree(self._folder)

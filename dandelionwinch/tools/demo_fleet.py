"""The world of the demo: stand-ins here, instances as processes."""

import json
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import attrs
import cattrs
import urllib3
import yaml

from dandelionwinch import readers
from dandelionwinch import settings
from dandelionwinch.standins import livelist
from dandelionwinch.standins import service
from dandelionwinch.standins import store
from dandelionwinch.standins import upstream
from dandelionwinch import utils

INSTANCES_PER_DATA_CENTRE = 2
READY_TIMEOUT_S = 30.0
LOG_LINES = 20
READY_STEP_S = 0.1
STOP_TIMEOUT_S = 30.0
ROLE_CHANGE_S = 2.0


@attrs.define
class Instance:
    """One entry process of the demo."""

    cfg: settings.InstanceSettings
    path: pathlib.Path
    process: subprocess.Popen | None = None

    @property
    def alive(self):
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None


class Fleet:
    """Stand-ins of one house and its entry instances.

    Args:
        catalog_path: The house's catalog under examples/.
    """

    def __init__(self, catalog_path):
        self.catalog = readers.read_catalog(catalog_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='dandelionwinch-'))
        self.store = store.StoreServer()
        self.live_list = livelist.LiveListServer()
        self.upstreams = {}
        self.services = {}
        self.journal = service.Journal()
        self.instances = []
        self.http = urllib3.PoolManager(retries=False, maxsize=64)

    def start(self):
        """Starts stand-ins and instances, and waits until all serve."""
        self.store.start()
        self.live_list.start()
        for item in self.catalog.all('upstream'):
            self._start_upstream(item)
        path = self._write_catalog()
        for data_centre in self.catalog.all('data_centre'):
            for number in range(INSTANCES_PER_DATA_CENTRE):
                self.instances.append(self._prepare(data_centre, number, path))
        for instance in self.instances:
            self._spawn(instance)
        self._await_ready()

    def _start_upstream(self, item):
        pool = self.catalog.get('pool', item.pool)
        if item.role is settings.Role.SERVICE:
            server = service.ServiceServer(item.pool, self.journal)
            self.services[item.name] = server
        else:
            server = upstream.UpstreamServer(
                item, pool.model, role_change_s=ROLE_CHANGE_S
            )
            self.upstreams[item.name] = server
        server.start()

    def _write_catalog(self):
        addresses = {
            name: server.address
            for name, server in (self.upstreams | self.services).items()
        }
        lists = {}
        for path, bare in self.catalog.docs.items():
            kind, _, name = path.partition('/')
            if kind == 'upstream':
                bare = {**bare, 'address': addresses[name]}
            plural = f'{kind}s' if kind != 'policy' else 'policies'
            lists.setdefault(plural, []).append(bare)
        path = self.folder / 'catalog.yaml'
        path.write_text(yaml.safe_dump(lists))
        return path

    def _prepare(self, data_centre, number, catalog_path):
        addresses = [f'127.0.0.1:{port}' for port in utils.free_ports(3)]
        cfg = settings.InstanceSettings(
            name=f'{data_centre.name.lower()}-{number + 1}',
            data_centre=data_centre.name,
            region=data_centre.region,
            client_address=addresses[0],
            peer_address=addresses[1],
            operator_address=addresses[2],
        )
        whole = settings.EntrySettings(
            instance=cfg,
            store=settings.StoreSettings(endpoints=[self.store.address]),
            live_list=settings.LiveListSettings(
                address=self.live_list.address, poll_s=0.5
            ),
            catalog_file=str(catalog_path),
        )
        path = self.folder / f'{cfg.name}.yaml'
        plain = json.loads(json.dumps(cattrs.unstructure(whole)))
        path.write_text(yaml.safe_dump(plain))
        return Instance(cfg, path)

    def _spawn(self, instance):
        self.live_list.add(instance.cfg)
        out = (self.folder / f'{instance.cfg.name}.log').open('ab')
        instance.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'dandelionwinch',
                'entry',
                '--settings',
                str(instance.path),
            ],
            stdout=out,
            stderr=out,
        )
        out.close()

    def _await_ready(self):
        limit = time.monotonic() + READY_TIMEOUT_S
        waiting = list(self.instances)
        while waiting:
            waiting = [i for i in waiting if not self.is_ready(i)]
            if time.monotonic() > limit:
                logs = '\n'.join(self._last_lines(i) for i in waiting)
                raise TimeoutError(f'instances not ready:\n{logs}')
            time.sleep(READY_STEP_S)

    def _last_lines(self, instance):
        path = self.folder / f'{instance.cfg.name}.log'
        lines = path.read_text(errors='replace').splitlines()
        return '\n'.join([instance.cfg.name, *lines[-LOG_LINES:]])

    def is_ready(self, instance):
        """Tells whether an instance takes new work."""
        try:
            url = f'http://{instance.cfg.client_address}/readyz'
            return self.http.request('GET', url, timeout=1).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def revision_of(self, instance):
        """Returns the configuration revision in force, or None."""
        url = f'http://{instance.cfg.client_address}/metrics'
        try:
            text = self.http.request('GET', url, timeout=1).data.decode()
        except urllib3.exceptions.HTTPError:
            return None
        for line in text.splitlines():
            if line.startswith('dandelionwinch_settings_revision '):
                return int(float(line.split()[1]))
        return None

    def kill(self, instance):
        """Ends an instance without goodbye; its line stays a while."""
        instance.process.kill()
        instance.process.wait()

    def stop(self, instance):
        """Asks an instance to stop as planned."""
        self.live_list.add(instance.cfg, leaving=True)
        instance.process.send_signal(signal.SIGTERM)

    def close(self):
        """Stops all instances and stand-ins that this object started."""
        for instance in self.instances:
            if instance.alive:
                instance.process.send_signal(signal.SIGTERM)
        limit = time.monotonic() + STOP_TIMEOUT_S
        for instance in self.instances:
            if instance.process is None:
                continue
            try:
                left_s = max(0.1, limit - time.monotonic())
                instance.process.wait(left_s)
            except subprocess.TimeoutExpired:
                instance.process.kill()
                instance.process.wait()
        servers = [*self.upstreams.values(), *self.services.values()]
        for server in (*servers, self.live_list, self.store):
            server.close()

    def cleanup(self):
        """Removes the settings and logs."""
        shutil.rmtree(self.folder)

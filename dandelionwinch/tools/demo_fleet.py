"""The fleet of the demo: stand-ins in this process, instances in others."""

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
LOG_TAIL_LINES = 20
READY_POLL_INTERVAL_S = 0.1
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
    """The stand-ins and entry instances of one deployment.

    Args:
        catalog_path: The deployment's catalog under examples/.

    Attributes:
        folder: Temporary folder of the settings and logs.
        upstreams: Engine stand-ins by upstream name.
        services: Service stand-ins by upstream name.
        journal: The executions of all service stand-ins.
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
        """Starts stand-ins and instances, and waits until all are ready."""
        self.store.start()
        self.live_list.start()
        for upstream_cfg in self.catalog.all('upstream'):
            self._start_upstream(upstream_cfg)
        path = self._write_catalog()
        for data_centre in self.catalog.all('data_centre'):
            for number in range(INSTANCES_PER_DATA_CENTRE):
                self.instances.append(
                    self._configure_instance(data_centre, number, path)
                )
        for instance in self.instances:
            self._start_process(instance)
        self._wait_until_ready()

    def _start_upstream(self, upstream_cfg):
        pool = self.catalog.get('pool', upstream_cfg.pool)
        if upstream_cfg.role is settings.Role.SERVICE:
            server = service.ServiceServer(upstream_cfg.pool, self.journal)
            self.services[upstream_cfg.name] = server
        else:
            server = upstream.UpstreamServer(
                upstream_cfg, pool.model, role_change_s=ROLE_CHANGE_S
            )
            self.upstreams[upstream_cfg.name] = server
        server.start()

    def _write_catalog(self):
        addresses = {
            name: server.address
            for name, server in (self.upstreams | self.services).items()
        }
        lists = {}
        for path, document in self.catalog.docs.items():
            kind, _, name = path.partition('/')
            if kind == 'upstream':
                document = {**document, 'address': addresses[name]}
            plural = f'{kind}s' if kind != 'policy' else 'policies'
            lists.setdefault(plural, []).append(document)
        path = self.folder / 'catalog.yaml'
        path.write_text(yaml.safe_dump(lists))
        return path

    def _configure_instance(self, data_centre, number, catalog_path):
        addresses = [f'127.0.0.1:{port}' for port in utils.free_ports(3)]
        cfg = settings.InstanceSettings(
            name=f'{data_centre.name.lower()}-{number + 1}',
            data_centre=data_centre.name,
            region=data_centre.region,
            client_address=addresses[0],
            peer_address=addresses[1],
            operator_address=addresses[2],
        )
        entry_settings = settings.EntrySettings(
            instance=cfg,
            store=settings.StoreSettings(endpoints=[self.store.address]),
            live_list=settings.LiveListSettings(
                address=self.live_list.address, poll_s=0.5
            ),
            catalog_file=str(catalog_path),
        )
        path = self.folder / f'{cfg.name}.yaml'
        plain = json.loads(json.dumps(cattrs.unstructure(entry_settings)))
        path.write_text(yaml.safe_dump(plain))
        return Instance(cfg, path)

    def _start_process(self, instance):
        self.live_list.add(instance.cfg)
        log_file = (self.folder / f'{instance.cfg.name}.log').open('ab')
        instance.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'dandelionwinch',
                'entry',
                '--settings',
                str(instance.path),
            ],
            stdout=log_file,
            stderr=log_file,
        )
        log_file.close()

    def _wait_until_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        waiting = list(self.instances)
        while waiting:
            waiting = [i for i in waiting if not self.is_ready(i)]
            if time.monotonic() > deadline:
                logs = '\n'.join(self._log_tail(i) for i in waiting)
                raise TimeoutError(f'instances not ready:\n{logs}')
            time.sleep(READY_POLL_INTERVAL_S)

    def _log_tail(self, instance):
        path = self.folder / f'{instance.cfg.name}.log'
        lines = path.read_text(errors='replace').splitlines()
        return '\n'.join([instance.cfg.name, *lines[-LOG_TAIL_LINES:]])

    def is_ready(self, instance):
        """Returns whether an instance admits new work."""
        try:
            url = f'http://{instance.cfg.client_address}/readyz'
            return self.http.request('GET', url, timeout=1).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def revision_of(self, instance):
        """Returns an instance's configuration revision.

        None if the instance does not respond or reports no revision.
        """
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
        """Kills an instance without removing it from the live list."""
        instance.process.kill()
        instance.process.wait()

    def stop(self, instance):
        """Starts the graceful stop of an instance."""
        self.live_list.add(instance.cfg, leaving=True)
        instance.process.send_signal(signal.SIGTERM)

    def close(self):
        """Stops all instances and stand-ins of the fleet."""
        for instance in self.instances:
            if instance.alive:
                instance.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for instance in self.instances:
            if instance.process is None:
                continue
            try:
                left_s = max(0.1, deadline - time.monotonic())
                instance.process.wait(left_s)
            except subprocess.TimeoutExpired:
                instance.process.kill()
                instance.process.wait()
        servers = [*self.upstreams.values(), *self.services.values()]
        for server in (*servers, self.live_list, self.store):
            server.close()

    def cleanup(self):
        """Deletes the folder with the settings and logs."""
        shutil.rmtree(self.folder)

"""Runs the daemons of the platform as processes, on loopback."""

import asyncio
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys

import aiohttp

from tests import nodes
from wrenspoke.transport import web

ROOT = pathlib.Path(__file__).parent.parent
ENTRY, CONTROL = 'entry', 'control'


class HostProcess:
    """One daemon, which may be stopped and started again."""

    def __init__(self, system, role, zone):
        self.role = role
        self.ip = nodes.new_ip()
        self.zone = zone
        self._system = system
        self._file = system.folder / f'{self.ip}.json'
        self.log = system.folder / f'{self.ip}.log'
        self.process = None

    def address(self, name):
        """Return the address of a listener, such as ``callers``."""
        return f'{self.ip}:{self._system.ports[name]}'

    def start(self, first=False):
        """Start the process."""
        settings = {
            **self._system.common,
            'ip': self.ip,
            'region': nodes.REGIONS[self.zone],
            'data_centre': self.zone,
            'seeds': [one.address('control') for one in self._system.controls],
            'first_start': first,
        }
        if self.role == ENTRY:
            settings['callers_address'] = self.address('callers')
            settings['readiness_address'] = self.address('readiness')
        else:
            settings['control_address'] = self.address('control')
            settings['directory_address'] = self.address('directory')
            settings['data_folder'] = str(self._system.folder / self.ip)
        self._file.write_text(json.dumps(settings))
        with open(self.log, 'ab') as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    str(ROOT / 'platform' / 'run.py'),
                    self.role,
                    '--settings',
                    str(self._file),
                ],
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': str(ROOT)},
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def wait(self):
        """Wait until the process has ended, and return its exit code."""
        await nodes.until(lambda: self.process.poll() is not None)
        return self.process.returncode

    async def wait_ready(self):
        """Wait until the host serves."""
        name, path = 'readiness', '/readyz'
        if self.role == CONTROL:
            name, path = 'directory', '/resolve?name=h&region=north&zone='
        url = f'http://{self.address(name)}{path}'
        async with asyncio.timeout(nodes.WAIT_S):
            while True:
                try:
                    async with self._system.session.get(url) as response:
                        if response.status < 500:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)


class NodeProcesses:
    """Runs a control host for each zone, and some entry hosts in each."""

    def __init__(self, folder, entries=1, **common):
        self.folder = folder
        names = ('link', 'passing', 'callers', 'readiness', 'control')
        self.ports = dict(
            zip((*names, 'directory', 'engine'), web.free_ports(7))
        )
        self.common = {
            'cluster': 'test',
            'regions': nodes.REGIONS,
            'link_port': self.ports['link'],
            'passing_port': self.ports['passing'],
            'control': {'tolerated_losses': 1},
            **common,
        }
        self.controls = [
            HostProcess(self, CONTROL, zone) for zone in nodes.REGIONS
        ]
        self.entries = [
            HostProcess(self, ENTRY, zone)
            for zone, _number in itertools.product(
                nodes.REGIONS, range(entries)
            )
        ]
        self.session = None

    async def start(self):
        """Start all hosts."""
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=5)
        )
        for host in [*self.controls, *self.entries]:
            host.start(first=True)
        return self

    async def order(self, path, body):
        """Send an order to control hosts until one acknowledges it."""
        async with asyncio.timeout(nodes.WAIT_S):
            for control in itertools.cycle(self.controls):
                url = f'http://{control.address("control")}{path}'
                try:
                    async with self.session.post(url, json=body) as response:
                        if response.status < 300:
                            return
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(0.05)

    async def close(self):
        """Kill all hosts."""
        for host in [*self.controls, *self.entries]:
            if host.process is not None:
                host.send(signal.SIGKILL)
                host.process.wait()
        if self.session is not None:
            await self.session.close()

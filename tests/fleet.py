"""Runs the processes of a small deployment on loopback, for tests."""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time

import msgspec

from wrenspoke import caller as callers
from wrenspoke import controld
from wrenspoke import keys
from wrenspoke import operator as operators
from wrenspoke import settings
from wrenspoke.standin import relay
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import web

PLACEHOLDER_KEY = '0' * 40
MODEL = 'small-1'
WAIT_S = float(os.environ.get('WRENSPOKE_TEST_WAIT_S', 60))
SHOWN_LINES = 25
TOKEN = 'an-operators-token'

FAST = {
    'entry': {
        'beat_budget_bytes_per_s': 1_000_000,
        'beat_interval_ms': 100,
        'suspect_after_ms': 700,
        'pull_interval_ms': 100,
        'load_poll_interval_ms': 200,
        'connect_timeout_ms': 500,
        'stall_timeout_ms': 1500,
        'leave_delay_ms': 200,
        'default_deadline_ms': 8000,
    },
    'ledger': {'clock_skew_ms': 150, 'call_timeout_ms': 400},
    'control': {
        'beat_interval_ms': 60,
        'election_timeout_ms': 400,
        'order_timeout_ms': 1000,
        'drain_poll_interval_ms': 50,
        'weight_loads_per_minute': 600,
    },
}
RULES = [
    {
        'rule': 'release-once',
        'service': 'records',
        'path_prefix': '/release',
        'once': True,
    },
    {
        'rule': 'member-bound',
        'service': 'records',
        'path_prefix': '/member',
        'bound': True,
    },
]


def deployment(
    regions=('north', 'south'),
    entries=1,
    engines=1,
    plains=1,
    controls=0,
    **changes,
):
    """Return a deployment's settings as a dict, on free ports."""
    hosts = len(regions) * entries + controls
    count = 3 * hosts + len(regions) * (engines + plains)
    ports = iter(web.free_ports(count))
    settings_map = {
        'cluster': 'test',
        'hosts': [],
        'links': [],
        'endpoints': [],
        'services': [
            {'service': 'chat', 'kind': 'engine'},
            {'service': 'records', 'kind': 'plain'},
        ],
        'rules': RULES,
        'operators': [
            {'operator': 'ada', 'token_sha256': keys.token_digest(TOKEN)},
            {
                'operator': 'ben',
                'token_sha256': keys.token_digest(TOKEN + '2'),
            },
        ],
    }
    for region in regions:
        for number in range(1, entries + 1):
            roles = ['entry', 'ledger']
            settings_map['hosts'].append(_host(region, number, roles, ports))
        for number in range(1, engines + 1):
            settings_map['endpoints'].append(
                _endpoint(region, 'chat', number, ports)
            )
        for number in range(1, plains + 1):
            settings_map['endpoints'].append(
                _endpoint(region, 'records', number, ports)
            )
    for number in range(controls):
        region = regions[number % len(regions)]
        host = _host(region, number, ['control'], ports)
        host['host'] = f'control-{number + 1}'
        host['operator_port'] = next(ports)
        host['data_folder'] = f'data/control-{number + 1}'
        settings_map['hosts'].append(host)
    for section, fields in FAST.items():
        settings_map[section] = {**fields, **changes.pop(section, {})}
    return {**settings_map, **changes}


def _host(region, number, roles, ports):
    return {
        'host': f'{region}-{number}',
        'region': region,
        'data_centre': f'{region}-hall',
        'ip': '127.0.0.1',
        'http_port': next(ports),
        'link_port': next(ports),
        'public_key': PLACEHOLDER_KEY,
        'roles': roles,
    }


def _endpoint(region, service, number, ports):
    return {
        'endpoint': f'{region}-{service}-{number}',
        'service': service,
        'region': region,
        'data_centre': f'{region}-hall',
        'url': f'http://127.0.0.1:{next(ports)}',
        'models': [MODEL] if service == 'chat' else [],
        'fenced': service == 'chat',
    }


class Fleet:
    """Runs the processes of one deployment."""

    def __init__(self, folder: pathlib.Path, settings_map: dict, model=None):
        self.folder = folder
        self.path = folder / 'deployment.json'
        self.path.write_text(json.dumps(settings_map))
        keys.generate_keys(self.path)
        self.settings = settings.read(self.path)
        self.model = json.dumps(model or {'token_ms': 1})
        self.processes: dict[str, subprocess.Popen] = {}
        self.relays: dict[tuple, tuple[int, relay.Relay]] = {}
        self.paths: dict[str, pathlib.Path] = {}
        self._callers: list[callers.Caller] = []

    async def start_relays(self) -> None:
        """Start relays for links and HTTP between every two hosts."""
        hosts = self.settings.hosts
        pairs = [(a, b) for a in hosts for b in hosts if a is not b]
        ports = iter(web.free_ports(2 * len(pairs)))
        for one, other in pairs:
            for field in ('http_port', 'link_port'):
                port = next(ports)
                host_relay = relay.Relay('127.0.0.1', getattr(other, field))
                await host_relay.start(port)
                self.relays[(one.host, other.host, field)] = (port, host_relay)
        for one in hosts:
            self._write_view(one.host)

    def _write_view(self, name: str) -> None:
        """Write a settings file in which other hosts have relay addresses."""
        view = json.loads(self.path.read_text())
        for host in view['hosts']:
            for field in ('http_port', 'link_port'):
                found = self.relays.get((name, host['host'], field))
                if found is not None:
                    host[field] = found[0]
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(view))
        self.paths[name] = path

    def cut(self, one: str, other: str, ways: int = 2) -> None:
        """Cut the relays from one host to another, or both ways."""
        for (a, b, _field), (_port, made) in self.relays.items():
            if (a, b) == (one, other):
                made.cut()
            if ways == 2 and (b, a) == (one, other):
                made.cut()

    def heal(self) -> None:
        """Heal every cut."""
        for _port, made in self.relays.values():
            made.heal()

    def isolate(self, *names: str) -> None:
        """Partition some hosts from all others."""
        for host in self.settings.hosts:
            for name in names:
                if host.host not in names:
                    self.cut(name, host.host)

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Start a process that writes its output to a log file."""
        log = open(self.folder / f'{name}.log', 'ab')
        command = [sys.executable, '-m', module, *arguments]
        command += ['--settings', str(self.paths.get(name, self.path))]
        with log:
            self.processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, cwd=self.folder
            )

    def start_standins(self, *regions: str) -> None:
        """Start one stand-in process for each region, by default for all."""
        every = {e.region for e in self.settings.endpoints}
        for region in regions or sorted(every):
            arguments = ['--model', self.model]
            for endpoint in self.settings.endpoints:
                if endpoint.region == region:
                    arguments += ['--endpoint', endpoint.endpoint]
            self.spawn(
                f'standin-{region}', 'wrenspoke.standin.main', *arguments
            )

    def start_entry(self, host: str) -> None:
        """Start one entry host."""
        self.spawn(host, 'wrenspoke.entryd', '--host', host)

    def start_control(self, host: str) -> None:
        """Start one control host."""
        self.spawn(host, 'wrenspoke.controld', '--host', host)

    def wipe(self, host: str) -> None:
        """Delete a control host's data folder."""
        shutil.rmtree(self.folder / self.settings.host(host).data_folder)

    def control_url(self, host: str) -> str:
        """Return a control host's URL for operators."""
        port = self.settings.host(host).operator_port
        return f'http://127.0.0.1:{port}'

    def operator(self, token=TOKEN, hosts=()) -> operators.OperatorClient:
        """Return an operator client of the control hosts."""
        names = hosts or [
            host.host for host in self.settings.with_role('control')
        ]
        urls = [self.control_url(name) for name in names]
        client = operators.OperatorClient(urls, token, int(WAIT_S * 1000))
        self._callers.append(client)
        return client

    async def control_status(self, host: str) -> dict | None:
        """Return a control host's status, or None if the request fails."""
        client = operators.OperatorClient(
            [self.control_url(host)], TOKEN, 2000
        )
        try:
            return (await client.show('/status')).body
        except operators.OperatorError:
            return None
        finally:
            await client.close()

    async def leader(self, *among: str) -> str:
        """Wait for a leader and return its name."""
        names = among or [
            host.host for host in self.settings.with_role('control')
        ]

        async def find_leader():
            for name in names:
                if name not in self.processes:
                    continue
                status = await self.control_status(name)
                if status and status['has_lease']:
                    return name
            return None

        return await until(find_leader, 'a leader')

    async def wait_voters(self, count: int) -> dict:
        """Wait for ``count`` voters; return the leader's status."""

        async def leader_status():
            status = await self.control_status(await self.leader())
            if not status or status['voters_before']:
                return None
            return status if len(status['voters']) == count else None

        return await until(leader_status, f'{count} voters')

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f'{name}.log').read_text()

    def show_logs(self) -> None:
        """Print the last lines of all logs."""
        for name in sorted(self.processes):
            lines = self.log(name).splitlines()[-SHOWN_LINES:]
            print(f'--- {name}', *lines, sep='\n')

    def kill(self, name: str) -> None:
        """Kill a process and reap it."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        os.kill(self.processes[name].pid, number)

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        self.signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process."""
        self.signal(name, signal.SIGCONT)

    def stop(self, name: str) -> int:
        """Terminate a process; return its exit status."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(WAIT_S)

    def url(self, host: str) -> str:
        """Return an entry host's URL for callers."""
        return f'http://127.0.0.1:{self.settings.host(host).http_port}'

    def endpoint_url(self, name: str) -> str:
        """Return the URL of an endpoint's stand-in."""
        for endpoint in self.settings.endpoints:
            if endpoint.endpoint == name:
                return endpoint.url
        raise KeyError(name)

    def caller(self, *hosts: str) -> callers.Caller:
        """Return a caller that tries these hosts in turn."""
        caller = callers.Caller([self.url(host) for host in hosts])
        self._callers.append(caller)
        return caller

    async def status(self, host: str) -> dict | None:
        """Return an entry host's status, or None if the request fails."""
        caller = callers.Caller([self.url(host)])
        try:
            async with asyncio.timeout(2):
                return await caller.get('/status')
        except (callers.CallerError, TimeoutError, msgspec.DecodeError):
            return None
        finally:
            await caller.close()

    async def wait_serving(self, *hosts: str) -> None:
        """Wait until entry hosts serve and their ledgers may vote."""
        names = hosts or [
            host.host for host in self.settings.with_role('entry')
        ]
        for name in names:
            await until(lambda name=name: self._serves(name), name)
        margin_ms = 3 * self.settings.ledger.clock_skew_ms
        await asyncio.sleep(margin_ms / 1000)

    async def wait_standins(self) -> None:
        """Wait until every stand-in accepts requests."""
        for endpoint in self.settings.endpoints:
            name = endpoint.endpoint
            await until(lambda name=name: self._listens(name), name)

    async def _listens(self, endpoint: str) -> bool:
        try:
            await self.runs(endpoint)
            return True
        except transport_errors.TransportError:
            return False

    async def _serves(self, host: str) -> bool:
        status = await self.status(host)
        if status is None or not status['serving']:
            return False
        return all(status['peers'].values())

    async def faults(self, endpoint: str, **fields) -> None:
        """Inject faults into a stand-in."""
        await self._standin(endpoint, 'POST', '/faults', fields)

    def engines(self) -> list[str]:
        """Return the names of the engines."""
        return [
            endpoint.endpoint
            for endpoint in self.settings.endpoints
            if endpoint.service == 'chat'
        ]

    async def engine_faults(self, **fields) -> None:
        """Inject faults into every engine; without fields, clear them."""
        for engine in self.engines():
            await self.faults(engine, **fields)

    async def engine_crash_count(self) -> int:
        """Return how often requests have crashed engines."""
        answers = [await self.runs(engine) for engine in self.engines()]
        return sum(answer['ends'] for answer in answers)

    async def runs(self, endpoint: str) -> dict:
        """Return the requests that a stand-in has run."""
        return await self._standin(endpoint, 'GET', '/runs', None)

    async def all_runs(self, service: str) -> dict[str, list[str]]:
        """Return the endpoints that ran each request to a service."""
        runs_by_request: dict[str, list[str]] = {}
        for endpoint in self.settings.endpoints:
            if endpoint.service != service:
                continue
            answer = await self.runs(endpoint.endpoint)
            for request, count in answer['runs'].items():
                runs_by_request.setdefault(request, []).extend(
                    [endpoint.endpoint] * count
                )
        return runs_by_request

    async def _standin(self, endpoint, method, path, body):
        client = web.HttpClient(1000)
        data = None if body is None else msgspec.json.encode(body)
        url = self.endpoint_url(endpoint) + path
        try:
            async with client.send(method, url, {}, data) as response:
                raw = await web.read_body(response, 1 << 26)
                return msgspec.json.decode(raw) if raw else {}
        finally:
            await client.close()

    async def close(self) -> None:
        """Close all clients and relays and kill all processes."""
        for caller in self._callers:
            await caller.close()
        for name in list(self.processes):
            self.kill(name)
        for _port, made in self.relays.values():
            await made.close()


@contextlib.asynccontextmanager
async def running(
    folder, settings_map, model=None, entries=None, relays=False
):
    """Run stand-ins and entry hosts; yield the fleet."""
    fleet = Fleet(folder, settings_map, model)
    try:
        if relays:
            await fleet.start_relays()
        fleet.start_standins()
        controls = fleet.settings.with_role('control')
        if controls:
            controld.bootstrap_group(fleet.path, controls[0].host)
        for host in controls:
            fleet.start_control(host.host)
        for host in fleet.settings.with_role('entry'):
            if entries is None or host.host in entries:
                fleet.start_entry(host.host)
        await fleet.wait_standins()
        await fleet.wait_serving(*(entries or []))
        yield fleet
    except BaseException:
        fleet.show_logs()
        raise
    finally:
        await fleet.close()


async def until(condition, what: str = '', wait_s: float = WAIT_S):
    """Wait until ``condition`` returns something true, and return it."""
    end = time.monotonic() + wait_s
    while True:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return found
        if time.monotonic() > end:
            raise AssertionError(f'timed out after {wait_s} s: {what}')
        await asyncio.sleep(0.05)

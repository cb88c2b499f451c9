"""Runs a small deployment for the scripts of the review.

Starts the project's own daemons as separate processes with the commands of
the deploy file, on loopback addresses. Engines, clients and the operator are
small stand-ins in the process of the script. Only the standard library is
used.
"""

import asyncio
import collections
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HEARTBEAT_S = 1.2
START_LIMIT_S = 30


class CaseError(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._began_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the script began."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write one line, with the time since the start."""
        self._file.write(f'{self.now_s():8.3f} {text}\n')

    def close(self):
        """Write what is buffered."""
        self._file.close()


def free_port():
    """Return a port that is free on loopback now."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


def fill(text, fields):
    """Fill a template as the platform does (DEPLOY.md)."""

    def look_up(name, value):
        for part in name.split('.'):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def section(found):
        value = look_up(found.group(2), fields)
        given = value not in (None, False, [], {}, '')
        shown = given if found.group(1) == '#' else not given
        return found.group(3) if shown else ''

    def gap(found):
        value = look_up(found.group(1), fields)
        if found.group(2):
            return json.dumps(value)
        if value is None:
            return ''
        return value if isinstance(value, str) else json.dumps(value)

    text = re.sub(
        r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', section, text, flags=re.S
    )
    return re.sub(r'\{\{([\w.]+)(\|json)?\}\}', gap, text)


BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 6000, 'ackMs': 8000,
    'catchUpS': 4, 'drainMs': 4000, 'graceS': 8, 'lossSlackMs': 200,
    'configApplyMs': 4000, 'downgradeMs': 250, 'maxStretchMs': 10000,
    'retryBudgetRatio': 0.2, 'budgetWindowS': 10, 'retrySlack': 58,
    'warmupOvershoot': 1.5, 'warmupSlack': 3, 'evacMs': 5000,
    'recoverS': 12, 'passMs': 800, 'retryAfterS': 10, 'ttl_max_s': 5,
}  # fmt: skip
CONTRACTS = [
    'base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine',
    'stream', 'places',
]  # fmt: skip


class Machine:
    """One machine of the deployment, which runs one role."""

    def __init__(self, system, role, zone, ip):
        self.system = system
        self.role = role
        self.zone = zone
        self.ip = ip
        self.name = f'{role}-{zone}-{ip.rpartition(".")[2]}'
        self.process = None
        self.starts = 0
        self._log = None

    @property
    def address(self):
        """Return where clients, or engines and operator, connect."""
        ports = self.system.ports
        port = ports['front' if self.role == 'entry' else 'control']
        return f'{self.ip}:{port}'

    def fields(self):
        """Return the fields of the settings of this machine's process."""
        ports = self.system.ports
        fields = {
            'nodeName': self.name,
            'ip': self.ip,
            'zone': self.zone,
            'region': self.system.zones[self.zone],
            'zones': self.system.zones,
            'portRange': [ports['link'], ports['passing']],
            'seeds': [one.address for one in self.system.controls[:3]],
            'bootstrap': self.starts == 0,
            'contracts': CONTRACTS,
            'bounds': BOUNDS,
            'tolerate': {'machines': 1, 'zones': 1, 'regions': 1},
            'limits': {
                'cpuShare': 0.6, 'cores': 2, 'memoryMb': 300,
                'maxFds': 4096, 'linkMbps': 1000.0,
            },
        }  # fmt: skip
        if self.role == 'entry':
            fields['listen'] = {
                'front': self.address,
                'readiness': f'{self.ip}:{ports["readiness"]}',
            }
        else:
            folder = self.system.folder / f'data-{self.name}'
            folder.mkdir(exist_ok=True)
            fields['dataDir'] = str(folder)
            fields['listen'] = {
                'control': self.address,
                'directory': f'{self.ip}:{ports["directory"]}',
            }
        return fields

    async def start(self):
        """Start the process with the command of the deploy file."""
        settings = self.system.folder / f'{self.name}.json'
        settings.write_text(fill(self.system.template, self.fields()))
        self.starts += 1
        self._log = open(self.system.folder / f'{self.name}.log', 'ab')
        command = self.system.commands[self.role].split(' ')
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                **environment,
                'PYTHONPATH': 'target/deps',
                'PYTHONDONTWRITEBYTECODE': '1',
                'WRENSPOKE_NODE_FILE': str(settings),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def send(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        """Kill the process and wait until it has ended."""
        if self.process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.process.wait()
        self._log.close()

    def log_lines(self, word):
        """Return the lines of the process's log that contain a word."""
        path = self.system.folder / f'{self.name}.log'
        text = path.read_text(errors='replace') if path.exists() else ''
        return [line for line in text.splitlines() if word in line]


class System:
    """The daemons of a small deployment, and the operator."""

    def __init__(self, record, zones, controls, entries):
        """Create it; ``controls`` and ``entries`` list the zones of each."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.commands = {
            name: role['run'] for name, role in deploy['roles'].items()
        }
        self.template = (ROOT / deploy['roles']['entry']['template']).read_text()
        self.record = record
        self.zones = zones
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = pathlib.Path(self._temporary.name)
        names = ('link', 'passing', 'control', 'directory', 'front',
                 'readiness')  # fmt: skip
        self.ports = {name: free_port() for name in names}
        net = f'127.{random.randint(20, 250)}'
        places = {zone: number for number, zone in enumerate(zones, 1)}
        numbers = itertools.count(1)

        def machine(role, zone):
            ip = f'{net}.{places[zone]}.{next(numbers)}'
            return Machine(self, role, zone, ip)

        self.engine_ips = {
            zone: f'{net}.{100 + place}.1' for zone, place in places.items()
        }
        self.controls = [machine('control', zone) for zone in controls]
        self.entries = [machine('entry', zone) for zone in entries]
        self.version = 0

    @property
    def machines(self):
        """Return all machines."""
        return [*self.controls, *self.entries]

    async def start(self):
        """Start all processes together."""
        await asyncio.gather(*(one.start() for one in self.machines))

    async def close(self):
        """End all processes, and remove the temporary folder."""
        await asyncio.gather(*(one.stop() for one in self.machines))
        self._temporary.cleanup()

    async def order(self, method, path, body=b'', limit_s=START_LIMIT_S):
        """Send an order as the operator does, until it is acknowledged."""
        end_s = time.monotonic() + limit_s
        targets = itertools.cycle([one.address for one in self.controls])
        while time.monotonic() < end_s:
            address = next(targets)
            for _redirect in range(3):
                answer = await call(address, method, path, body=body)
                if answer is None or answer.status != 307:
                    break
                location = answer.fields['location']
                address = location.split('/')[2]
            if answer is not None and answer.status == 200:
                return address, answer
            await asyncio.sleep(0.2)
        raise CaseError(f'{method} {path} was not acknowledged')

    async def configure(self, routes, services):
        """Send a configuration until it is acknowledged."""
        self.version += 1
        document = {
            'version': self.version,
            'routes': routes,
            'services': services,
            'limits': {
                'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
            },
        }  # fmt: skip
        await self.order('POST', '/config/replace', json.dumps(document).encode())
        self.record.write(f'configuration {self.version} acknowledged')

    async def until_ready(self):
        """Wait until every entry machine answers 200 at ``/readyz``."""
        end_s = time.monotonic() + START_LIMIT_S
        for machine in self.entries:
            while True:
                address = f'{machine.ip}:{self.ports["readiness"]}'
                answer = await call(address, 'GET', '/readyz')
                if answer is not None and answer.status == 200:
                    break
                if time.monotonic() > end_s:
                    raise CaseError(f'{machine.name} did not become ready')
                await asyncio.sleep(0.2)


Answer = collections.namedtuple('Answer', 'status fields body')


async def read_answer(reader):
    """Return the next response on a connection, None if it is cut short."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        status = int(lines[0].split(' ')[1])
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            fields[name.strip().lower()] = value.strip()
        if fields.get('transfer-encoding', '').lower() == 'chunked':
            body = b''
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    break
        else:
            body = await reader.readexactly(int(fields['content-length']))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, KeyError):
        return None
    return Answer(status, fields, body)


def encode_request(method, path, fields, body=b''):
    """Return a request as bytes."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def call(address, method, path, fields=None, body=b'', limit_s=1.0):
    """Send one request on a new connection; None without an answer."""
    ip, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            head = {'Host': address, **(fields or {})}
            writer.write(encode_request(method, path, head, body))
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Client:
    """A client that keeps one connection to one entry machine."""

    def __init__(self, address):
        self.address = address
        self._reader = None
        self._writer = None

    async def ask(self, method, path, fields, body=b'', limit_s=5.0):
        """Send a request; return the answer, or None if there is none."""
        ip, _, port = self.address.rpartition(':')
        try:
            async with asyncio.timeout(limit_s):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        ip, int(port)
                    )
                self._writer.write(encode_request(method, path, fields, body))
                answer = await read_answer(self._reader)
        except (OSError, TimeoutError):
            answer = None
        if answer is None or 'close' in answer.fields.get('connection', ''):
            self.close()
        return answer

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Engine:
    """A sound engine of a plain service: slots, a short queue, heartbeats."""

    names = itertools.count(1)

    def __init__(self, system, service, zone, slots=2, queue=2, work_ms=45):
        self.system = system
        self.record = system.record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_ms = work_ms
        self.id = f'i-{next(self.names):08x}'
        self.address = ''
        self.held = 0
        self.answers = 0
        # Start times of the runs by request id, for all engines together.
        self.runs = collections.defaultdict(list)
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._beats = None
        self._sequence = itertools.count(1)
        self._connections = set()
        self.state = 'ready'

    async def start(self):
        """Listen, and send heartbeats."""
        ip = self.system.engine_ips[self.zone]
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'
        self._beats = asyncio.create_task(self._send_heartbeats())

    async def heartbeat(self, limit_s=1.0):
        """Send one heartbeat to the control machines in turn."""
        body = json.dumps(
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'warmupLeftMs': 0,
                'seq': next(self._sequence),
            }
        ).encode()
        return await self.tell('heartbeat', body)

    async def tell(self, what, body=b''):
        """Send a call to control; return the machine that acknowledged."""
        controls = self.system.controls
        near = sorted(controls, key=lambda one: one.zone != self.zone)
        for control in near:
            answer = await call(
                control.address,
                'POST',
                f'/instances/{self.id}/{what}',
                body=body,
            )
            if answer is not None and answer.status == 200:
                return control
        return None

    async def _send_heartbeats(self):
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def stop_heartbeats(self):
        """Send no more heartbeats."""
        self._beats.cancel()

    async def close(self):
        """End all connections."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.close()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, path, _version = lines[0].split(' ')
                fields = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    fields[name.strip().lower()] = value.strip()
                size = int(fields.get('content-length', 0))
                body = await reader.readexactly(size)
                await self.handle(writer, method, path, fields, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def handle(self, writer, method, path, fields, body):
        """Answer one request."""
        if path in ('/healthz', '/report'):
            writer.write(self.encode(200, {'Instance-Id': self.id}, b'{}'))
            return
        request = fields.get('request-id', '')
        answer = await self.answer(request, fields)
        self.answers += 1
        writer.write(answer)

    async def answer(self, request, fields):
        """Run a request, or refuse it; return the answer."""
        echo = {'Request-Id': request} if request else {}
        expected = fields.get('target-instance', self.id)
        if expected != self.id:
            return self.encode(
                421, {**echo, 'Instance-Id': self.id, 'Not-Executed': '1'}
            )
        if not request:
            return self.encode(400, {'Not-Executed': '1'})
        if self.held >= self.slots + self.queue:
            self.record.write(f'{self.id} refuses {request}: it is full')
            return self.encode(503, {**echo, 'Not-Executed': '1'})
        self.held += 1
        try:
            async with self._free:
                self.runs[request].append((self.record.now_s(), self.id))
                self.record.write(f'{self.id} runs {request}')
                await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.held -= 1
        stamp = f'{self.id}.{request}'
        return self.encode(
            200, {**echo, 'Server-Stamp': stamp}, f'done {request}'.encode()
        )

    @staticmethod
    def encode(status, fields, body=b''):
        """Return a response as bytes."""
        lines = [f'HTTP/1.1 {status} Answer']
        lines += [f'{name}: {value}' for name, value in fields.items()]
        lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join([*lines, '', '']).encode() + body


def plain_route(name, kind, service, **changes):
    """Return a route for a configuration."""
    return {
        'name': name,
        'host': 'review.example',
        'pathPrefix': f'/{name}/',
        'routeType': kind,
        'timeoutMs': 1500,
        'targetLatencyMs': 500,
        'priority': 1,
        'service': service,
        'maxAttempts': 1,
        'sessionAffinity': False,
        'resumable': False,
        'allowedRegions': [],
        **changes,
    }


def plain_service(name):
    """Return a service for a configuration."""
    return {
        'name': name, 'healthPath': '/healthz', 'maxConns': 110,
        'protocol': 'h1', 'tls': False, 'warmupS': 0.0, 'warmupPerS': 0.0,
    }  # fmt: skip


def run(main, folder):
    """Run a case; exit with 0 if the rule held, 1 if broken, else 2."""
    record = Record(folder)

    async def limited():
        async with asyncio.timeout(115):
            return await main(record)

    try:
        status = asyncio.run(limited())
    except Exception as error:  # no fault of the case may look like a result
        record.write(f'could not run: {error!r}')
        print(f'could not run: {error!r}', file=sys.stderr)
        status = NOT_RUN
    record.close()
    sys.exit(status)

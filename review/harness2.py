"""Starts a small deployment with the commands of the deploy file.

Every process is one of the project's programs, on a loopback address of its
own. Engines, clients, operator and platform are small stand-ins here.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import tempfile
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent
LINK, PASSING, FRONT, READY, CONTROL, DIRECTORY = range(17660, 17666)
ENGINE_PORT = 17700
BASE = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine',
        'stream', 'places']
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


class Machine:
    def __init__(self, cluster, name, role, zone, ip):
        self.cluster, self.name, self.role = cluster, name, role
        self.zone, self.ip = zone, ip
        self.process = None
        self.data = cluster.folder / f'data-{name}'
        self.file = cluster.folder / f'{name}.json'
        self.log = cluster.folder / f'{name}.log'

    def write_settings(self, first):
        c = self.cluster
        settings = {
            'cluster': 'wrenspoke', 'ip': self.ip,
            'region': c.zones[self.zone], 'data_centre': self.zone,
            'regions': c.zones, 'link_port': LINK, 'passing_port': PASSING,
            'seeds': c.seeds, 'first_start': first,
            'directory_ttl_ms': 5000,
            'control': {'tolerated_losses': 1},
            'platform': {'contracts': c.contracts, 'limits': {
                'cpuShare': 0.6, 'cores': 2, 'memoryMb': 300,
                'maxFds': 4100, 'linkMbps': 1000.0, 'diskMb': 128}},
            'entry': {'grace_ms': 8000},
            'retries': {'ratio': 0.2, 'fixed': 58, 'window_ms': 10000},
        }
        if self.role == 'entry':
            settings['callers_address'] = f'{self.ip}:{FRONT}'
            settings['readiness_address'] = f'{self.ip}:{READY}'
        else:
            settings['control_address'] = f'{self.ip}:{CONTROL}'
            settings['directory_address'] = f'{self.ip}:{DIRECTORY}'
            settings['data_folder'] = str(self.data)
        settings.update(c.extra)
        self.file.write_text(json.dumps(settings))

    def start(self, first=False):
        self.write_settings(first)
        self.data.mkdir(exist_ok=True)
        env = {'PATH': os.environ['PATH'], 'LANG': 'C.UTF-8',
               'HOME': str(self.cluster.folder),
               'WRENSPOKE_NODE_FILE': str(self.file),
               'PYTHONPATH': str(ROOT / 'target' / 'deps'),
               'PYTHONDONTWRITEBYTECODE': '1'}
        with open(self.log, 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', 'platform/run.py', self.role],
                cwd=ROOT, env=env, stdout=log, stderr=log)

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Cluster:
    def __init__(self, zones, entries=2, contracts=BASE, extra=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.zones = zones
        self.contracts = contracts
        self.extra = extra or {}
        octet = random.randrange(20, 250)
        self.net = f'127.{octet}'
        self.controls, self.entries = [], []
        for number, zone in enumerate(zones, 1):
            self.controls.append(Machine(
                self, f'core-{zone}', 'control', zone,
                f'{self.net}.{number}.10'))
            for each in range(entries):
                self.entries.append(Machine(
                    self, f'front-{zone}-{each + 1}', 'entry', zone,
                    f'{self.net}.{number}.{20 + each}'))
        self.seeds = [f'{m.ip}:{CONTROL}' for m in self.controls[:3]]

    @property
    def machines(self):
        return self.controls + self.entries

    def start(self):
        for machine in self.machines:
            machine.start(first=True)

    def close(self):
        for machine in self.machines:
            machine.kill()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(address, method, path, body=None, headers=(), timeout=1.0):
    """One HTTP call on a new connection: (status, headers, body)."""
    async def go():
        ip, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            lines = [f'{method} {path} HTTP/1.1', f'Host: {address}']
            lines += [f'{k}: {v}' for k, v in headers]
            data = b'' if body is None else body
            lines += [f'Content-Length: {len(data)}', 'Connection: close']
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + data)
            return await read_answer(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(go(), timeout)


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines:
        name, found, value = line.partition(':')
        if found:
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields):
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        data = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return data
            data += part[:-2]
    if 'content-length' in fields:
        return await reader.readexactly(int(fields['content-length']))
    return b''


async def read_answer(reader):
    first, fields = await read_head(reader)
    status = int(first.split()[1])
    if status in (204, 304) or status < 200:
        return status, fields, b''
    if 'content-length' not in fields and 'transfer-encoding' not in fields:
        return status, fields, await reader.read()
    return status, fields, await read_body(reader, fields)


class Operator:
    def __init__(self, cluster):
        self.cluster = cluster
        self.record = []

    async def order(self, method, path, body=None, limit_s=15.0, first=None):
        """Send an order until it has a clear answer, as the pages say."""
        data = None if body is None else json.dumps(body).encode()
        end = time.monotonic() + limit_s
        address = None
        pause = 0.05
        while time.monotonic() < end:
            if address is None:
                address = first or (
                    random.choice(self.cluster.controls).ip + f':{CONTROL}')
                first = None
            try:
                status, fields, answer = await call(
                    address, method, path, data,
                    [('Content-Type', 'application/json')], 1.0)
            except (OSError, asyncio.TimeoutError, ValueError,
                    asyncio.IncompleteReadError) as error:
                status, fields, answer = repr(error), {}, b''
            self.record.append((round(now(), 3), address, method, path,
                                status))
            if status == 307:
                address = fields['location'].split('/')[2]
                continue
            if isinstance(status, int) and status < 500 and (
                    status not in (408, 429)):
                return status, answer, address
            address = None
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 0.5)
        return None, b'', None


class Engine:
    """A server that keeps to the pages, in this process."""

    def __init__(self, cluster, service, zone, ip, slots=8, work_ms=30,
                 build='v1', record=None):
        self.cluster, self.service, self.zone = cluster, service, zone
        self.address = f'{ip}:{ENGINE_PORT}'
        self.ip = ip
        self.slots, self.work_ms, self.build = slots, work_ms, build
        self.id = 'i-' + uuid.uuid4().hex[:8]
        self.seq = 0
        self.state = 'ready'
        self.record = record if record is not None else []
        self.server = None
        self.beats = None
        self.acked = {}
        self.hook = None
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, ENGINE_PORT)
        self.beats = asyncio.ensure_future(self._beat_forever())

    def note(self, what, request, **more):
        self.record.append((round(now(), 4), self.id, what, request, more))

    async def beat(self):
        self.seq += 1
        body = json.dumps({
            'service': self.service, 'address': self.address,
            'zone': self.zone, 'version': self.build, 'slots': self.slots,
            'state': self.state, 'warmupLeftMs': 0, 'seq': self.seq,
        }).encode()
        return await self._tell(f'/instances/{self.id}/heartbeat', body)

    async def deregister(self):
        return await self._tell(f'/instances/{self.id}/deregister', b'')

    async def _tell(self, path, body):
        controls = [m for m in self.cluster.controls]
        random.shuffle(controls)
        for machine in controls:
            try:
                status, _f, _b = await call(
                    f'{machine.ip}:{CONTROL}', 'POST', path, body,
                    [('Content-Type', 'application/json')], 1.0)
            except (OSError, asyncio.TimeoutError, ValueError,
                    asyncio.IncompleteReadError):
                continue
            if 200 <= status < 300:
                return machine.name
        return None

    async def _beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _v = first.split()
                await self._answer(method, target, fields, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def _answer(self, method, target, fields, body, writer):
        request = fields.get('request-id')
        if target == '/report':
            data = json.dumps({
                'stage': 'both', 'models': [], 'busy': False, 'seq': 0,
                'queued': 0, 'running': 0, 'kvUsed': 0, 'kvTotal': 200000,
                'handles': 0}).encode()
            return self.send(writer, 200, [], data)
        if target == '/healthz':
            return self.send(writer, 200, [('Instance-Id', self.id)], b'')
        wanted = fields.get('target-instance')
        if wanted and wanted != self.id:
            self.note('misdirected', request)
            return self.send(writer, 421, [('Request-Id', request)], b'')
        if self.hook is not None:
            if await self.hook(self, method, target, fields, body, writer):
                return
        self.note('run', request, target=target, body=len(body))
        await asyncio.sleep(self.work_ms / 1000)
        stamp = f'{self.id}.{request}'
        self.note('end', request)
        self.send(writer, 200, [('Request-Id', request),
                                ('Server-Stamp', stamp)],
                  f'answer to {request}'.encode())

    def send(self, writer, status, fields, body):
        lines = [f'HTTP/1.1 {status} X']
        lines += [f'{k}: {v}' for k, v in fields]
        lines += [f'Content-Length: {len(body)}']
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)

    def close(self):
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


def config(version, routes, services):
    return {'version': version, 'routes': routes, 'services': services,
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                       'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}}


def route(name, prefix, kind, service, **more):
    found = {'name': name, 'host': 'api.example', 'pathPrefix': prefix,
             'routeType': kind, 'timeoutMs': 5000, 'targetLatencyMs': 1000,
             'priority': 0, 'service': service, 'maxAttempts': 2,
             'sessionAffinity': False, 'resumable': False,
             'allowedRegions': []}
    found.update(more)
    return found


def service(name, **more):
    return {'name': name, 'healthPath': '/healthz', 'maxConns': 300,
            'protocol': 'h1', 'tls': False, 'warmupS': 0.0,
            'warmupPerS': 0.0, **more}


async def request(address, path, request_id, body=None, deadline=3000,
                  headers=(), method=None, timeout=None):
    """One attempt of a client on a new connection."""
    fields = [('Request-Id', request_id), ('Deadline-Ms', str(deadline)),
              *headers]

    async def go():
        ip, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            verb = method or ('GET' if body is None else 'POST')
            lines = [f'{verb} {path} HTTP/1.1', 'Host: api.example']
            lines += [f'{k}: {v}' for k, v in fields]
            data = body or b''
            if body is not None:
                lines.append(f'Content-Length: {len(data)}')
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + data)
            return await read_answer(reader)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(
            go(), timeout or deadline / 1000 + 1.0)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError) as error:
        return repr(error), {}, b''


async def wait_ready(cluster, limit_s=20.0):
    end = time.monotonic() + limit_s
    for machine in cluster.entries:
        while time.monotonic() < end:
            try:
                status, _f, _b = await call(
                    f'{machine.ip}:{READY}', 'GET', '/readyz')
                if status == 200:
                    break
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        else:
            return False
    return True

"""Count streams that ran twice, or were refused though they ran.

    python -m benches.surplus_streams CHECKOUT [--seed N] [--surplus KIND]
        [--share SHARE] [--faulty-s S] [--callers N] [--fronts-only]
        [--folder FOLDER]

Runs the daemons of a built checkout as processes on loopback addresses: three
control hosts and two entry hosts in each of two regions. Callers send streams
by POST. The endpoints refuse what exceeds their slots and queue; for some
time, a part of them sends some responses a second time, in the place of the
response to the next request on the connection. With ``--fronts-only`` the
second region has no endpoints, so that all its streams take a hop.

Prints the counts as JSON; what endpoints ran and callers got is recorded in
the folder. The same script plays different revisions.
"""

import argparse
import asyncio
import collections
import dataclasses
import importlib
import itertools
import json
import pathlib
import random
import re
import sys
import tempfile

REGIONS = {'north-hall': 'north', 'south-hall': 'south'}
HOSTS_PER_REGION = 2
ENDPOINTS_PER_REGION = 3
SLOTS = 3
QUEUE = 2
FAULTY_SHARE = 0.6
EVENTS = 4
FIRST_EVENT_S = 0.01
EVENT_PAUSE_S = 0.0035
REFUSAL_S = 0.001
RETRY_PAUSE_S = 0.06
CALM_S = 3.0
TIMEOUT_MS = 3000
NOT_RUN_STATUSES = (408, 421, 429, 503)
SURPLUS = {
    'any': lambda status: True,
    'refusals': lambda status: status != 200,
    'answers': lambda status: status == 200,
}
FIELD = re.compile(r' (\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclasses.dataclass
class Plan:
    """What one run does; ``share`` is that of the responses sent twice."""

    seed: int
    surplus: str
    share: float
    faulty_s: float
    callers: int
    fronts_only: bool


def endpoint_class(harness, dialect, plan):
    """Return the class of endpoints for the daemons of one checkout."""

    class StreamEndpoint(harness.Engine):
        """Streams events, refuses when full, and repeats some responses."""

        def __init__(self, system, zone, chance):
            super().__init__(system, 'guide', zone, SLOTS, QUEUE)
            self.is_faulty = False
            self.response_counts = collections.Counter()
            self.surplus_counts = collections.Counter()
            self._chance = chance
            self._surplus = {}

        async def handle(self, writer, method, path, fields, body):
            late = self._surplus.pop(writer, None)
            if late is not None:
                status, response = late
                self.surplus_counts[status] += 1
                self.record.write(f'{self.id} repeats a {status}')
                writer.write(response)
            if path in ('/healthz', '/report'):
                await super().handle(writer, method, path, fields, body)
                return
            status, response = await self._respond(writer, fields)
            self.response_counts[status] += 1
            if (
                self.is_faulty
                and SURPLUS[plan.surplus](status)
                and self._chance.random() < plan.share
            ):
                self._surplus[writer] = status, response

        async def _respond(self, writer, fields):
            request = fields.get(dialect.request.lower(), '')
            echo = {dialect.request: request}
            refused = {**echo, dialect.not_run: '1'}
            if fields.get(dialect.endpoint.lower(), self.id) != self.id:
                refused[dialect.instance] = self.id
                return self._refuse(writer, 421, refused)
            if self.held >= self.slots + self.queue:
                self.record.write(f'{self.id} refuses {request}')
                await asyncio.sleep(REFUSAL_S)
                return self._refuse(writer, 503, refused)
            self.held += 1
            try:
                async with self._free:
                    return 200, await self._stream(writer, request)
            finally:
                self.held -= 1

        def _refuse(self, writer, status, fields):
            response = self.encode(status, fields)
            writer.write(response)
            return status, response

        async def _stream(self, writer, request):
            self.runs[request].append((self.record.now_s(), self.id))
            self.record.write(f'{self.id} runs {request}')
            head = [
                'HTTP/1.1 200 OK',
                f'{dialect.request}: {request}',
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
            ]
            pieces = ['\r\n'.join([*head, '', '']).encode()]
            for number in range(1, EVENTS + 1):
                event = f'id: {number}\ndata: {request}\n\n'.encode()
                pieces.append(b'%x\r\n%s\r\n' % (len(event), event))
            pieces.append(b'0\r\n\r\n')
            pause_s = EVENT_PAUSE_S * self._chance.uniform(0.3, 1.7)
            await asyncio.sleep(FIRST_EVENT_S)
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(pause_s)
            return b''.join(pieces)

    return StreamEndpoint


class Run:
    """One run of the daemons of a checkout under one plan."""

    def __init__(self, harness, dialect, plan, record):
        self._harness = harness
        self._dialect = dialect
        self._plan = plan
        self._record = record
        self._chance = random.Random(plan.seed)
        zones = list(REGIONS)
        self.system = harness.System(
            record, REGIONS, [*zones, zones[0]], zones * HOSTS_PER_REGION
        )
        stream_endpoint = endpoint_class(harness, dialect, plan)
        used = zones[:1] if plan.fronts_only else zones
        self.endpoints = [
            stream_endpoint(
                self.system, zone, random.Random(self._chance.random())
            )
            for zone in used
            for _number in range(ENDPOINTS_PER_REGION)
        ]
        # The status that each request's caller got, and its entry host.
        self.statuses = {}
        self.hosts = {}

    async def play(self):
        """Run the daemons and callers; leave no process behind."""
        try:
            await self.system.start()
            for endpoint in self.endpoints:
                await endpoint.start()
            await self.system.configure(
                [
                    self._harness.plain_route(
                        'ask',
                        'streaming',
                        'guide',
                        timeoutMs=TIMEOUT_MS,
                        gapAimMs=400,
                    )
                ],
                [self._harness.plain_service('guide')],
            )
            await self.system.until_ready()
            await asyncio.sleep(2 * self._harness.HEARTBEAT_S)
            await self._ask()
            return self._count()
        finally:
            for endpoint in self.endpoints:
                await endpoint.close()
            await self.system.close()

    async def _ask(self):
        ended = asyncio.Event()
        numbers = itertools.count(1)
        # The first region has about twice the callers of the second.
        first_region = next(iter(REGIONS))
        weights = [
            2 if host.zone == first_region else 1
            for host in self.system.entries
        ]
        hosts = self._chance.choices(
            self.system.entries, weights, k=self._plan.callers
        )
        callers = [
            asyncio.create_task(
                self._call(
                    host, numbers, ended, random.Random(self._chance.random())
                )
            )
            for host in hosts
        ]
        await asyncio.sleep(CALM_S)
        count = int(FAULTY_SHARE * len(self.endpoints))
        faulty = self._chance.sample(self.endpoints, count)
        for endpoint in faulty:
            endpoint.is_faulty = True
        await asyncio.sleep(self._plan.faulty_s)
        for endpoint in faulty:
            endpoint.is_faulty = False
        await asyncio.sleep(CALM_S)
        ended.set()
        await asyncio.gather(*callers)

    async def _call(self, host, numbers, ended, chance):
        client = self._harness.Client(host.address)
        while not ended.is_set():
            request = f'{next(numbers):016x}'
            fields = {
                'Host': 'review.example',
                self._dialect.request: request,
                self._dialect.deadline_ms: str(TIMEOUT_MS),
                'Accept': 'text/event-stream',
            }
            answer = await client.ask('POST', '/ask/x', fields, b'x' * 600)
            status = None if answer is None else answer.status
            self.statuses[request] = status
            self.hosts[request] = host.name
            self._record.write(f'caller got {status} for {request}')
            if status != 200:
                await asyncio.sleep(RETRY_PAUSE_S * chance.uniform(0.5, 1.5))

    def _count(self):
        runs = collections.Counter()
        for endpoint in self.endpoints:
            for request, starts in endpoint.runs.items():
                runs[request] += len(starts)
        twice = {request for request, count in runs.items() if count > 1}
        refused = {
            request
            for request, status in self.statuses.items()
            if status in NOT_RUN_STATUSES and runs[request]
        }
        mismatches, unnamed, by_host = (
            collections.Counter() for _number in range(3)
        )
        for host in self.system.entries:
            for line in host.log_lines('event='):
                fields = dict(FIELD.findall(line))
                place = fields.get('place', '')
                sender = 'endpoint' if place.startswith('i-') else 'host'
                if 'event=response_id_mismatch' in line:
                    mismatches[f'{sender} {fields["status"]}'] += 1
                    by_host[host.name] += 1
                if 'event=unnamed_refusal' in line:
                    first = fields['connection_requests'] == '1'
                    order = 'first' if first else 'later'
                    unnamed[f'{sender} {fields["status"]} {order}'] += 1
        return {
            'requests': len(self.statuses),
            'statuses': collections.Counter(self.statuses.values()),
            'endpoint_responses': self._sum('response_counts'),
            'surplus_responses': self._sum('surplus_counts'),
            'refused_and_ran': len(refused),
            'ran_twice': len(twice),
            'refused_by_host': collections.Counter(
                self.hosts[request] for request in refused
            ),
            'response_id_mismatch': mismatches,
            'response_id_mismatch_by_host': by_host,
            'unnamed_refusal': unnamed,
        }

    def _sum(self, name):
        found = collections.Counter()
        for endpoint in self.endpoints:
            found += getattr(endpoint, name)
        return found


def main():
    """Play one run and print its counts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('checkout', type=pathlib.Path)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--surplus', choices=SURPLUS, default='any')
    parser.add_argument('--share', type=float, default=0.05)
    parser.add_argument('--faulty-s', type=float, default=10.0)
    parser.add_argument('--callers', type=int, default=60)
    parser.add_argument('--fronts-only', action='store_true')
    parser.add_argument('--folder', type=pathlib.Path)
    chosen = vars(parser.parse_args())
    checkout = chosen.pop('checkout').resolve()
    folder = chosen.pop('folder') or pathlib.Path(tempfile.mkdtemp())
    folder.mkdir(parents=True, exist_ok=True)
    plan = Plan(**chosen)
    for name in ('target/deps', '', 'platform', 'review'):
        sys.path.insert(0, str(checkout / name))
    harness = importlib.import_module('harness')
    header_names = importlib.import_module('adapter.header_names')
    record = harness.Record(folder)
    run = Run(harness, header_names.DIALECT, plan, record)
    counts = asyncio.run(run.play())
    record.close()
    print(json.dumps({**dataclasses.asdict(plan), **counts}, indent=1))


if __name__ == '__main__':
    main()

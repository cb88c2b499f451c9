"""A late surplus refusal makes the gateway run a request a second time."""

import asyncio
import collections
import itertools
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

ZONES = {
    'tc-hall-a': 'taichung',
    'tc-hall-b': 'taichung',
    'tc-hall-c': 'taichung',
}
# The limits of the disruption "garble (extra late)": share of the engines,
# share of their answers, and seconds.
ENGINES_SHARE = 0.6
ANSWERS_SHARE = 0.03
TROUBLE_S = 5.0
CALM_S = 3.0
CLIENTS = 18


class DoublingEngine(harness.Engine):
    """Sends a second answer late, after some of its refusals.

    The second answer is a copy of the first and carries its id. It is sent
    as the next request arrives on the connection, which is then run as usual.
    """

    faulty = False

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self._surplus = {}
        self.answered_in_trouble = 0
        self.doubled = 0

    async def handle(self, writer, method, path, fields, body):
        late = self._surplus.pop(writer, None)
        if late is not None:
            request, copy = late
            self.record.write(
                f'{self.id} sends the second answer to {request}, as '
                f'{fields.get("request-id", path)} arrives'
            )
            writer.write(copy)
        if path in ('/healthz', '/report'):
            await super().handle(writer, method, path, fields, body)
            return
        request = fields.get('request-id', '')
        answer = await self.answer(request, fields)
        writer.write(answer)
        if not self.faulty:
            return
        self.answered_in_trouble += 1
        limit = ANSWERS_SHARE * self.answered_in_trouble
        if b'Not-Executed' in answer and self.doubled + 1 <= limit:
            self.doubled += 1
            self._surplus[writer] = (request, answer)


async def ask_on(client, system, numbers, answered, ended):
    """Send non-idempotent requests, one after the other."""
    while not ended.is_set():
        request = f'{next(numbers):016x}'
        answer = await client.ask(
            'POST',
            '/once/tile',
            {
                'Host': 'review.example',
                'Request-Id': request,
                'Deadline-Ms': '3000',
            },
            b'x' * 600,
        )
        status = None if answer is None else answer.status
        answered[request] = status
        system.record.write(f'client got {status} for {request}')
        if answer is not None and 'retry-after' in answer.fields:
            await asyncio.sleep(float(answer.fields['retry-after']))


async def main(record):
    system = harness.System(record, ZONES, list(ZONES), list(ZONES)[:2])
    engines = [
        DoublingEngine(system, 'mapdesk', zone) for zone in ZONES
    ]
    try:
        await system.start()
        for engine in engines:
            await engine.start()
        await system.configure(
            [harness.plain_route('once', 'non_idempotent', 'mapdesk')],
            [harness.plain_service('mapdesk')],
        )
        await system.until_ready()
        await asyncio.sleep(2 * harness.HEARTBEAT_S)
        return await play(record, system, engines)
    finally:
        for engine in engines:
            await engine.close()
        await system.close()


async def play(record, system, engines):
    numbers = itertools.count(1)
    answered = {}
    ended = asyncio.Event()
    clients = [
        harness.Client(system.entries[number % 2].address)
        for number in range(CLIENTS)
    ]
    tasks = [
        asyncio.create_task(ask_on(one, system, numbers, answered, ended))
        for one in clients
    ]
    await asyncio.sleep(CALM_S)
    faulty = engines[: int(ENGINES_SHARE * len(engines))]
    for engine in faulty:
        engine.faulty = harness.TROUBLE
    record.write(f'trouble begins: {[one.id for one in faulty]}')
    await asyncio.sleep(TROUBLE_S)
    for engine in faulty:
        engine.faulty = False
    record.write('trouble ends')
    await asyncio.sleep(CALM_S)
    ended.set()
    await asyncio.gather(*tasks)
    return judge(record, engines, faulty, answered)


def judge(record, engines, faulty, answered):
    """Apply TWICE and REFUSED as written."""
    runs = collections.defaultdict(list)
    for engine in engines:
        for request, starts in engine.runs.items():
            runs[request] += starts
    twice = {one: at for one, at in runs.items() if len(at) > 1}
    refused = [
        one for one, status in answered.items()
        if status in (408, 421, 429, 503) and one in runs
    ]  # fmt: skip
    statuses = collections.Counter(answered.values())
    doubled = sum(one.doubled for one in faulty)
    total = sum(one.answered_in_trouble for one in faulty)
    print(f'{len(answered)} requests, answers {dict(statuses)}')
    print(f'{doubled} of {total} answers of {len(faulty)} engine doubled')
    for request, starts in sorted(twice.items()):
        line = f'TWICE: {request} ran at {starts}, got {answered[request]}'
        print(line)
        record.write(line)
    for request in refused:
        line = f'REFUSED: {request} got {answered[request]} and ran'
        print(line)
        record.write(line)
    if statuses[200] < 100:
        raise harness.CaseError(f'too few requests were served: {statuses}')
    if harness.TROUBLE and not doubled:
        raise harness.CaseError('no answer was doubled')
    return harness.BROKEN if twice or refused else harness.HELD


harness.run(main, FOLDER)

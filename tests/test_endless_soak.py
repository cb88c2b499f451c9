"""Seeded runs of endpoints that break off responses, or never end them.

More seeds are run by hand: ``WRENSPOKE_ENDLESS_SEEDS=50``.
"""

import asyncio
import collections
import os
import random

import pytest

from tests import endpoints
from tests import loops
from tests import nodes
from tests import test_endless_calls as endless
from tests import test_passing as passing

SEEDS = range(int(os.environ.get('WRENSPOKE_ENDLESS_SEEDS', 3)))
ID = passing.ID
CALLERS = 12
CALLS = 15
ENDPOINTS = 12
TIMEOUT_MS = 4_000
# An endpoint writes no more than this of one response.
WRITTEN_LIMIT_BYTES = 24 << 20
PIECE_BYTES = 16 * 1024
DRIP_PAUSE_S = 0.05
NOT_RUN_STATUSES = (408, 421, 429, 503)
NOT_RUN = b'Wrenspoke-Not-Run: 1\r\n'
KINDS = {
    passing.ONCE: '/once/',
    passing.REPEATABLE: '/repeatable/',
    passing.STREAM: '/stream/',
}
FAULTS = ['healthy'] * 6 + ['refused', 'closed', 'reset', 'fast', 'drip']
# A response, which may be cut or followed by units without end.
UNITS = {
    'header': b'X: x\r\n',
    'header value': b'x',
    'blank lines': b'\r\n',
    'interim responses': b'HTTP/1.1 103 Early\r\n\r\n',
    'body': b'x',
    'chunks': b'1\r\nx\r\n',
    'comments': b': x\n',
    'events': b'data: x\n\n',
}

event_loop_policy = loops.event_loop_policy


class FaultyEndpoint(endpoints.ScriptedEndpoint):
    """Runs or refuses requests, and spoils some of their responses.

    ``runs`` counts what all endpoints ran, ``whole`` names the requests whose
    response was written completely.
    """

    def __init__(self, chance, runs, whole):
        super().__init__(None)
        self._chance = chance
        self._runs = runs
        self._whole = whole
        self.fault_counts = collections.Counter()
        self.open_count = 0

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self.open_count += 1
        try:
            while True:
                sent = await endpoints.read_request(reader)
                if not await self._respond(sent, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_count -= 1
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, sent, reader, writer):
        """Respond to a request; return whether the connection goes on."""
        request = endpoints.header(sent, ID)
        fault = self._chance.choice(FAULTS)
        self.fault_counts[fault] += 1
        if fault == 'refused':
            status = self._chance.choice(['503 Full', '429 Busy'])
            refusal = passing.answer(sent, request.encode(), status, NOT_RUN)
            return await self._write(refusal, reader, writer)
        self._runs[request] += 1
        pieces = [passing.answer(sent, request.encode())]
        if b' /stream/' in sent.partition(b'\r\n')[0]:
            event = b'data: %s\n\n' % request.encode()
            pieces = [*passing.chunked(sent, event, event), passing.END]
        if fault == 'healthy':
            for piece in pieces:
                await self._write(piece, reader, writer)
            self._whole.add(request)
            return True
        if fault in ('closed', 'reset'):
            cut = self._chance.randrange(len(pieces[0]))
            await self._write(pieces[0][:cut], reader, writer)
            end = self.CLOSE if fault == 'closed' else self.RESET
            return await self._write(end, reader, writer)
        await self._write_without_end(sent, writer, fault == 'drip')
        await reader.read()
        return False

    async def _write_without_end(self, sent, writer, is_drip):
        form = self._chance.choice(list(UNITS))
        unit = UNITS[form]
        head = b'HTTP/1.1 200 OK\r\n' + endpoints.echo_header(sent, ID)
        if form == 'header value':
            head += b'X: '
        elif form in ('blank lines', 'interim responses'):
            head = b''
        elif form == 'chunks':
            head += b'Transfer-Encoding: chunked\r\n\r\n'
        elif form in ('comments', 'events'):
            head += b'Content-Type: text/event-stream\r\n\r\n'
        elif form == 'body':
            head += b'\r\n'
        if not is_drip:
            unit *= PIECE_BYTES // len(unit)
        writer.write(head)
        written_bytes = 0
        while written_bytes < WRITTEN_LIMIT_BYTES:
            if writer.transport.is_closing():
                raise ConnectionResetError
            writer.write(unit)
            written_bytes += len(unit)
            await writer.drain()
            await asyncio.sleep(DRIP_PAUSE_S if is_drip else 0)


async def ask(chance, address, number, answers):
    """Send calls of all kinds one after the other."""
    for call in range(CALLS):
        prefix = chance.choice(list(KINDS.values()))
        request = f'c{number}-{call}'
        line = f'GET {prefix}{request} HTTP/1.1'
        sent = passing.request(line, request_id=request)
        answers[request] = prefix, *await endless.ask(address, sent)


def assert_consistent(runs, whole, answers):
    """Check each call against what the endpoints ran and wrote."""
    for request, (prefix, first, last) in answers.items():
        status = int(first.split()[1])
        expected = request.encode()
        if prefix == KINDS[passing.STREAM]:
            event = b'data: %s\n\n' % expected
            is_whole = last == passing.END and first.count(event) == 2
        else:
            is_whole = first.endswith(b'\r\n\r\n' + expected)
        if prefix != KINDS[passing.REPEATABLE]:
            assert runs[request] <= 1, request
        if request in whole:
            assert (status, is_whole) == (200, True), (request, first)
        if status in NOT_RUN_STATUSES:
            assert not runs[request], (request, first)
        if status == 200 and prefix != KINDS[passing.STREAM]:
            assert request in whole, (request, first)


@pytest.mark.parametrize('seed', SEEDS)
async def test_healthy_answers_arrive_beside_responses_without_end(
    tmp_path, seed
):
    """Guards against lost answers, second runs and calls that never end."""
    chance = random.Random(seed)
    runs = collections.Counter()
    whole = set()
    answers = {}
    tasks = asyncio.all_tasks()
    made = []
    async with nodes.running(tmp_path, entries=2) as system:
        await system.put(
            *(
                passing.route(
                    kind, prefix, timeout_ms=TIMEOUT_MS, attempts_limit=2
                )
                for kind, prefix in KINDS.items()
            )
        )
        for number in range(ENDPOINTS):
            endpoint = await FaultyEndpoint(chance, runs, whole).start()
            made.append(endpoint)
            await system.register(f'e{number}', endpoint)
        await asyncio.gather(
            *(
                ask(
                    random.Random(f'{seed}-{number}'),
                    system.entries[number % 2].node.callers_address,
                    number,
                    answers,
                )
                for number in range(CALLERS)
            )
        )
        for entry in system.entries:
            await nodes.until(lambda one=entry: not one.passthrough.in_flight)
    await nodes.until(lambda: not any(one.open_count for one in made))
    for endpoint in made:
        await endpoint.close()
    await nodes.until(lambda: asyncio.all_tasks() <= tasks)
    faults = sum((one.fault_counts for one in made), collections.Counter())
    statuses = collections.Counter(
        int(first.split()[1]) for _prefix, first, _last in answers.values()
    )
    print(f'seed {seed}: {dict(statuses)}, {dict(faults)}')
    assert len(answers) == CALLERS * CALLS
    assert faults['fast'] and faults['drip']
    assert_consistent(runs, whole, answers)

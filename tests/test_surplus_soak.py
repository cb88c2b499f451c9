"""Seeded runs of endpoints that double, delay and spoil their responses.

More seeds are run by hand: ``WRENSPOKE_SURPLUS_SEEDS=50``.
"""

import asyncio
import collections
import os
import random

import pytest

from tests import endpoints
from tests import loops
from tests import nodes
from tests import test_passing as passing
from wrenspoke.state import routes

SEEDS = range(int(os.environ.get('WRENSPOKE_SURPLUS_SEEDS', 3)))
ID = passing.ID
CALLERS = 12
CALLS = 25
NOT_RUN_STATUSES = (408, 421, 429, 503)
NOT_RUN = b'Wrenspoke-Not-Run: 1\r\n'
UNNAMED = [
    f'HTTP/1.1 {status}\r\nContent-Length: 0\r\n'.encode() + extra + b'\r\n'
    for status, extra in (
        ('503 Full', NOT_RUN),
        ('429 Busy', NOT_RUN),
        ('421 Other', NOT_RUN),
        ('421 Other', b''),
    )
]


event_loop_policy = loops.event_loop_policy


class FaultyEndpoint(endpoints.ScriptedEndpoint):
    """Runs or refuses requests, and sends some responses twice.

    Without ``names_refusals`` its refusals carry no request id, and one that
    nothing led to may come late.
    """

    def __init__(self, chance, runs, names_refusals):
        super().__init__(None)
        self._chance = chance
        self._runs = runs
        self._names_refusals = names_refusals
        # How often the surplus came in the place of the next response, and
        # how often it named no request.
        self.late_count = 0
        self.late_unnamed_count = 0

    async def restart(self):
        """End every connection, and listen again at the same address."""
        self.abort_all()
        await self.listen_at_same_address()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        late = b''
        try:
            while True:
                sent = await endpoints.read_request(reader)
                if late:
                    self.late_count += 1
                    self.late_unnamed_count += ID.encode() not in late
                    writer.write(late)
                    late = b''
                own = await self._respond(sent)
                late = await self._write(writer, own)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, sent):
        request = endpoints.header(sent, ID)
        refusal = self._chance.choice([None] * 3 + ['503 Full', '429 Busy'])
        await asyncio.sleep(self._chance.random() / 100)
        if refusal is not None:
            own = passing.answer(sent, request.encode(), refusal, NOT_RUN)
            if self._names_refusals:
                return own
            return own.replace(endpoints.echo_header(sent, ID), b'')
        self._runs[request] += 1
        return passing.answer(sent, request.encode())

    async def _write(self, writer, own):
        """Write a response; return what is sent as the next one is due."""
        faults = ['once'] * 4 + ['late', 'idle', 'joined', 'half', 'spoilt']
        if not self._names_refusals:
            faults.append('refusal')
        fault = self._chance.choice(faults)
        if fault in ('once', 'late'):
            writer.write(own)
            return own if fault == 'late' else b''
        if fault == 'refusal':
            writer.write(own)
            return self._chance.choice(UNNAMED)
        if fault == 'idle':
            writer.write(own)
            await asyncio.sleep(self._chance.random() / 50)
            writer.write(own)
        elif fault == 'joined':
            writer.write(own + own)
        elif fault == 'half':
            writer.write(own + own[: self._chance.randrange(1, len(own))])
        else:
            writer.write(own + b'\0 no response')
        return b''


async def ask(address, number, answers):
    """Send requests one after the other on one connection."""
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    for call in range(CALLS):
        request = f'c{number}-{call}'
        sent = passing.request(request_id=request)
        writer.write(sent.replace(b'Connection: close\r\n', b''))
        head = await reader.readuntil(b'\r\n\r\n')
        size = int(endpoints.LENGTH.search(head).group(1))
        body = await reader.readexactly(size)
        answers[request] = int(head.split()[1]), body
    writer.close()


async def restart_some(chance, made):
    while True:
        await asyncio.sleep(chance.random() / 2)
        await chance.choice(made).restart()


@pytest.mark.parametrize('seed', SEEDS)
async def test_surplus_responses_never_decide_about_a_request(tmp_path, seed):
    """Guards against second runs, and refusals of requests that ran."""
    chance = random.Random(seed)
    runs = collections.Counter()
    answers = {}
    async with nodes.running(tmp_path, entries=2) as system:
        await system.put(passing.route(routes.RouteKind.ONCE))
        made = []
        for number in range(12):
            endpoint = await FaultyEndpoint(
                chance, runs, names_refusals=bool(number % 2)
            ).start()
            made.append(endpoint)
            await system.register(f'e{number}', endpoint)
        restarts = asyncio.ensure_future(restart_some(chance, made))
        await asyncio.gather(
            *(
                ask(
                    system.entries[number % 2].node.callers_address,
                    number,
                    answers,
                )
                for number in range(CALLERS)
            )
        )
        restarts.cancel()
        await asyncio.gather(restarts, return_exceptions=True)
        for endpoint in made:
            await endpoint.close()
    statuses = collections.Counter(
        status for status, _body in answers.values()
    )
    late_count = sum(endpoint.late_count for endpoint in made)
    late_unnamed_count = sum(found.late_unnamed_count for found in made)
    print(
        f'seed {seed}: {dict(statuses)}, {late_count} late, '
        f'{late_unnamed_count} of them unnamed'
    )
    assert len(answers) == CALLERS * CALLS
    assert statuses[200] > CALLERS
    assert late_count > late_unnamed_count > 0
    assert {one: count for one, count in runs.items() if count > 1} == {}
    for request, (status, body) in answers.items():
        if status in NOT_RUN_STATUSES:
            assert not runs[request], (request, status)
        if status == 200:
            assert body == request.encode()

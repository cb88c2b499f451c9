"""Probes of endpoints and calls never share a connection."""

import asyncio


from tests import endpoints
from tests import loops
from tests import nodes
from tests import test_passing as passing
from wrenspoke.state import routes

ID = passing.ID
BUSY = (
    b'HTTP/1.1 503 Full\r\nWrenspoke-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
)


event_loop_policy = loops.event_loop_policy


class DoublingEndpoint(endpoints.ScriptedEndpoint):
    """Refuses probes, and repeats a refusal as the next request arrives."""

    def __init__(self):
        super().__init__(None)
        # The request lines of each connection.
        self.connections = []
        self.runs = []

    async def _serve(self, reader, writer):
        lines = []
        self.connections.append(lines)
        surplus = b''
        try:
            while True:
                sent = await endpoints.read_request(reader)
                lines.append(sent.partition(b' HTTP')[0].decode())
                writer.write(surplus)
                if lines[-1] in ('GET /load', 'GET /health'):
                    surplus = BUSY
                    writer.write(BUSY)
                else:
                    surplus = b''
                    self.runs.append(endpoints.header(sent, ID))
                    writer.write(passing.answer(sent))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def count(self, line):
        return sum(one.count(line) for one in self.connections)


def ask(system, number):
    return endpoints.send_raw(
        system.entries[0].node.callers_address,
        passing.request(request_id=f'q{number}'),
    )


async def test_surplus_refusal_of_a_report_is_not_that_of_a_call(tmp_path):
    """Guards against a call that ran and is said not to have run."""
    async with nodes.running(tmp_path) as system:
        await system.put(
            passing.route(routes.RouteKind.ONCE),
            batch=routes.Batch(8, 9_000),
        )
        endpoint = await DoublingEndpoint().start()
        await system.register('e', endpoint)
        for number in range(4):
            polls = endpoint.count('GET /load')
            await nodes.until(
                lambda polls=polls: endpoint.count('GET /load') > polls
            )
            got = await ask(system, number)
            assert got.endswith(b'whole'), got
        assert endpoint.runs == ['q0', 'q1', 'q2', 'q3']
        for lines in endpoint.connections:
            assert len(set(lines)) == 1
        await endpoint.close()


async def test_warmup_probe_uses_a_connection_of_its_own(tmp_path):
    """Guards against an outdated status, and the refusal of a call."""
    async with nodes.running(tmp_path) as system:
        await system.put(
            passing.route(routes.RouteKind.ONCE), warmup_per_s=2.0
        )
        endpoint = await DoublingEndpoint().start()
        await system.register('e', endpoint)
        system.ask = lambda sent: endpoints.send_raw(
            system.entries[0].node.callers_address, sent
        )
        await ask(system, 0)
        for _round in range(2):
            await passing.evacuate_and_restore(system)
        probes = [
            lines for lines in endpoint.connections if 'GET /health' in lines
        ]
        assert len(probes) == 2
        assert all(lines == ['GET /health'] for lines in probes)
        await endpoint.close()


class LateRefusals(endpoints.ScriptedEndpoint):
    """Reports its load; a refusal is late on each connection used again."""

    REPORT = b'0 1 9 9000000'
    REFUSAL = BUSY.replace(b'Content', b'Retry-After: 60\r\nContent')

    def __init__(self):
        super().__init__(None)
        self.late_count = 0

    async def _serve(self, reader, writer):
        polls = 0
        try:
            while True:
                sent = await endpoints.read_request(reader)
                is_poll = sent.startswith(b'GET /load ')
                polls += is_poll
                if is_poll and polls > 1:
                    self.late_count += 1
                    writer.write(self.REFUSAL)
                body = self.REPORT if is_poll else b'whole'
                writer.write(passing.answer(sent, body))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def test_late_refusal_of_a_report_starts_no_backoff(tmp_path):
    """Guards against calls refused for a backoff that nobody asked for."""
    async with nodes.running(tmp_path, reports=nodes.Reports()) as system:
        await system.put(
            passing.route(routes.RouteKind.ONCE),
            batch=routes.Batch(8, 9_000_000),
        )
        engine = await LateRefusals().start()
        await system.register('e', engine)
        loads = system.entries[0]._engine_loads
        await nodes.until(lambda: loads.load('e'))
        for number in range(3):
            await nodes.until(lambda seen=number: engine.late_count > seen)
            got = await ask(system, number)
            assert got.endswith(b'whole'), got
        await engine.close()

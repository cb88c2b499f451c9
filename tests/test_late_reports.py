"""A report that arrives late is not taken for the engine's present load."""

import types

from tests import endpoints
from tests import loops
from tests import test_engine_loads
from wrenspoke.transport import web

event_loop_policy = loops.event_loop_policy


class TextReader:
    """Returns reports as they are."""

    path = '/report'

    def read(self, _endpoint, body):
        return body


def report(text):
    return b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n' + text


async def test_late_report_is_not_the_present_load():
    """Guards against a load, limit or back-off of an earlier report.

    An engine sends its first report a second time, as the next is asked for.
    """

    def script(_sent, number):
        if number == 2:
            return [report(b'one'), report(b'two')]
        return [report(b'one')]

    endpoint = await endpoints.ScriptedEndpoint(script).start()
    hosts = [test_engine_loads.record(1)]
    gauged = test_engine_loads.engine_loads_of('h1', hosts, [])
    gauged._client = web.HttpClient(1_000)
    gauged._reader = TextReader()
    found = test_engine_loads.registered(1)
    found = types.SimpleNamespace(
        registration=types.SimpleNamespace(
            endpoint='e1',
            address=endpoint.address,
            born_ms=found.registration.born_ms,
        )
    )
    try:
        assert await gauged._poll_engine(found) == b'one'
        assert await gauged._poll_engine(found) in (b'two', None)
    finally:
        await gauged._client.close()
        await endpoint.close()

"""Malformed requests get a specific error and don't affect others."""

import asyncio

import msgspec
import pytest

from tests import fleet
from wrenspoke.protocol import headers
from wrenspoke.transport import web

GOOD = {'messages': [{'role': 'user', 'content': 'hi'}]}
IDLE_CONNECTIONS = 400


@pytest.fixture
async def running(tmp_path):
    """Run one region with small body limits."""
    made = fleet.deployment(
        regions=('north',),
        entry={'body_limit_bytes': 10_000, 'body_timeout_ms': 500},
    )
    async with fleet.running(tmp_path, made) as started:
        yield started


async def post_raw(running, body, sent=None, path='/v1/chat/completions'):
    """Post raw bytes; return the status and the decoded error."""
    client = web.HttpClient(1000)
    try:
        async with client.send(
            'POST', running.url('north-1') + path, sent or {}, body
        ) as found:
            raw = await web.read_body(found, 1 << 20)
            return found.status, msgspec.json.decode(raw)
    finally:
        await client.close()


BAD = [
    ('no json', b'{', {}, 400, 'body'),
    ('wrong type', b'{"messages": 3}', {}, 400, 'messages'),
    ('no messages', b'{"messages": []}', {}, 400, 'body.messages'),
    ('unknown model', msgspec.json.encode({**GOOD, 'model': 'x'}), {}, 404,
     'body.model'),
    ('too large', b' ' * 20_000, {}, 413, 'body'),
    ('deadline', None, {headers.DEADLINE_MS: 'soon'}, 400,
     headers.DEADLINE_MS),
    ('deadline range', None, {headers.DEADLINE_MS: '0'}, 400,
     headers.DEADLINE_MS),
    ('priority', None, {headers.PRIORITY: 'top'}, 400, headers.PRIORITY),
    ('flag', None, {headers.BOUND: 'yes'}, 400, headers.BOUND),
    ('no home', None, {headers.BOUND: 'true'}, 400, headers.HOME),
    ('unknown home', None,
     {headers.BOUND: 'true', headers.HOME: 'moon'}, 400, headers.HOME),
    ('id with spaces', None, {headers.REQUEST: 'a b'}, 400,
     headers.REQUEST),
    ('once without key', None,
     {headers.ONCE: 'true', headers.REQUEST: 'mine'}, 400, headers.REQUEST),
    ('forged hop', None, {headers.HOP: 'Zm9yZ2Vk'}, 403, headers.HOP),
    ('hop not base64', None, {headers.HOP: '!'}, 403, headers.HOP),
]  # fmt: skip


@pytest.mark.parametrize(
    'what, body, sent, status, field', BAD, ids=[row[0] for row in BAD]
)
async def test_bad_requests_name_the_field(
    running, what, body, sent, status, field
):
    body = msgspec.json.encode(GOOD) if body is None else body
    found, answer = await post_raw(running, body, sent)
    assert found == status, answer
    assert field in answer['error']['message']
    assert answer['error']['outcome'] == 'not_run'
    assert not (await running.runs('north-chat-1'))['runs']


@pytest.mark.parametrize(
    'lines',
    [
        b'GET /map HTTP/1.1\r\nHost: a\r\nX: a\rWrenspoke-Home: b\r\n\r\n',
        b'GET /map HTTP/1.1\r\nHost: a\r\nBad Name: b\r\n\r\n',
        b'nonsense\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'x' * 20_000 + b'\r\n\r\n',
    ],
    ids=['injected', 'bad name', 'no http', 'too long'],
)
async def test_bad_http_is_refused(running, lines):
    port = running.settings.host('north-1').http_port
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(lines)
    first = await asyncio.wait_for(reader.readline(), fleet.WAIT_S)
    assert b' 400 ' in first
    writer.close()
    result = await running.caller('north-1').chat(GOOD)
    assert result.outcome == 'whole'


async def test_slow_senders_and_idle_connections_harm_nobody(running):
    port = running.settings.host('north-1').http_port
    idle = [
        await asyncio.open_connection('127.0.0.1', port)
        for _number in range(IDLE_CONNECTIONS)
    ]
    slow_reader, slow_writer = await asyncio.open_connection('127.0.0.1', port)
    slow_writer.write(
        b'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
        b'Content-Length: 100\r\n\r\n{'
    )
    result = await running.caller('north-1').chat(GOOD)
    assert result.outcome == 'whole'
    first = await asyncio.wait_for(slow_reader.readline(), fleet.WAIT_S)
    assert b' 408 ' in first
    for _reader, writer in [*idle, (slow_reader, slow_writer)]:
        writer.close()
    result = await running.caller('north-1').chat(GOOD)
    assert result.outcome == 'whole'

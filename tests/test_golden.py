"""HTTP exchanges compared with golden files, except times, ids, ports."""

import re

import approvaltests
from approvaltests import namer
import msgspec
import pytest

from tests import fleet
from tests import test_control
from wrenspoke.protocol import headers
from wrenspoke.transport import errors
from wrenspoke.transport import web

CHAT = {
    'model': fleet.MODEL,
    'messages': [{'role': 'user', 'content': 'Which run is open?'}],
    'max_tokens': 3,
}
SHOWN = ('Content-Type', 'Retry-After', 'Last-Event-ID')
PATTERNS = [
    (r'127\.0\.0\.1:\d+', 'IP:PORT'),
    (r'\b[0-9a-f]{16}/[0-9a-f]{16}\b', 'REQUEST/ATTEMPT'),
    (r'\b[a-z]+:\d{13}:[0-9a-f]{16}(/[0-9a-f]{16})?', 'ONCE-KEY'),
    (r'\b[0-9a-f]{16}\b', 'ID'),
    (r'"(\w+_ms)":[1-9]\d{3,}', r'"\1":MS'),
    (r'("(?:\w+_)?index":)\d+', r'\1INDEX'),
]


def normalise(text):
    """Replace the values that differ between runs by placeholders."""
    for pattern, name in PATTERNS:
        text = re.sub(pattern, name, text)
    return text


def format_response(found, body):
    """Return the status, shown headers and body of a response as text."""
    lines = [f'< {found.status}']
    for name in sorted(found.headers):
        if name in SHOWN or name.startswith(headers.PREFIX):
            lines.append(f'< {name}: {found.headers[name]}')
    return '\n'.join(lines) + '\n\n' + body


async def record_exchange(running, host, method, path, body=None, sent=None):
    """Send one request and return the exchange as text."""
    client = web.HttpClient(1000)
    data = None if body is None else msgspec.json.encode(body)
    lines = [f'> {method} {path}']
    for name, value in (sent or {}).items():
        lines.append(f'> {name}: {value}')
    try:
        url = running.url(host) + path
        async with client.send(method, url, sent or {}, data) as found:
            parts = []
            try:
                async for chunk in web.read_chunks(found):
                    parts.append(chunk)
            except errors.MaybeSentError:
                parts.append(b'(connection broken)\n')
            told = format_response(found, b''.join(parts).decode())
    finally:
        await client.close()
    return '\n'.join(lines) + '\n' + told + '\n'


async def chat_stream(running):
    return await record_exchange(
        running,
        'north-1',
        'POST',
        '/v1/chat/completions',
        {**CHAT, 'stream': True},
    )


async def chat_whole(running):
    return await record_exchange(
        running, 'north-1', 'POST', '/v1/chat/completions', CHAT
    )


async def forwarded(running):
    sent = {headers.HOME: 'south', headers.BOUND: 'true'}
    return await record_exchange(
        running,
        'north-1',
        'POST',
        '/v1/chat/completions',
        {**CHAT, 'stream': True},
        sent,
    )


async def resumed(running):
    await running.faults('north-chat-1', break_after_events=2, break_times=1)
    return await chat_stream(running)


async def broken_for_good(running):
    await running.faults('north-chat-1', break_after_events=1, break_times=99)
    return await chat_stream(running)


async def plain(running):
    return await record_exchange(
        running, 'north-1', 'PUT', '/services/records/map?x=1', {'a': 1}
    )


async def once(running):
    return await record_exchange(
        running, 'north-1', 'POST', '/services/records/release/7', {}
    )


async def refused(running):
    sent = {headers.BOUND: 'true'}
    told = await record_exchange(
        running, 'north-1', 'GET', '/services/records/member/1', None, sent
    )
    return told + await record_exchange(
        running, 'north-1', 'GET', '/services/nowhere/x'
    )


async def models_and_directory(running):
    told = await record_exchange(running, 'north-1', 'GET', '/v1/models')
    return told + await record_exchange(
        running, 'north-1', 'GET', '/directory'
    )


async def plan_and_confirm(running):
    operator = running.operator()
    parts = []
    intent = {'type': 'drain', 'endpoint': 'north-chat-1'}
    planned = await operator.plan(1, intent)
    parts.append(planned)
    plan = planned.body['answer']['plan']
    parts.append(await operator.confirm(2, plan))
    parts.append(await operator.plan(2, test_control.limit_intent('a', 1)))
    return '\n'.join(
        f'< {part.status}\n{msgspec.json.encode(part.body).decode()}\n'
        for part in parts
    )


SESSIONS = [
    chat_stream,
    chat_whole,
    forwarded,
    resumed,
    broken_for_good,
    plain,
    once,
    refused,
    models_and_directory,
    plan_and_confirm,
]


@pytest.mark.parametrize(
    'record_scenario', SESSIONS, ids=[play.__name__ for play in SESSIONS]
)
async def test_session(tmp_path, record_scenario):
    made = fleet.deployment(controls=1)
    async with fleet.running(tmp_path, made) as running:
        text = normalise(await record_scenario(running))
    options = approvaltests.Options().with_namer(
        _Namer(record_scenario.__name__)
    )
    approvaltests.verify(text, options=options)


class _Namer(namer.NamerBase):
    """Names golden files by scenario, in one folder."""

    def __init__(self, name):
        super().__init__()
        self._name = name

    def get_file_name(self):
        return self._name

    def get_directory(self):
        return f'{__file__.rsplit("/", 1)[0]}/approved'

    def get_config(self):
        return {}

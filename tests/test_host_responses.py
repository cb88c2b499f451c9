"""Responses of hosts are compared with the request they are read for."""

import types

import pytest

from tests import endpoints
from tests import nodes
from wrenspoke.coordination.serving import forwarding
from wrenspoke.coordination.serving import take_up
from wrenspoke.protocol import headers
from wrenspoke.protocol import kept_answers
from wrenspoke.protocol import passthrough_api
from wrenspoke.protocol import requests
from wrenspoke.transport import web

TOKEN = 't1'
HEAD = requests.RequestHead(
    'r1', requests.RequestKind.PLAIN, 'GET', '/', 's', 500
)


def response(status, *fields):
    lines = [f'HTTP/1.1 {status}', *fields, 'Content-Length: 4']
    return '\r\n'.join(lines).encode() + b'\r\n\r\nrest'


FOREIGN = {
    'rest of another answer': response(
        '200 OK', f'{passthrough_api.TAKEN_UP_HEADER}: t0'
    ),
    'recall of another call': response(
        '410 Gone',
        f'{passthrough_api.REFUSED_HEADER}: unknown_answer',
        f'{passthrough_api.RECALLED_HEADER}: t0',
    ),
    'response to a call': response('200 OK', 'Wrenspoke-Request-Id: q1'),
}
UNKNOWN = response(
    '410 Gone', f'{passthrough_api.REFUSED_HEADER}: unknown_answer'
)


async def forward(endpoint):
    """Ask a host for the rest of an answer; return whether it came."""
    client = web.HttpClient(5_000)
    forwarder = take_up.TakeUpForwarder(client, lambda _host: endpoint.address)
    request = kept_answers.TakeUp('h1', TOKEN, 0)
    reply = types.SimpleNamespace(recalled=None)
    try:
        yield await forwarder.forward(request, reply), reply.recalled
    finally:
        await client.close()


@pytest.mark.parametrize('name', FOREIGN)
async def test_foreign_response_to_a_take_up_closes_its_connection(name):
    """Guards against a host connection that stays one response behind."""
    endpoint = await endpoints.ScriptedEndpoint(
        lambda _sent, _number: [FOREIGN[name]]
    ).start()
    async for found in forward(endpoint):
        assert found == (False, None)
        await nodes.until(endpoint.peer_closed.is_set)
    await endpoint.close()


async def test_connection_of_a_host_that_knows_no_answer_is_kept():
    endpoint = await endpoints.ScriptedEndpoint(
        lambda _sent, _number: [UNKNOWN]
    ).start()
    async for found in forward(endpoint):
        assert found == (False, None)
        assert not endpoint.peer_closed.is_set()
    await endpoint.close()


@pytest.mark.parametrize(
    'fields, own',
    [
        ({headers.REQUEST: 'r1'}, True),
        ({headers.REQUEST: 'r0'}, False),
        ({headers.REQUEST: ''}, True),
        ({}, True),
    ],
)
def test_forwarded_response_is_own_by_its_request_id(fields, own):
    found = types.SimpleNamespace(headers=fields)
    assert forwarding._is_own(HEAD, found) is own

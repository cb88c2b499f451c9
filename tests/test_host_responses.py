"""Responses of hosts are compared with the request they are read for."""

import types
from unittest import mock

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
    'refusal of another request': response(
        '410 Gone',
        f'{passthrough_api.REFUSED_HEADER}: unknown_answer',
        f'{passthrough_api.TAKE_UP_HEADER}: t0',
    ),
}
REFUSED = f'{passthrough_api.REFUSED_HEADER}: unknown_answer'
UNKNOWN = response(
    '410 Gone', REFUSED, f'{passthrough_api.TAKE_UP_HEADER}: {TOKEN}'
)
UNNAMED = response('410 Gone', REFUSED)


async def forward(endpoint):
    """Ask a host for the rest of an answer; yield whether it came."""
    async for found, _client in forward_by(endpoint):
        yield found


async def forward_by(endpoint):
    """Ask a host for the rest of an answer; yield the client as well."""
    client = web.HttpClient(5_000)
    forwarder = take_up.TakeUpForwarder(client, lambda _host: endpoint.address)
    request = kept_answers.TakeUp('h1', TOKEN, 0)
    reply = types.SimpleNamespace(recalled=None)
    try:
        found = await forwarder.forward(request, reply)
        yield (found, reply.recalled), client
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


@pytest.mark.parametrize(
    'refusal, kept',
    [(UNKNOWN, True), (UNNAMED, False)],
    ids=['named', 'unnamed'],
)
async def test_connection_of_a_host_that_knows_no_answer(refusal, kept):
    """Guards against a copy of an unnamed refusal for a later request."""
    endpoint = await endpoints.ScriptedEndpoint(
        lambda _sent, _number: [refusal]
    ).start()
    async for found, client in forward_by(endpoint):
        assert found == (False, None)
        assert client.count_idle(endpoint.address, 0) == kept
    await endpoint.close()


@pytest.mark.parametrize(
    'fields, request_count, own',
    [
        ({headers.REQUEST: 'r1'}, 1, True),
        ({headers.REQUEST: 'r1'}, 2, True),
        ({headers.REQUEST: 'r0'}, 1, False),
        ({headers.REQUEST: ''}, 1, True),
        ({headers.REQUEST: ''}, 2, False),
        ({}, 1, True),
        ({}, 2, False),
    ],
)
def test_forwarded_response_is_own_by_its_request_id(
    fields, request_count, own
):
    """Guards against an unnamed response left over from another request."""
    protocol = mock.Mock(request_count=request_count)
    found = types.SimpleNamespace(
        headers=fields, _protocol=protocol, connection=None
    )
    assert forwarding._is_own(HEAD, found) is own

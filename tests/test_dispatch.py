"""The checks that run before a request is sent to an endpoint."""

import dataclasses
import types
from unittest import mock

import msgspec
import pytest

from wrenspoke.coordination.serving import concurrency_limits
from wrenspoke.coordination.serving import dispatch
from wrenspoke.coordination.serving import placement
from wrenspoke.protocol import headers
from wrenspoke.protocol import requests
from wrenspoke.state import configuration

NOW_MS = 1000
ENDPOINT = configuration.Endpoint('e1', 's', 'north', 'hall', 'http://h')
OTHER = msgspec.structs.replace(ENDPOINT, endpoint='e2')
HEAD = requests.RequestHead(
    'r1', requests.RequestKind.PLAIN, 'GET', '/', 's', NOW_MS + 500
)
BOUND = {'bound': True, 'home': 'north'}
ORDER = [
    'configuration',
    'quarantine',
    'residency',
    'hops',
    'deadline',
    'endpoint_state',
    'limits',
    'endpoint_limit',
    'claim',
]


class FakeClock:
    """Clock that does not advance."""

    def mono_ms(self):
        return NOW_MS


def slot(endpoint=ENDPOINT, is_open=True):
    """Return a slot at an endpoint, released unless ``is_open``."""
    made = placement.Slot(
        endpoint,
        concurrency_limits.AdaptiveLimit(4, FakeClock()),
        lambda _name: False,
        lambda: None,
    )
    if not is_open:
        made.release()
    return made


def ticket(request='r1', used=False):
    made = dispatch.ClaimTicket(request, 'a1')
    made.used = used
    return made


def first_failing_check(head=None, send=None, context=None):
    """Return the name of the first failing check, None if all pass."""
    changed = msgspec.structs.replace(HEAD, **(head or {}))
    fields = {'head': changed, 'slot': slot(), **(send or {})}
    purpose = fields.pop('purpose', dispatch.Purpose.FIRST)
    made = dispatch.Send(purpose, 'e1', 'GET', '/', **fields)
    context_fields = {
        'host': 'north-1',
        'region': 'north',
        'now_ms': NOW_MS,
        'endpoint': ENDPOINT,
        'takes_work': True,
        'configuration_current': True,
        **(context or {}),
    }
    for name, check in dispatch.CHECKS.items():
        if check(made, dispatch.CheckContext(**context_fields)) is not None:
            return name
    return None


RETRY = dispatch.Purpose.RETRY
RESUME = dispatch.Purpose.RESUME
LOAD = dispatch.Purpose.LOAD
TABLE = [
    ('all is well', {}, {}, {}, None),
    ('was stopped', {}, {}, {'configuration_current': False}, 'configuration'),
    ('load poll of a stopped host', {}, {'purpose': LOAD},
     {'configuration_current': False}, None),
    ('held', {}, {}, {'quarantined_ms': 5}, 'quarantine'),
    ('resumed though held', {}, {'purpose': RESUME}, {'quarantined_ms': 5},
     'quarantine'),
    ('load poll', {}, {'purpose': LOAD}, {'quarantined_ms': 5}, None),
    ('another region', {}, {}, {'region': 'south'}, 'residency'),
    ('bound at home', BOUND, {}, {}, None),
    ('bound elsewhere', {**BOUND, 'home': 'south'}, {}, {}, 'residency'),
    ('one hop', {'path_of_hosts': ('a',)}, {}, {}, None),
    ('two hops', {'path_of_hosts': ('a', 'b')}, {}, {}, 'hops'),
    ('came back', {'path_of_hosts': ('north-1',)}, {}, {}, 'hops'),
    ('too late', {'deadline_ms': NOW_MS}, {}, {}, 'deadline'),
    ('leaving', {}, {}, {'takes_work': False}, 'endpoint_state'),
    ('retry to a leaving one', {}, {'purpose': RETRY},
     {'takes_work': False}, 'endpoint_state'),
    ('resumed at a leaving one', {}, {'purpose': RESUME},
     {'takes_work': False}, None),
    ('no place', {}, {'slot': None}, {}, 'limits'),
    ('place given back', {}, {'slot': slot(is_open=False)}, {}, 'limits'),
    ('place elsewhere', {}, {'slot': slot(OTHER)}, {}, 'limits'),
    ('no leave of its endpoint', {}, {}, {'admitted': False},
     'endpoint_limit'),
    ('resumed without leave', {}, {'purpose': RESUME}, {'admitted': False},
     'endpoint_limit'),
    ('load poll without leave', {}, {'purpose': LOAD}, {'admitted': False},
     None),
    ('once without claim', {'once': True}, {}, {}, 'claim'),
    ('once with claim', {'once': True}, {'ticket': ticket()}, {}, None),
    ('claim of another', {'once': True}, {'ticket': ticket('r2')}, {},
     'claim'),
    ('claim used', {'once': True}, {'ticket': ticket(used=True)}, {},
     'claim'),
]  # fmt: skip


@pytest.mark.parametrize(
    'what, head, send, context, check', TABLE, ids=[row[0] for row in TABLE]
)
def test_checks(what, head, send, context, check):
    assert first_failing_check(head, send, context) == check


def test_checks_run_in_fixed_order():
    assert list(dispatch.CHECKS) == ORDER


def test_ticket_is_good_for_one_send():
    shown = ticket()
    fields = {'ticket': shown}
    assert first_failing_check({'once': True}, fields) is None
    assert first_failing_check({'once': True}, fields) == 'claim'
    shown.mark_unsent()
    assert first_failing_check({'once': True}, fields) is None


SENT = dispatch.Send(dispatch.Purpose.FIRST, 'e1', 'GET', '/', head=HEAD)
ONCE = msgspec.structs.replace(HEAD, once=True)


@pytest.mark.parametrize(
    'found, status, once, echoes, request_count, own',
    [
        ('own', 200, False, True, 1, True),
        ('own', 503, True, True, 2, True),
        ('r1/another', 200, False, True, 1, False),
        ('r1/another', 503, False, True, 1, False),
        ('r1/another', 429, False, True, 1, False),
        (None, 200, False, True, 1, False),
        (None, 503, False, True, 1, True),
        (None, 429, False, True, 1, True),
        (None, 503, False, True, 2, False),
        (None, 429, False, True, 2, False),
        (None, 503, True, True, 1, False),
        ('made by the endpoint', 200, False, False, 1, True),
    ],
)
def test_response_is_own_by_the_echoed_id(
    found, status, once, echoes, request_count, own
):
    """Guards against an overload status of another request's response."""
    send = dataclasses.replace(SENT, head=ONCE if once else HEAD)
    endpoint = msgspec.structs.replace(ENDPOINT, echoes_request_id=echoes)
    echo = {'own': send.echo_id}.get(found, found)
    fields = {} if echo is None else {headers.ECHOED_REQUEST_ID: echo}
    protocol = mock.Mock(request_count=request_count)
    response = types.SimpleNamespace(
        status=status, headers=fields, _protocol=protocol, connection=None
    )
    assert dispatch._is_own(send, endpoint, response) is own

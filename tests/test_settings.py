"""Invalid settings are rejected, with a message for every problem."""

import json
import pathlib

import pytest

from tests import fleet
from wrenspoke import reference
from wrenspoke import settings

EXAMPLES = sorted(
    (pathlib.Path(__file__).parent.parent / 'examples').glob('*.json')
)


def changed(change):
    """Return changed settings as JSON."""
    settings_map = fleet.deployment()
    change(settings_map)
    return json.dumps(settings_map)


def drop(name):
    """Return a change that removes a field."""
    return lambda settings_map: settings_map.pop(name)


def put(value, *path):
    """Return a change that sets the value at a path."""

    def change(settings_map):
        for part in path[:-1]:
            settings_map = settings_map[part]
        settings_map[path[-1]] = value

    return change


WRONG = [
    (drop('cluster'), 'cluster: required'),
    (put('North', 'hosts', 0, 'host'), "hosts.0.host: found 'North'"),
    (put(70000, 'hosts', 0, 'http_port'), 'hosts.0.http_port: found 70000'),
    (put('here', 'hosts', 0, 'ip'), "hosts.0.ip: found 'here'"),
    (put(1, 'hosts', 0, 'prot'), 'hosts.0.prot: unknown field'),
    (put(0, 'entry', 'queue_limit'), 'entry.queue_limit: found 0'),
    (put('fastest', 'entry', 'policy'), "entry.policy: found 'fastest'"),
    (put(150, 'entry', 'suspect_after_ms'), 'entry.suspect_after_ms'),
    (put(100, 'control', 'election_timeout_ms'),
     'control.election_timeout_ms'),
    (put('nope', 'endpoints', 0, 'service'), 'endpoints.0.service'),
    (put('moon', 'endpoints', 0, 'region'), 'endpoints.0.region'),
    (put('ftp://a', 'endpoints', 0, 'url'), 'endpoints.0.url'),
    (put('north-1', 'hosts', 1, 'host'), "'north-1' occurs 2 times"),
    (put('x', 'operators', 0, 'token_sha256'), 'operators.0.token_sha256'),
    (put(['control'], 'hosts', 0, 'roles'), 'hosts.0.data_folder: required'),
]  # fmt: skip


@pytest.mark.parametrize(
    'change, problem', WRONG, ids=[row[1] for row in WRONG]
)
def test_wrong_field_is_named(change, problem):
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse(changed(change))
    assert any(problem in line for line in caught.value.problems)


def test_every_problem_is_told_at_once():
    def change(settings_map):
        settings_map.pop('cluster')
        settings_map['hosts'][0]['http_port'] = 0
        settings_map['extra'] = 1

    with pytest.raises(settings.SettingsError) as caught:
        settings.parse(changed(change))
    assert len(caught.value.problems) == 3


@pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.name)
def test_examples_are_good(path):
    deployment = settings.read(path)
    entries = deployment.with_role('entry')
    assert len(entries) in (8, 9)
    assert len({host.region for host in entries}) == 3
    counts = {}
    for endpoint in deployment.endpoints:
        counts[endpoint.service] = counts.get(endpoint.service, 0) + 1
    assert sorted(counts.values()) == [3, 6]


def test_settings_page_matches_reference():
    path = pathlib.Path(__file__).parent.parent / 'docs' / 'SETTINGS.md'
    assert path.read_text() == reference.text()

"""Authentication of teams by keys on the native HTTP interface."""

import json
import subprocess
import sys

import msgspec
import pytest

from tests import fleet
from tests import test_control
from tests import test_path
from wrenspoke.protocol import headers
from wrenspoke.protocol import requests
from wrenspoke.state import configuration
from wrenspoke.state import errors
from wrenspoke.state import plans
from wrenspoke.state import teams

DIGEST, OTHER = 'a' * 32, 'b' * 32


def configuration_with_keys(**keys):
    """Return a configuration with the given key digest of each team."""
    made = configuration.Configuration(index=1)
    for team, digest in keys.items():
        change = configuration.IssueKey(team, digest)
        made = configuration.apply(made, change, made.index + 1)
    return made


def test_withdrawn_key_is_held_by_nobody():
    made = configuration_with_keys(blue=DIGEST, red=OTHER)
    change = configuration.WithdrawKey(DIGEST)
    made = configuration.apply(made, change, made.index + 1)
    assert made.keys == {OTHER: 'red'}


@pytest.mark.parametrize(
    'change, named',
    [
        (configuration.IssueKey('red', DIGEST), ['blue', 'red']),
        (configuration.IssueKey('red', 'no digest'), ['digest']),
        (configuration.IssueKey('red', DIGEST.upper()), ['digest']),
        (configuration.WithdrawKey(OTHER), [OTHER]),
    ],
    ids=['shared', 'no digest', 'capitals', 'held by nobody'],
)
def test_wrong_changes_of_keys_are_named(change, named):
    with pytest.raises(errors.StateError) as raised:
        configuration.apply(configuration_with_keys(blue=DIGEST), change, 9)
    for text in named:
        assert text in str(raised.value)


def test_plan_says_how_many_keys_a_team_has_left():
    made = configuration_with_keys(blue=DIGEST)
    draft = plans._PLANNERS[plans.WithdrawKey](plans.WithdrawKey(DIGEST), made)
    assert 'blue' in draft.summary and '0 left' in draft.summary


@pytest.mark.parametrize(
    'found, key',
    [
        ({'Authorization': 'Bearer abc'}, 'abc'),
        ({'Authorization': 'bearer  abc '}, 'abc'),
        ({'Authorization': 'Basic abc'}, ''),
        ({'Authorization': 'abc'}, ''),
        ({}, ''),
    ],
)
def test_key_is_read_behind_its_scheme(found, key):
    assert requests.HeaderReader(found).key() == key


def run_team_key_cli(tmp_path, made, *more, given=None):
    """Run ``wrenspoke team-key`` and return its output by field name."""
    path = tmp_path / 'deployment.json'
    path.write_text(json.dumps(made))
    done = subprocess.run(
        [sys.executable, '-m', 'wrenspoke.cli', 'team-key', str(path), *more],
        capture_output=True,
        text=True,
        input=given,
    )
    assert done.returncode == 0, done.stderr
    return dict(line.split(': ') for line in done.stdout.splitlines())


def test_command_prints_the_digest_of_the_key_it_generated(tmp_path):
    made = fleet.deployment()
    drawn = run_team_key_cli(tmp_path, made)
    again = run_team_key_cli(tmp_path, made, '--of', given=drawn['key'] + '\n')
    assert again == {'digest': drawn['digest']}
    assert run_team_key_cli(tmp_path, made)['key'] != drawn['key']


async def test_callers_need_a_key_once_one_was_issued(tmp_path):
    """Issued and withdrawn keys apply on every host once confirmed."""
    made = fleet.deployment(controls=1)
    async with fleet.running(tmp_path, made) as running:
        secret = teams.derive_secret(made['cluster'])
        key = teams.new_key()
        digest = teams.digest_of(key, secret).hex()
        operator = running.operator()

        async def ask(shown):
            caller = running.caller('north-1')
            sent = {headers.TEAM: 'red'}
            if shown:
                sent['Authorization'] = f'Bearer {shown}'
            body = {'model': fleet.MODEL, 'messages': test_path.MESSAGES}
            return await caller.chat(body, sent)

        assert (await ask('')).outcome == 'whole'
        issue = {'type': 'issue_key', 'team': 'blue', 'digest': digest}
        done = await test_control.apply_intent(operator, 1, issue)
        await test_control.wait_in_force(running, done.body['answer']['index'])
        assert (await ask(key)).outcome == 'whole'
        for wrong in ('', key + 'x', teams.new_key()):
            refused = await ask(wrong)
            assert (refused.outcome, refused.reason) == (
                'not_run',
                'unknown_key',
            )
        shown = await operator.show('/configuration')
        assert shown.body['keys'] == {digest: 'blue'}
        assert key not in json.dumps(msgspec.to_builtins(shown.body))
        withdraw = {'type': 'withdraw_key', 'digest': digest}
        done = await test_control.apply_intent(operator, 3, withdraw)
        await test_control.wait_in_force(running, done.body['answer']['index'])
        # Without any key left every request is rejected.
        for wrong in ('', key):
            assert (await ask(wrong)).reason == 'unknown_key'
        logs = ''.join(path.read_text() for path in tmp_path.rglob('*.log'))
        assert key not in logs

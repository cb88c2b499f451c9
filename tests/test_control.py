"""Operator decisions are accepted once, durable and applied everywhere."""

import asyncio
import random

import msgspec
import pytest

from tests import fleet
from wrenspoke import clock as clocks
from wrenspoke import keys
from wrenspoke.transport import errors
from wrenspoke.transport import links

RETRY_NUMBER_OFFSET = 100_000
CONTROLS = ('control-1', 'control-2', 'control-3')


def limit_intent(team, rate):
    """Return an intent that sets a team's rate limit."""
    return {
        'type': 'change_limit',
        'limit': {'team': team, 'requests_per_s': rate, 'burst': 5},
    }


@pytest.fixture
async def running(tmp_path):
    """Run three control hosts and two entry hosts, behind relays."""
    made = fleet.deployment(controls=3)
    async with fleet.running(tmp_path, made, relays=True) as started:
        await started.wait_voters(3)
        yield started


async def apply_intent(operator, number, intent):
    """Plan and confirm an intent; return the answer to the confirmation.

    If the configuration changes in between, the intent is planned again, as
    an operator would do.
    """
    while True:
        planned = await operator.plan(number, intent)
        assert planned.status == 200, planned
        plan = planned.body['answer']['plan']
        confirmed = await operator.confirm(number + 1, plan)
        if confirmed.body['answer']['verdict'] != 'moved_on':
            return confirmed
        number += RETRY_NUMBER_OFFSET


async def wait_in_force(running, index, hosts=('north-1', 'south-1')):
    """Wait until entry hosts have applied an index."""

    async def reached():
        found = [await running.status(host) for host in hosts]
        return all(one and one['index'] >= index for one in found)

    await fleet.until(reached, f'index {index}')


async def limits_by_team(running, host):
    """Return the team limits in a control host's configuration."""
    client = running.operator(hosts=[host])
    found = await client.show('/configuration')
    return found.body['limits']


async def test_drain_by_plan_and_confirm(running):
    operator = running.operator()
    planned = await operator.plan(
        1, {'type': 'drain', 'endpoint': 'north-chat-1'}
    )
    costs = planned.body['plan']['costs']
    assert (costs['capacity_lost'], costs['caches_cold']) == (1.0, 1)
    plan = planned.body['answer']['plan']
    assert (await operator.show(f'/plans/{plan}')).body['plan'][
        'state'
    ] == 'proposed'
    confirmed = await operator.confirm(2, plan)
    assert confirmed.status == 200

    async def done():
        shown = await operator.show(f'/plans/{plan}')
        return shown.body['plan']['state'] == 'done'

    await fleet.until(done, 'the drain')
    caller = running.caller('north-1')
    body = {'messages': [{'role': 'user', 'content': 'x'}], 'stream': True}
    result = await caller.chat(body)
    assert result.outcome == 'whole'
    runs = await running.runs('north-chat-1')
    assert not runs['runs']


async def test_same_number_gets_the_same_answer(running):
    operator = running.operator()
    intent = limit_intent('blue', 5)
    first = await operator.plan(1, intent)
    assert (await operator.plan(1, intent)).body == first.body
    other = await operator.plan(1, limit_intent('blue', 6))
    assert other.status == 409
    plan = first.body['answer']['plan']
    confirmed = await operator.confirm(2, plan)
    again = await operator.confirm(2, plan)
    assert again.body['answer'] == confirmed.body['answer']
    # Request numbers are scoped to the operator.
    second = running.operator(fleet.TOKEN + '2')
    assert (await second.plan(1, limit_intent('red', 1))).status == 200


async def test_race_of_operators_has_one_winner(running):
    one, two = running.operator(), running.operator(fleet.TOKEN + '2')
    made = await asyncio.gather(
        one.plan(1, limit_intent('blue', 1)),
        two.plan(1, limit_intent('blue', 2)),
    )
    plans = [answer.body['answer']['plan'] for answer in made]
    ended = await asyncio.gather(
        one.confirm(2, plans[0]), two.confirm(2, plans[1])
    )
    assert sorted(answer.status for answer in ended) == [200, 409]
    moved = [a for a in ended if a.status == 409][0]
    assert moved.body['answer']['verdict'] == 'moved_on'


@pytest.mark.parametrize(
    'intent, field',
    [
        ({'type': 'drain', 'endpoint': 'nowhere'}, 'nowhere'),
        ({'type': 'drain'}, 'endpoint'),
        ({'type': 'fly'}, 'type'),
        ({'type': 'undrain', 'endpoint': 'north-chat-1'}, 'active'),
        (limit_intent('blue', 0), 'requests_per_s'),
        ({'type': 'load_model', 'endpoint': 'north-records-1',
          'model': 'm'}, 'engine'),
    ],
)  # fmt: skip
async def test_invalid_intents_are_refused(running, intent, field):
    answer = await running.operator().plan(1, intent)
    assert answer.status == 400
    assert field in answer.body['error']['message']


async def test_unknown_token_is_refused(running):
    answer = await running.operator('wrong').plan(1, limit_intent('a', 1))
    assert answer.status == 401


async def test_model_is_loaded_by_order_and_read_back(running):
    operator = running.operator()
    answer = await apply_intent(
        operator,
        1,
        {
            'type': 'load_model',
            'endpoint': 'north-chat-1',
            'model': 'small-2',
        },
    )
    plan = answer.body['answer']['plan']

    async def done():
        shown = await operator.show(f'/plans/{plan}')
        return shown.body['plan']['state'] == 'done'

    await fleet.until(done, 'the load')
    orders = (await running.runs('north-chat-1'))['orders']
    assert [order['model'] for order in orders] == ['small-2']
    assert orders[0]['number'] > 0


async def test_restarts_keep_every_accepted_change(tmp_path):
    """Voters are killed at random while changes are accepted."""
    made = fleet.deployment(controls=3, control={'snapshot_entries': 40})
    chance = random.Random(7)
    async with fleet.running(tmp_path, made) as running:
        await running.wait_voters(3)
        operator = running.operator()
        accepted = {}
        for number in range(60):
            if number % 12 == 11:
                victim = chance.choice(CONTROLS)
                running.kill(victim)
                running.start_control(victim)
            team, rate = f'team-{number}', number + 1
            answer = await apply_intent(
                operator, 2 * number, limit_intent(team, rate)
            )
            assert answer.status == 200, answer
            accepted[team] = rate
        index = answer.body['answer']['index']
        await wait_in_force(running, index)
        for host in CONTROLS:
            running.kill(host)
        for host in CONTROLS:
            running.start_control(host)
        await running.leader()
        for host in CONTROLS:

            async def has_all(host=host):
                found = await limits_by_team(running, host)
                rates = {
                    team: one['requests_per_s'] for team, one in found.items()
                }
                return rates == accepted

            await fleet.until(has_all, f'all changes at {host}')
        again = await operator.confirm(2 * 59 + 1, 'ada-118')
        assert again.body['answer'] == answer.body['answer']


async def test_lost_disk_is_readmitted_and_a_second_loss_loses_nothing(
    running,
):
    operator = running.operator()
    for number in range(5):
        await apply_intent(
            operator, 10 * number, limit_intent(f't{number}', 1)
        )
    old = await running.control_status('control-2')
    running.kill('control-2')
    running.wipe('control-2')
    running.start_control('control-2')

    async def admitted():
        status = await running.control_status(await running.leader())
        found = status['voters'].get('control-2')
        if status['voters_before']:
            # The old electorate may still be needed for a majority.
            return False
        return found and found != old['incarnation']

    await fleet.until(admitted, 'the new disk to be admitted')
    leader = await running.leader()
    second = leader if leader != 'control-2' else 'control-1'
    running.kill(second)
    running.wipe(second)
    answer = await apply_intent(operator, 1000, limit_intent('after', 1))
    assert answer.status == 200
    survivors = [host for host in CONTROLS if host != second]
    for host in survivors:

        async def has_all(host=host):
            found = set(await limits_by_team(running, host))
            return found == {'after', *(f't{number}' for number in range(5))}

        await fleet.until(has_all, f'every change at {host}')


async def test_old_copy_of_a_disk_gets_no_vote(running, tmp_path):
    """A disk restored from a copy must not vote with its old incarnation."""
    import shutil

    operator = running.operator()
    await apply_intent(operator, 1, limit_intent('before', 1))
    running.kill('control-3')
    folder = tmp_path / 'data' / 'control-3'
    copy = tmp_path / 'copy'
    shutil.copytree(folder, copy)
    running.start_control('control-3')
    await running.wait_voters(3)

    async def cleared():
        return running.log('control-3').count('event=cleared') >= 2

    await fleet.until(cleared, 'the second start')
    await apply_intent(operator, 10, limit_intent('after', 1))
    running.kill('control-3')
    shutil.rmtree(folder)
    shutil.copytree(copy, folder)
    running.start_control('control-3')
    await fleet.until(
        lambda: 'event=old_disk' in running.log('control-3'), 'the notice'
    )
    await running.wait_voters(3)
    found = await fleet.until(
        lambda: limits_by_team(running, 'control-3'), 'its state'
    )
    assert set(found) >= {'before'}


async def test_cut_off_leader_accepts_nothing(running):
    leader = await running.leader()
    others = [host for host in CONTROLS if host != leader]
    running.isolate(leader)
    new = await running.leader(*others)
    operator = running.operator(hosts=others)
    answer = await apply_intent(operator, 1, limit_intent('new', 1))
    assert answer.status == 200

    async def no_lease():
        status = await running.control_status(leader)
        return status and not status['has_lease']

    await fleet.until(no_lease, 'the old leader to lose its lease')
    running.heal()

    async def follows():
        status = await running.control_status(leader)
        return (
            status
            and status['leader'] == new
            and (
                status['configuration_index'] >= answer.body['answer']['index']
            )
        )

    await fleet.until(follows, 'the old leader to follow')


async def test_configuration_never_goes_back(running):
    """Entry hosts restart without a disk, with and without control hosts."""
    operator = running.operator()
    answer = await apply_intent(operator, 1, limit_intent('one', 1))
    index = answer.body['answer']['index']
    await wait_in_force(running, index)
    running.kill('north-1')
    running.start_entry('north-1')
    await running.wait_serving('north-1')
    assert (await running.status('north-1'))['index'] >= index
    # A partitioned host must not serve an older configuration.
    running.kill('north-1')
    running.isolate('north-1')
    running.start_entry('north-1')
    status = await fleet.until(lambda: running.status('north-1'), 'north-1')
    await asyncio.sleep(6)
    status = await running.status('north-1')
    assert not status['serving']
    caller = running.caller('north-1')
    result = await caller.call('GET', 'records', '/map')
    assert (result.outcome, result.reason) == (
        'not_run',
        'no_configuration',
    )


@pytest.mark.parametrize('fenced', [True, False])
async def test_frozen_leader_that_wakes_sends_no_order(tmp_path, fenced):
    """It resumes as leader of an old term, after another was elected."""
    made = fleet.deployment(regions=('north',), engines=4, controls=3)
    for endpoint in made['endpoints']:
        endpoint['fenced'] = fenced
    async with fleet.running(tmp_path, made) as running:
        await running.wait_voters(3)
        operator = running.operator()
        plans = []
        for number in range(1, 5):
            intent = {
                'type': 'load_model',
                'endpoint': f'north-chat-{number}',
                'model': 'small-2',
            }
            answer = await apply_intent(operator, 10 * number, intent)
            plans.append(answer.body['answer']['plan'])
        old = await running.leader()
        running.freeze(old)
        others = [host for host in CONTROLS if host != old]
        await running.leader(*others)
        new = running.operator(hosts=others)

        async def all_done():
            states = [
                (await new.show(f'/plans/{plan}')).body['plan']['state']
                for plan in plans
            ]
            return states == ['done'] * 4

        await fleet.until(all_done, 'the loads under the new leader')
        before = [
            await fencing_numbers(running, number) for number in range(1, 5)
        ]
        running.thaw(old)

        async def follows():
            status = await running.control_status(old)
            return status and status['role'] == 'follower'

        await fleet.until(follows, 'the old leader to follow')
        await asyncio.sleep(1)
        after = [
            await fencing_numbers(running, number) for number in range(1, 5)
        ]
        assert after == before
        for numbers in after:
            assert numbers == sorted(numbers)


async def fencing_numbers(running, number):
    """Return the fencing numbers of the orders an engine has accepted."""
    told = await running.runs(f'north-chat-{number}')
    return [order['number'] for order in told['orders']]


async def test_unknown_key_is_refused(running):
    """A host whose key is not in the settings is rejected and logged."""
    identity = links.Identity('test', 'north-1', *links.new_keys())
    peers = [
        links.Peer(host.host, '127.0.0.1', host.link_port, host.public_key)
        for host in running.settings.hosts
    ]
    stranger = links.Links(identity, peers, clocks.Clock(), None)
    try:
        with pytest.raises(errors.TransportError):
            await stranger.call('control-1', b'x', 1500)
    finally:
        await stranger.close()
    assert 'reason=unknown_key' in running.log('control-1')


@pytest.mark.parametrize(
    'change_envelope, reason',
    [
        ({'cluster': 'other'}, 'other_cluster'),
        ({'good_for_ms': -1}, 'expired'),
        ({'sender': 'south-1'}, 'key_of_another_host'),
    ],
    ids=['other cluster', 'stale', 'posing as another'],
)
async def test_invalid_envelopes_are_refused(running, change_envelope, reason):
    running.kill('north-1')
    identity = keys.read_identity(
        running.folder / 'keys',
        running.settings,
        running.settings.host('north-1'),
    )
    peers = [
        links.Peer(host.host, '127.0.0.1', host.link_port, host.public_key)
        for host in running.settings.hosts
    ]
    posing = links.Links(identity, peers, clocks.Clock(), None)
    wrap = posing._encode_envelope

    def wrapped(*arguments):
        envelope = msgspec.msgpack.decode(
            wrap(*arguments), type=links.Envelope
        )
        changed = msgspec.structs.replace(envelope, **change_envelope)
        return msgspec.msgpack.encode(changed)

    posing._encode_envelope = wrapped
    try:
        with pytest.raises(errors.TransportError):
            await posing.call('control-1', b'x', 800)
    finally:
        await posing.close()
    assert f'reason={reason}' in running.log('control-1')

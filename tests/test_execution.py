"""Orders are sent only under a lease and with a committed fence."""

import contextlib

import msgspec
import pytest

from tests import fleet
from wrenspoke.coordination.agreement import execution
from wrenspoke.coordination import errors
from wrenspoke import settings
from wrenspoke.state import configuration
from wrenspoke.state import entries
from wrenspoke.state import plans
from wrenspoke.state import replicated

NAME = 'north-chat-1'


class FakeClock:
    """Clock that advances only by sleeping."""

    def __init__(self):
        self.now_ms = 1_000_000

    def mono_ms(self):
        return self.now_ms

    def wall_ms(self):
        return self.now_ms

    async def sleep_ms(self, delay_ms):
        self.now_ms += int(delay_ms)


class FakeVoter:
    """Commits immediately; loses the lease on ``lose_lease_on`` entries."""

    def __init__(self, state, lose_lease_on):
        self.state = state
        self.has_lease = True
        self.leader_since_ms = 0
        self._lose_lease_on = lose_lease_on
        self._index = state.index

    async def propose(self, entry):
        self._index += 1
        applied = self.state.apply(self._index, entry)
        if isinstance(entry, self._lose_lease_on):
            self.has_lease = False
        return applied


class FakeDispatcher:
    """Records orders and answers like an engine."""

    def __init__(self, clock):
        self._clock = clock
        self.sent = []
        self.models = []

    @contextlib.asynccontextmanager
    async def send(self, send):
        if send.method == 'POST':
            order = msgspec.json.decode(send.body)
            number = int(send.extra_headers['X-Fencing-Number'])
            self.sent.append((number, self._clock.now_ms))
            self.models.append(order['model'])
        yield FakeAnswer(self.models)


class FakeAnswer:
    """Response that lists the ordered models as loaded."""

    status = 200

    def __init__(self, models):
        self._models = models

    async def read_all(self, _limit_bytes):
        return msgspec.json.encode({'models': self._models})


def make_executor(lose_at=(), fenced=True, **control):
    """Return an executor with two confirmed model loads, and its fakes."""
    made = fleet.deployment(regions=('north',), control=control)
    made['endpoints'][0]['fenced'] = fenced
    deployment = settings.parse(msgspec.json.encode(made))
    clock = FakeClock()
    state = replicated.ReplicatedState()
    found = entries.Bootstrap(deployment.first_configuration())
    state.apply(1, found)
    for number in (1, 2):
        plan = plans.build_plan(
            f'p{number}',
            'ada',
            plans.LoadModel(NAME, f'model-{number}'),
            state.configuration,
            clock.now_ms,
            0,
        )
        state.apply(2 * number, entries.MakePlan('ada', number, 'd', plan))
        state.apply(
            2 * number + 1,
            entries.ConfirmPlan(
                'ada', 10 + number, 'd', plan.plan, clock.now_ms
            ),
        )
    voter = FakeVoter(state, lose_at)
    dispatcher = FakeDispatcher(clock)
    made = execution.Executor('c1', deployment, voter, dispatcher, clock)
    return made, voter, dispatcher, clock


async def test_lease_lost_after_the_number_was_committed():
    """The lease must be checked again right before the order is sent."""
    made, voter, dispatcher, _clock = make_executor(entries.IssueOrder)
    await made._execute_step(voter.state.plans['p1'])
    assert dispatcher.sent == []
    assert voter.state.plans['p1'].current is not None


async def test_order_carries_the_index_that_allows_it():
    made, voter, dispatcher, _clock = make_executor()
    await made._execute_step(voter.state.plans['p1'])
    ((number, _at_ms),) = dispatcher.sent
    assert number > voter.state.plans['p1'].confirmed_index
    assert voter.state.plans['p1'].state is plans.PlanState.DONE
    endpoint = voter.state.configuration.endpoint(NAME)
    assert 'model-1' in endpoint.models


async def test_loads_are_spaced_for_the_weight_store():
    made, voter, dispatcher, _clock = make_executor(weight_loads_per_minute=6)
    for name in ('p1', 'p2'):
        await made._execute_step(voter.state.plans[name])
    (_one, first_ms), (_two, second_ms) = dispatcher.sent
    assert second_ms - first_ms >= 10_000


@pytest.mark.parametrize('fenced, waits', [(True, False), (False, True)])
async def test_old_leader_is_waited_out_for_unfenced_endpoints(fenced, waits):
    made, voter, dispatcher, clock = make_executor(
        fenced=fenced, election_timeout_ms=2000, order_timeout_ms=5000
    )
    voter.leader_since_ms = clock.now_ms
    started_ms = clock.now_ms
    await made._execute_step(voter.state.plans['p1'])
    ((_number, at_ms),) = dispatcher.sent
    assert (at_ms - started_ms >= 7000) == waits


async def test_order_that_is_not_read_back_fails_the_step():
    made, voter, dispatcher, _clock = make_executor()
    dispatcher.models = ReadOnlyList()
    await made._execute_step(voter.state.plans['p1'])
    plan = voter.state.plans['p1']
    assert plan.state is plans.PlanState.FAILED
    assert 'does not show' in plan.ends[0].detail
    assert len(dispatcher.sent) == execution.ORDER_ATTEMPTS
    numbers = [number for number, _at_ms in dispatcher.sent]
    assert numbers == sorted(set(numbers))
    endpoint = voter.state.configuration.endpoint(NAME)
    assert endpoint.state is configuration.EndpointState.ACTIVE
    assert 'model-1' not in endpoint.models


class ReadOnlyList(list):
    """List that ignores appended items."""

    def append(self, _item):
        pass


def test_error_names_the_leader():
    error = errors.NotLeaderError('c2', may_be_accepted=True)
    assert 'c2' in str(error)

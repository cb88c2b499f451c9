"""Plans stay deterministic under generated requests, resends, restarts."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

from wrenspoke.state import configuration
from wrenspoke.state import entries
from wrenspoke.state import errors
from wrenspoke.state import plans
from wrenspoke.state import replicated

OPERATORS = ('ada', 'ben')
NAMES = ('e1', 'e2')
INTENTS = [
    *(plans.Drain(name) for name in NAMES),
    *(plans.Undrain(name) for name in NAMES),
    *(plans.LoadModel(name, 'm2') for name in NAMES),
    *(plans.RetireModel(name, 'm1') for name in NAMES),
    plans.ChangeRole('e1', configuration.EngineRole.PREFILL),
    plans.ChangeLimit(configuration.TeamLimit('blue', 1.0, 2)),
]


def first_state():
    """Return a state with one service and two engines."""
    made = configuration.Configuration(
        services={
            's': configuration.Service('s', configuration.ServiceKind.ENGINE)
        },
        endpoints={
            name: configuration.Endpoint(
                name, 's', 'north', 'hall', 'http://h', models=('m1',)
            )
            for name in NAMES
        },
    )
    state = replicated.ReplicatedState()
    state.apply(1, entries.Bootstrap(made))
    return state


class PlanMachine(stateful.RuleBasedStateMachine):
    """Applies entries to two copies; one is restored from snapshots."""

    def __init__(self):
        super().__init__()
        self.state = first_state()
        self.other = first_state()
        self.index = 1
        self.asked = {}
        self.won = {}

    def apply(self, entry):
        self.index += 1
        before = self.state.configuration.index
        applied = self.state.apply(self.index, entry)
        again = self.other.apply(self.index, entry)
        assert applied == again
        assert self.state.configuration.index >= before
        moved = self.state.configuration.index == self.index
        assert moved == (applied.change is not None)
        return applied.answer

    @stateful.rule(
        operator=strategies.sampled_from(OPERATORS),
        number=strategies.integers(1, 8),
        intent=strategies.sampled_from(INTENTS),
    )
    def make(self, operator, number, intent):
        try:
            plan = plans.build_plan(
                f'{operator}-{number}',
                operator,
                intent,
                self.state.configuration,
                self.index,
                0,
            )
        except errors.StateError:
            return
        digest = f'plan {intent}'
        answer = self.apply(entries.MakePlan(operator, number, digest, plan))
        self.check_resend((operator, number), digest, answer)

    @stateful.precondition(lambda self: self.state.plans)
    @stateful.rule(
        operator=strategies.sampled_from(OPERATORS),
        number=strategies.integers(5, 12),
        data=strategies.data(),
    )
    def confirm(self, operator, number, data):
        name = data.draw(strategies.sampled_from(sorted(self.state.plans)))
        base = self.state.plans[name].base_index
        fresh = (operator, number) not in self.asked
        digest = f'confirm {name}'
        answer = self.apply(
            entries.ConfirmPlan(operator, number, digest, name, self.index)
        )
        self.check_resend((operator, number), digest, answer)
        if fresh and answer.verdict is replicated.Verdict.ACCEPTED:
            assert base not in self.won, 'two plans won on one index'
            self.won[base] = name

    def check_resend(self, key, digest, answer):
        """Assert that a resend gets the answer of the first request."""
        if key not in self.asked:
            self.asked[key] = (digest, answer)
            return
        known_digest, known = self.asked[key]
        if digest == known_digest:
            assert answer == known
        else:
            assert answer.verdict is replicated.Verdict.CONFLICT

    @stateful.precondition(lambda self: self.state.running_plans())
    @stateful.rule(
        data=strategies.data(),
        succeeded=strategies.booleans(),
        late=strategies.integers(0, 1),
    )
    def end_step(self, data, succeeded, late):
        plan = data.draw(strategies.sampled_from(self.state.running_plans()))
        self.apply(entries.IssueOrder(plan.plan, plan.reached, 'c1', 0))
        step = plan.reached + late
        self.apply(
            entries.EndStep(plan.plan, step, succeeded, 'x', self.index)
        )
        if late:
            assert self.state.plans[plan.plan].reached == plan.reached

    @stateful.rule()
    def restart(self):
        """Replace one copy by its decoded snapshot."""
        encoded = msgspec.msgpack.encode(self.other)
        self.other = msgspec.msgpack.decode(
            encoded, type=replicated.ReplicatedState
        )

    @stateful.invariant()
    def copies_are_the_same(self):
        assert msgspec.to_builtins(
            self.state, str_keys=True
        ) == msgspec.to_builtins(self.other, str_keys=True)


PlanMachine.TestCase.settings = hypothesis.settings(
    max_examples=80, stateful_step_count=25, deadline=None, derandomize=True
)
TestPlans = PlanMachine.TestCase


@pytest.mark.parametrize('intent', INTENTS[:2], ids=NAMES)
def test_drain_goes_through_its_states(intent):
    state = first_state()
    plan = plans.build_plan('p', 'ada', intent, state.configuration, 0, 0)
    state.apply(2, entries.MakePlan('ada', 1, 'd', plan))
    state.apply(3, entries.ConfirmPlan('ada', 2, 'c', 'p', 0))
    found = state.configuration.endpoint(intent.endpoint)
    assert found.state is configuration.EndpointState.DRAINING
    state.apply(4, entries.EndStep('p', 1, True, 'idle', 0))
    found = state.configuration.endpoint(intent.endpoint)
    assert found.state is configuration.EndpointState.DRAINED
    assert state.plans['p'].state is plans.PlanState.DONE

"""Operators' intents and the plans that implement them.

A plan is a sequence of steps. Configuration changes take effect with the
log entry that advances the plan to them; orders and waits are executed by
the leader, which then records the result of the step.
"""

import enum
import typing

import msgspec

from wrenspoke import ids
from wrenspoke.state import configuration
from wrenspoke.state import errors

LOAD_DURATION_MS = 5_000
ORDER_DURATION_MS = 1_000
MS_PER_MINUTE = 60_000


class Drain(msgspec.Struct, frozen=True, tag='drain'):
    """Stops new requests to an endpoint and waits for those in flight."""

    endpoint: ids.EndpointId


class Undrain(msgspec.Struct, frozen=True, tag='undrain'):
    """Reactivates a drained endpoint."""

    endpoint: ids.EndpointId


class LoadModel(msgspec.Struct, frozen=True, tag='load_model'):
    """Loads a model version into an engine."""

    endpoint: ids.EndpointId
    model: str


class RetireModel(msgspec.Struct, frozen=True, tag='retire_model'):
    """Unloads a model version from an engine."""

    endpoint: ids.EndpointId
    model: str


class LoadAdapter(msgspec.Struct, frozen=True, tag='load_adapter'):
    """Loads an adapter into an engine."""

    endpoint: ids.EndpointId
    adapter: str


class RetireAdapter(msgspec.Struct, frozen=True, tag='retire_adapter'):
    """Unloads an adapter from an engine."""

    endpoint: ids.EndpointId
    adapter: str


class ChangeRole(msgspec.Struct, frozen=True, tag='change_role'):
    """Drains an engine, then changes its role."""

    endpoint: ids.EndpointId
    role: configuration.EngineRole


class ChangeRule(msgspec.Struct, frozen=True, tag='change_rule'):
    """Adds or replaces a rule."""

    rule: configuration.Rule


class DropRule(msgspec.Struct, frozen=True, tag='drop_rule'):
    """Removes a rule."""

    rule: str


class ChangeLimit(msgspec.Struct, frozen=True, tag='change_limit'):
    """Adds or replaces the limit of a team."""

    limit: configuration.TeamLimit


class IssueKey(msgspec.Struct, frozen=True, tag='issue_key'):
    """Registers an API key of a team by its digest."""

    team: ids.TeamId
    digest: str


class WithdrawKey(msgspec.Struct, frozen=True, tag='withdraw_key'):
    """Revokes an API key."""

    digest: str


class ClearQuarantine(msgspec.Struct, frozen=True, tag='clear_quarantine'):
    """Removes a request from the quarantine."""

    digest: ids.ContentDigest


class AddEndpoint(msgspec.Struct, frozen=True, tag='add_endpoint'):
    """Adds an endpoint."""

    endpoint: configuration.Endpoint


class RemoveEndpoint(msgspec.Struct, frozen=True, tag='remove_endpoint'):
    """Removes an endpoint that is not active."""

    endpoint: ids.EndpointId


Intent = typing.Union[
    Drain,
    Undrain,
    LoadModel,
    RetireModel,
    LoadAdapter,
    RetireAdapter,
    ChangeRole,
    ChangeRule,
    DropRule,
    ChangeLimit,
    IssueKey,
    WithdrawKey,
    ClearQuarantine,
    AddEndpoint,
    RemoveEndpoint,
]


class Change(msgspec.Struct, frozen=True, tag='change'):
    """Step that changes the configuration."""

    change: configuration.Change


class Order(msgspec.Struct, frozen=True, tag='order'):
    """Step that sends an order to an engine.

    ``loads`` is set if the engine fetches from the weight store.
    """

    endpoint: ids.EndpointId
    kind: str
    model: str = ''
    adapter: str = ''
    role: str = ''
    loads: bool = False


class WaitIdle(msgspec.Struct, frozen=True, tag='wait_idle'):
    """Step that waits until a draining endpoint has no requests."""

    endpoint: ids.EndpointId


Step = typing.Union[Change, Order, WaitIdle]


class PlanState(enum.Enum):
    """Progress of a plan."""

    PROPOSED = 'proposed'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'


class Costs(msgspec.Struct, frozen=True):
    """Expected costs of a plan.

    ``capacity_lost`` is a share of the service's slots in the region.
    """

    capacity_lost: float = 0.0
    caches_cold: int = 0
    takes_ms: int = 0
    waits_for: tuple[str, ...] = ()


class StepResult(msgspec.Struct, frozen=True):
    """Result of one step."""

    step: int
    succeeded: bool
    detail: str
    at_ms: int


class Plan(msgspec.Struct, frozen=True):
    """An intent with its steps, expected costs and progress."""

    plan: ids.PlanId
    operator: ids.OperatorId
    intent: Intent
    base_index: int
    steps: tuple[Step, ...]
    summary: str
    costs: Costs
    made_ms: int
    state: PlanState = PlanState.PROPOSED
    confirmed_index: int = 0
    reached: int = 0
    reached_index: int = 0
    issued_index: int = 0
    ends: tuple[StepResult, ...] = ()

    @property
    def current(self) -> Step | None:
        """Return the step to execute next, or None if it is not running."""
        if self.state is not PlanState.RUNNING:
            return None
        return self.steps[self.reached]


_PLANNERS = {}


def _register_planner(kind: type):
    def register(function):
        _PLANNERS[kind] = function
        return function

    return register


class _Draft(msgspec.Struct):
    """Result of a planner, before validation."""

    steps: list[Step]
    summary: str
    capacity_lost: float = 0.0
    caches_cold: int = 0
    takes_ms: int = 0
    waits_for: list[str] = []


def build_plan(
    plan: ids.PlanId,
    operator: ids.OperatorId,
    intent: Intent,
    current: configuration.Configuration,
    made_ms: int,
    load_wait_ms: int,
) -> Plan:
    """Return the plan for an intent on the current configuration.

    ``load_wait_ms`` is the expected wait for the weight store.

    :raises StateError: the intent is not valid for the configuration
    """
    draft = _PLANNERS[type(intent)](intent, current)
    loads = any(isinstance(step, Order) and step.loads for step in draft.steps)
    _validate_changes(draft, current)
    return Plan(
        plan=plan,
        operator=operator,
        intent=intent,
        base_index=current.index,
        steps=tuple(draft.steps),
        summary=draft.summary,
        costs=Costs(
            round(draft.capacity_lost, 3),
            draft.caches_cold,
            draft.takes_ms + (load_wait_ms if loads else 0),
            tuple(draft.waits_for),
        ),
        made_ms=made_ms,
    )


def _validate_changes(
    draft: _Draft, current: configuration.Configuration
) -> None:
    """Apply the changes to a copy, to reject invalid ones before storing."""
    for step in draft.steps:
        if isinstance(step, Change):
            current = configuration.apply(current, step.change, current.index)


def _set_state_step(
    endpoint: ids.EndpointId, state: configuration.EndpointState
) -> Change:
    return Change(configuration.SetEndpointState(endpoint, state))


def _lost_capacity(
    endpoint: configuration.Endpoint, current: configuration.Configuration
) -> float:
    """Return an endpoint's share of its service's slots in its region."""
    slots = sum(
        other.slots
        for other in current.endpoints.values()
        if other.service == endpoint.service
        and other.region == endpoint.region
        and other.state is configuration.EndpointState.ACTIVE
    )
    return endpoint.slots / slots if slots else 0.0


@_register_planner(Drain)
def _plan_drain(intent: Drain, current: configuration.Configuration):
    endpoint = current.endpoint(intent.endpoint)
    if endpoint.state is not configuration.EndpointState.ACTIVE:
        raise errors.InvalidChangeError(
            f'endpoint {intent.endpoint} is already {endpoint.state.value}'
        )
    states = configuration.EndpointState
    return _Draft(
        steps=[
            _set_state_step(intent.endpoint, states.DRAINING),
            WaitIdle(intent.endpoint),
            _set_state_step(intent.endpoint, states.DRAINED),
        ],
        summary=f'give {intent.endpoint} no new work and let it finish',
        capacity_lost=_lost_capacity(endpoint, current),
        caches_cold=1,
        waits_for=[f'requests in flight at {intent.endpoint}'],
    )


@_register_planner(Undrain)
def _plan_undrain(intent: Undrain, current: configuration.Configuration):
    endpoint = current.endpoint(intent.endpoint)
    if endpoint.state is configuration.EndpointState.ACTIVE:
        raise errors.InvalidChangeError(
            f'endpoint {intent.endpoint} is already active'
        )
    active = configuration.EndpointState.ACTIVE
    return _Draft(
        steps=[_set_state_step(intent.endpoint, active)],
        summary=f'give {intent.endpoint} work again; its cache is cold',
        caches_cold=1,
    )


def _engine_endpoint(
    name: ids.EndpointId, current: configuration.Configuration
) -> configuration.Endpoint:
    endpoint = current.endpoint(name)
    service = current.services[endpoint.service]
    if service.kind is not configuration.ServiceKind.ENGINE:
        raise errors.InvalidChangeError(f'endpoint {name} is not an engine')
    return endpoint


@_register_planner(LoadModel)
def _plan_load(intent: LoadModel, current: configuration.Configuration):
    endpoint = _engine_endpoint(intent.endpoint, current)
    if intent.model in endpoint.models:
        raise errors.InvalidChangeError(
            f'endpoint {intent.endpoint} already has model {intent.model}'
        )
    return _Draft(
        steps=[
            Order(intent.endpoint, 'load', model=intent.model, loads=True),
            Change(
                configuration.SetModel(intent.endpoint, intent.model, True)
            ),
        ],
        summary=f'load {intent.model} into {intent.endpoint}',
        takes_ms=LOAD_DURATION_MS,
        waits_for=['the weight store', intent.endpoint],
    )


@_register_planner(RetireModel)
def _plan_retire(intent: RetireModel, current: configuration.Configuration):
    endpoint = _engine_endpoint(intent.endpoint, current)
    if intent.model not in endpoint.models:
        raise errors.InvalidChangeError(
            f'endpoint {intent.endpoint} does not have model {intent.model}'
        )
    return _Draft(
        steps=[
            Change(
                configuration.SetModel(intent.endpoint, intent.model, False)
            ),
            WaitIdle(intent.endpoint),
            Order(intent.endpoint, 'retire', model=intent.model),
        ],
        summary=f'take {intent.model} out of {intent.endpoint}',
        capacity_lost=_lost_capacity(endpoint, current),
        caches_cold=1,
        takes_ms=ORDER_DURATION_MS,
        waits_for=[f'requests in flight at {intent.endpoint}'],
    )


@_register_planner(LoadAdapter)
def _plan_load_adapter(
    intent: LoadAdapter, current: configuration.Configuration
):
    endpoint = _engine_endpoint(intent.endpoint, current)
    if intent.adapter in endpoint.adapters:
        raise errors.InvalidChangeError(
            f'endpoint {intent.endpoint} already has adapter {intent.adapter}'
        )
    name = intent.adapter
    return _Draft(
        steps=[
            Order(intent.endpoint, 'load', adapter=name, loads=True),
            Change(configuration.SetAdapter(intent.endpoint, name, True)),
        ],
        summary=f'load adapter {name} into {intent.endpoint}',
        takes_ms=LOAD_DURATION_MS,
        waits_for=['the weight store', intent.endpoint],
    )


@_register_planner(RetireAdapter)
def _plan_retire_adapter(
    intent: RetireAdapter, current: configuration.Configuration
):
    endpoint = _engine_endpoint(intent.endpoint, current)
    if intent.adapter not in endpoint.adapters:
        raise errors.InvalidChangeError(
            f'endpoint {intent.endpoint} does not have adapter '
            f'{intent.adapter}'
        )
    name = intent.adapter
    return _Draft(
        steps=[
            Change(configuration.SetAdapter(intent.endpoint, name, False)),
            Order(intent.endpoint, 'retire', adapter=name),
        ],
        summary=f'take adapter {name} out of {intent.endpoint}',
        takes_ms=ORDER_DURATION_MS,
    )


@_register_planner(ChangeRole)
def _plan_role(intent: ChangeRole, current: configuration.Configuration):
    endpoint = _engine_endpoint(intent.endpoint, current)
    states = configuration.EndpointState
    name = intent.endpoint
    return _Draft(
        steps=[
            _set_state_step(name, states.DRAINING),
            WaitIdle(name),
            Order(name, 'role', role=intent.role.value),
            Change(configuration.SetRole(name, intent.role)),
            _set_state_step(name, states.ACTIVE),
        ],
        summary=f'make {name} a {intent.role.value} engine',
        capacity_lost=_lost_capacity(endpoint, current),
        caches_cold=1,
        takes_ms=ORDER_DURATION_MS,
        waits_for=[f'requests in flight at {name}'],
    )


@_register_planner(ChangeRule)
def _plan_rule(intent: ChangeRule, current: configuration.Configuration):
    verb = 'replace' if intent.rule.rule in current.rules else 'add'
    return _Draft(
        steps=[Change(configuration.SetRule(intent.rule))],
        summary=f'{verb} rule {intent.rule.rule}',
    )


@_register_planner(DropRule)
def _plan_drop(intent: DropRule, _current: configuration.Configuration):
    return _Draft(
        steps=[Change(configuration.RemoveRule(intent.rule))],
        summary=f'take rule {intent.rule} away',
    )


@_register_planner(ChangeLimit)
def _plan_limit(intent: ChangeLimit, _current: configuration.Configuration):
    return _Draft(
        steps=[Change(configuration.SetLimit(intent.limit))],
        summary=f'set the limit of team {intent.limit.team}',
    )


@_register_planner(IssueKey)
def _plan_issue(intent: IssueKey, _current: configuration.Configuration):
    return _Draft(
        steps=[Change(configuration.IssueKey(intent.team, intent.digest))],
        summary=f'let team {intent.team} call by another key',
    )


@_register_planner(WithdrawKey)
def _plan_withdraw(intent: WithdrawKey, current: configuration.Configuration):
    team = current.keys.get(intent.digest)
    left = sum(holder == team for holder in current.keys.values()) - 1
    return _Draft(
        steps=[Change(configuration.WithdrawKey(intent.digest))],
        summary=f'withdraw a key of team {team}, which has {left} left',
    )


@_register_planner(ClearQuarantine)
def _plan_clear(intent: ClearQuarantine, current: configuration.Configuration):
    found = current.quarantine.get(intent.digest)
    if found is None:
        raise errors.UnknownItemError(
            f'no request with digest {intent.digest[:40]!r} is in quarantine'
        )
    change = configuration.SetQuarantine(cleared=(intent.digest,))
    return _Draft(
        steps=[Change(change)],
        summary=(
            f'let request {intent.digest} be sent again, under which '
            f'{found.ends} endpoints ended'
        ),
    )


@_register_planner(AddEndpoint)
def _plan_add(intent: AddEndpoint, current: configuration.Configuration):
    name = intent.endpoint.endpoint
    if name in current.endpoints:
        raise errors.InvalidChangeError(f'endpoint {name} already exists')
    return _Draft(
        steps=[Change(configuration.AddEndpoint(intent.endpoint))],
        summary=f'add endpoint {name}',
        caches_cold=1,
    )


@_register_planner(RemoveEndpoint)
def _plan_remove(
    intent: RemoveEndpoint, _current: configuration.Configuration
):
    return _Draft(
        steps=[Change(configuration.RemoveEndpoint(intent.endpoint))],
        summary=f'forget endpoint {intent.endpoint}',
    )

"""The operator-managed configuration and the changes that apply to it.

Configurations are immutable: applying a change returns a new one with a
higher index, so a request uses one consistent configuration throughout.
"""

import enum
import re
import typing

import msgspec

from wrenspoke import ids
from wrenspoke.state import errors
from wrenspoke.state import quarantine
from wrenspoke.state import routes
from wrenspoke.state import teams

# Format of the digests of API keys: lower-case hexadecimal.
DIGEST = re.compile(f'[0-9a-f]{{{2 * teams.DIGEST_BYTES}}}')


class ServiceKind(enum.Enum):
    """Distinguishes model engines from other HTTP services."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class EndpointState(enum.Enum):
    """Administrative state: whether an endpoint accepts new requests."""

    ACTIVE = 'active'
    DRAINING = 'draining'
    DRAINED = 'drained'


class EngineRole(enum.Enum):
    """Inference phases that an engine runs."""

    MIXED = 'mixed'
    PREFILL = 'prefill'
    DECODE = 'decode'


class Service(msgspec.Struct, frozen=True):
    """Defines a service that callers can request."""

    service: ids.ServiceId
    kind: ServiceKind
    cost_weight: float = 1.0
    tail_weight: float = 1.0


class Endpoint(msgspec.Struct, frozen=True):
    """Describes one instance of a service."""

    endpoint: ids.EndpointId
    service: ids.ServiceId
    region: ids.RegionId
    data_centre: ids.DataCentreId
    url: str
    fenced: bool = False
    echoes_request_id: bool = True
    price_per_mtok: float = 1.0
    slots: int = 8
    state: EndpointState = EndpointState.ACTIVE
    role: EngineRole = EngineRole.MIXED
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()


class Rule(msgspec.Struct, frozen=True):
    """Defines how requests to a path prefix of a service are handled."""

    rule: str
    service: ids.ServiceId
    path_prefix: str = '/'
    methods: tuple[str, ...] = ()
    bound: bool = False
    once: bool = False

    def matches(self, service: str, method: str, path: str) -> bool:
        """Return whether the rule applies to a request."""
        if service != self.service or not path.startswith(self.path_prefix):
            return False
        return not self.methods or method in self.methods


class TeamLimit(msgspec.Struct, frozen=True):
    """Global rate limit of one team.

    ``regions`` holds the weights of the regions' shares; if empty, all
    regions get equal shares.
    """

    team: str
    requests_per_s: float
    burst: int
    regions: dict[ids.RegionId, float] = {}


# Aliases: fields of Configuration shadow the modules of the same names.
RouteTable = routes.RouteTable
Quarantine = quarantine.Quarantine


class Configuration(msgspec.Struct, frozen=True):
    """Complete operator configuration; ``index`` never decreases.

    ``keys`` maps the digest of each key to its team. Until the first key
    is issued, callers state their team themselves; from then on ``proved``
    is set and a key is required, even after all keys are withdrawn.
    """

    index: int = 0
    services: dict[ids.ServiceId, Service] = {}
    endpoints: dict[ids.EndpointId, Endpoint] = {}
    rules: dict[str, Rule] = {}
    limits: dict[str, TeamLimit] = {}
    keys: dict[str, ids.TeamId] = {}
    proved: bool = False
    routes: RouteTable = RouteTable()
    evacuated: tuple[ids.DataCentreId, ...] = ()
    quarantine: Quarantine = {}

    def endpoint(self, endpoint: ids.EndpointId) -> Endpoint:
        """Return an endpoint by its name.

        :raises UnknownItemError: no endpoint has that name
        """
        found = self.endpoints.get(endpoint)
        if found is None:
            raise errors.UnknownItemError(f'endpoint {endpoint} is unknown')
        return found

    def endpoints_at(self, address: str) -> list[ids.EndpointId]:
        """Return the names of the endpoints at an ``ip:port`` address."""
        return [
            endpoint.endpoint
            for endpoint in self.endpoints.values()
            if endpoint.url == f'http://{address}'
        ]


class SetEndpointState(msgspec.Struct, frozen=True, tag='endpoint_state'):
    """Sets the administrative state of an endpoint."""

    endpoint: ids.EndpointId
    state: EndpointState


class AddEndpoint(msgspec.Struct, frozen=True, tag='add_endpoint'):
    """Adds an endpoint, or replaces the one of the same name."""

    endpoint: Endpoint


class RemoveEndpoint(msgspec.Struct, frozen=True, tag='remove_endpoint'):
    """Removes an endpoint that is not active."""

    endpoint: ids.EndpointId


class SetModel(msgspec.Struct, frozen=True, tag='model'):
    """Adds a model version to an engine, or removes it."""

    endpoint: ids.EndpointId
    model: str
    loaded: bool


class SetAdapter(msgspec.Struct, frozen=True, tag='adapter'):
    """Adds an adapter to an engine, or removes it."""

    endpoint: ids.EndpointId
    adapter: str
    loaded: bool


class SetRole(msgspec.Struct, frozen=True, tag='role'):
    """Changes the role of an engine."""

    endpoint: ids.EndpointId
    role: EngineRole


class SetRule(msgspec.Struct, frozen=True, tag='rule'):
    """Adds a rule, or replaces the one of the same name."""

    rule: Rule


class RemoveRule(msgspec.Struct, frozen=True, tag='remove_rule'):
    """Removes a rule."""

    rule: str


class SetLimit(msgspec.Struct, frozen=True, tag='limit'):
    """Adds or replaces the limit of a team."""

    limit: TeamLimit


class IssueKey(msgspec.Struct, frozen=True, tag='issue_key'):
    """Registers an API key of a team by its digest."""

    team: ids.TeamId
    digest: str


class WithdrawKey(msgspec.Struct, frozen=True, tag='withdraw_key'):
    """Revokes an API key."""

    digest: str


class SetRoutes(msgspec.Struct, frozen=True, tag='routes'):
    """Replaces the route table with a newer version."""

    table: routes.RouteTable


class SetEvacuation(msgspec.Struct, frozen=True, tag='evacuation'):
    """Starts or ends the evacuation of a data centre."""

    data_centre: ids.DataCentreId
    evacuated: bool


class SetQuarantine(msgspec.Struct, frozen=True, tag='quarantine'):
    """Adds request digests to the quarantine, and clears others."""

    entered: tuple[quarantine.QuarantineEntry, ...] = ()
    cleared: tuple[ids.ContentDigest, ...] = ()


class SetAll(msgspec.Struct, frozen=True, tag='all'):
    """Replaces the whole configuration; the first change of every log."""

    configuration: Configuration


SingleChange = typing.Union[
    SetEndpointState,
    AddEndpoint,
    RemoveEndpoint,
    SetModel,
    SetAdapter,
    SetRole,
    SetRule,
    RemoveRule,
    SetLimit,
    IssueKey,
    WithdrawKey,
    SetRoutes,
    SetEvacuation,
    SetQuarantine,
    SetAll,
]


class ChangeBatch(msgspec.Struct, frozen=True, tag='several'):
    """Applies several changes atomically, at one index."""

    changes: tuple[SingleChange, ...]


Change = typing.Union[SingleChange, ChangeBatch]

_APPLIERS = {}


def _register_applier(kind: type):
    def register(function):
        _APPLIERS[kind] = function
        return function

    return register


def apply(old: Configuration, change: Change, index: int) -> Configuration:
    """Return ``old`` with one change applied at ``index``.

    :raises StateError: the change is not valid for ``old``
    """
    if index < old.index:
        raise errors.InvalidChangeError(
            f'index {index} is below configuration index {old.index}'
        )
    fields = _APPLIERS[type(change)](old, change)
    return msgspec.structs.replace(old, index=index, **fields)


def _with_endpoint(old: Configuration, endpoint: Endpoint) -> dict:
    return {'endpoints': {**old.endpoints, endpoint.endpoint: endpoint}}


@_register_applier(SetEndpointState)
def _set_endpoint_state(old: Configuration, change: SetEndpointState):
    found = old.endpoint(change.endpoint)
    changed = msgspec.structs.replace(found, state=change.state)
    return _with_endpoint(old, changed)


@_register_applier(AddEndpoint)
def _add_endpoint(old: Configuration, change: AddEndpoint):
    if change.endpoint.service not in old.services:
        raise errors.InvalidChangeError(
            f'endpoint.service {change.endpoint.service} is unknown'
        )
    return _with_endpoint(old, change.endpoint)


@_register_applier(RemoveEndpoint)
def _remove_endpoint(old: Configuration, change: RemoveEndpoint):
    found = old.endpoint(change.endpoint)
    if found.state is EndpointState.ACTIVE:
        raise errors.InvalidChangeError(
            f'endpoint {change.endpoint} is active; drain it first'
        )
    endpoints = dict(old.endpoints)
    del endpoints[change.endpoint]
    return {'endpoints': endpoints}


def _with_presence(
    names: tuple[str, ...], name: str, present: bool
) -> tuple[str, ...]:
    rest = tuple(other for other in names if other != name)
    return (*rest, name) if present else rest


@_register_applier(SetModel)
def _set_model(old: Configuration, change: SetModel):
    found = old.endpoint(change.endpoint)
    models = _with_presence(found.models, change.model, change.loaded)
    return _with_endpoint(old, msgspec.structs.replace(found, models=models))


@_register_applier(SetAdapter)
def _set_adapter(old: Configuration, change: SetAdapter):
    found = old.endpoint(change.endpoint)
    adapters = _with_presence(found.adapters, change.adapter, change.loaded)
    changed = msgspec.structs.replace(found, adapters=adapters)
    return _with_endpoint(old, changed)


@_register_applier(SetRole)
def _set_role(old: Configuration, change: SetRole):
    found = old.endpoint(change.endpoint)
    changed = msgspec.structs.replace(found, role=change.role)
    return _with_endpoint(old, changed)


@_register_applier(SetRule)
def _set_rule(old: Configuration, change: SetRule):
    if change.rule.service not in old.services:
        raise errors.InvalidChangeError(
            f'rule.service {change.rule.service} is unknown'
        )
    return {'rules': {**old.rules, change.rule.rule: change.rule}}


@_register_applier(RemoveRule)
def _remove_rule(old: Configuration, change: RemoveRule):
    if change.rule not in old.rules:
        raise errors.UnknownItemError(f'rule {change.rule} is unknown')
    rules = dict(old.rules)
    del rules[change.rule]
    return {'rules': rules}


@_register_applier(SetLimit)
def _set_limit(old: Configuration, change: SetLimit):
    if change.limit.requests_per_s <= 0:
        raise errors.InvalidChangeError(
            f'limit.requests_per_s: found {change.limit.requests_per_s}; '
            'must be more than 0'
        )
    if any(weight < 0 for weight in change.limit.regions.values()):
        raise errors.InvalidChangeError(
            'limit.regions: weights must not be negative: '
            f'found {change.limit.regions}'
        )
    return {'limits': {**old.limits, change.limit.team: change.limit}}


@_register_applier(IssueKey)
def _issue_key(old: Configuration, change: IssueKey):
    if not DIGEST.fullmatch(change.digest):
        raise errors.InvalidChangeError(
            f'digest: found {change.digest[:40]!r}; must be '
            f'{2 * teams.DIGEST_BYTES} hexadecimal digits'
        )
    holder = old.keys.get(change.digest, change.team)
    if holder != change.team:
        raise errors.InvalidChangeError(
            f'digest: key is already issued to team {holder}; team '
            f'{change.team} needs another key'
        )
    keys = {**old.keys, change.digest: change.team}
    return {'keys': keys, 'proved': True}


@_register_applier(WithdrawKey)
def _withdraw_key(old: Configuration, change: WithdrawKey):
    if change.digest not in old.keys:
        raise errors.UnknownItemError(
            f'key with digest {change.digest[:40]!r} is not issued'
        )
    keys = dict(old.keys)
    del keys[change.digest]
    return {'keys': keys}


@_register_applier(SetRoutes)
def _set_routes(old: Configuration, change: SetRoutes):
    if change.table.version <= old.routes.version:
        raise errors.InvalidChangeError(
            f'route table version {change.table.version} is not above '
            f'{old.routes.version}'
        )
    return {'routes': change.table}


@_register_applier(SetEvacuation)
def _set_evacuation(old: Configuration, change: SetEvacuation):
    return {
        'evacuated': _with_presence(
            old.evacuated, change.data_centre, change.evacuated
        )
    }


@_register_applier(SetQuarantine)
def _set_quarantine(old: Configuration, change: SetQuarantine):
    new = quarantine.apply_changes(
        old.quarantine, change.entered, change.cleared
    )
    return {'quarantine': new}


@_register_applier(SetAll)
def _set_all(_old: Configuration, change: SetAll):
    return _fields_except_index(change.configuration)


def _fields_except_index(of: Configuration) -> dict:
    return {
        field: getattr(of, field)
        for field in of.__struct_fields__
        if field != 'index'
    }


@_register_applier(ChangeBatch)
def _apply_batch(old: Configuration, change: ChangeBatch):
    new = old
    for one in change.changes:
        new = apply(new, one, old.index)
    return _fields_except_index(new)

"""Settings of a deployment: one JSON file, validated as a whole.

The models below define the defaults. Every process of a deployment reads the
same file; its command line names the host that it runs.
"""

import collections
import pathlib
import typing

import pydantic

from wrenspoke import errors
from wrenspoke.state import configuration

Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
]
Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
Positive = typing.Annotated[int, pydantic.Field(ge=1)]
Share = typing.Annotated[float, pydantic.Field(ge=0, le=1)]
Weight = typing.Annotated[float, pydantic.Field(ge=0)]


class SettingsError(errors.WrenspokeError):
    """Lists every problem found in a settings file."""

    def __init__(self, problems: list[str]):
        super().__init__('\n'.join(problems))
        self.problems = problems


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class RegionLink(_Section):
    """One-way delay between two regions."""

    regions: tuple[Name, Name] = pydantic.Field(
        description='the two regions that the link joins'
    )
    one_way_ms: Weight = pydantic.Field(description='one-way delay')


class HostSettings(_Section):
    """One host of the deployment."""

    host: Name = pydantic.Field(description='name, unique')
    region: Name = pydantic.Field(description='region it stands in')
    data_centre: Name = pydantic.Field(description='data centre')
    ip: pydantic.IPvAnyAddress = pydantic.Field(description='IP number')
    http_port: Port = pydantic.Field(
        description='port for callers and forwarded requests'
    )
    link_port: Port = pydantic.Field(
        description='port for keyed links between hosts'
    )
    operator_port: Port | None = pydantic.Field(
        default=None, description='port for operators, on control hosts'
    )
    public_key: str = pydantic.Field(
        min_length=40, max_length=40, description='CURVE key, Z85 text'
    )
    roles: tuple[typing.Literal['entry', 'ledger', 'control'], ...] = (
        pydantic.Field(default=('entry',), description='what runs on the host')
    )
    data_folder: str | None = pydantic.Field(
        default=None, description='folder on a disk, on control hosts'
    )


class EntrySettings(_Section):
    """Request handling of entry hosts."""

    body_limit_bytes: Positive = pydantic.Field(
        default=8 * 1024 * 1024, description='largest body of a request'
    )
    answer_limit_bytes: Positive = pydantic.Field(
        default=8 * 1024 * 1024, description='largest whole answer'
    )
    body_timeout_ms: Positive = pydantic.Field(
        default=10_000, description='time to receive a body in'
    )
    connect_timeout_ms: Positive = pydantic.Field(
        default=1_000, description='time to connect to an endpoint or host'
    )
    default_deadline_ms: Positive = pydantic.Field(
        default=30_000, description='deadline where the caller gives none'
    )
    deadline_limit_ms: Positive = pydantic.Field(
        default=600_000, description='longest deadline a caller may give'
    )
    stall_timeout_ms: Positive = pydantic.Field(
        default=5_000,
        description='silence within a stream that counts as a failure',
    )
    directory_ttl_ms: Positive = pydantic.Field(
        default=5_000, description='time to live of the directory'
    )
    beat_interval_ms: Positive = pydantic.Field(
        default=1_000, description='time between heartbeats'
    )
    beat_budget_bytes_per_s: Positive = pydantic.Field(
        default=1_200,
        description='bytes a second for heartbeats, both ways; in a large '
        'data centre they become rarer to keep to it',
    )
    suspect_after_ms: Positive = pydantic.Field(
        default=3_500, description='silence after which a host is suspected'
    )
    load_poll_interval_ms: Positive = pydantic.Field(
        default=1_000, description='time between load reports of an engine'
    )
    pull_interval_ms: Positive = pydantic.Field(
        default=5_000,
        description='time between looks for configuration, beside being '
        'told of changes',
    )
    queue_limit: Positive = pydantic.Field(
        default=256, description='requests of one service that may wait'
    )
    attempts_limit: Positive = pydantic.Field(
        default=3, description='sends for one request, the first included'
    )
    retry_ratio: Share = pydantic.Field(
        default=0.1, description='retries allowed per first attempt'
    )
    retry_burst: Positive = pydantic.Field(
        default=10, description='retries allowed at once'
    )
    retry_owner: typing.Literal['nearest', 'each'] = pydantic.Field(
        default='nearest',
        description='who retries: the host nearest to the endpoint, or, '
        'as a baseline for measurements, each host on the way',
    )
    retry_after_ms: Positive = pydantic.Field(
        default=1_000,
        description='when to come back, where nothing better is known',
    )
    stop_timeout_ms: Positive = pydantic.Field(
        default=60_000, description='time for work in flight at a stop'
    )
    leave_delay_ms: Positive = pydantic.Field(
        default=2_000,
        description='time that a stopping host still answers, so that '
        'callers learn of it from the directory',
    )
    policy: typing.Literal[
        'estimate', 'random', 'round_robin', 'least_reported'
    ] = pydantic.Field(
        default='estimate', description='how endpoints are ranked'
    )
    platform_url: str | None = pydantic.Field(
        default=None, description="the platform's list of leaving hosts"
    )


class LedgerSettings(_Section):
    """Settings of the ledger of once-only requests."""

    claim_retention_ms: Positive = pydantic.Field(
        default=900_000, description='age at which a key is refused'
    )
    clock_skew_ms: Positive = pydantic.Field(
        default=1_000, description='most that two wall clocks differ'
    )
    kept_answer_bytes: Positive = pydantic.Field(
        default=65_536, description='largest answer kept for a resend'
    )
    call_timeout_ms: Positive = pydantic.Field(
        default=500, description='time for a ledger host to answer'
    )


class ControlSettings(_Section):
    """Consensus and plan execution of control hosts."""

    beat_interval_ms: Positive = pydantic.Field(
        default=500, description='time between heartbeats of the leader'
    )
    election_timeout_ms: Positive = pydantic.Field(
        default=2_500, description='silence that starts an election'
    )
    snapshot_entries: Positive = pydantic.Field(
        default=1_000, description='log entries between two snapshots'
    )
    voters_limit: Positive | None = pydantic.Field(
        default=None,
        description='most voters; more control hosts stand by; null: all',
    )
    replace_after_ms: Positive = pydantic.Field(
        default=20_000,
        description='silence after which a host that stands by takes the '
        'place of a voter',
    )
    order_timeout_ms: Positive = pydantic.Field(
        default=5_000, description='longest an order to an engine may take'
    )
    weight_loads_per_minute: Positive = pydantic.Field(
        default=6, description='loads that the weight store allows'
    )
    drain_poll_interval_ms: Positive = pydantic.Field(
        default=500, description='time between looks at a drain'
    )


class OperatorSettings(_Section):
    """An operator who may change the configuration."""

    operator: Name = pydantic.Field(description='name, unique')
    token_sha256: typing.Annotated[
        str, pydantic.Field(pattern=r'^[0-9a-f]{64}$')
    ] = pydantic.Field(description='SHA-256 of the token, in hexadecimal')


class ServiceSettings(_Section):
    """One service of the first configuration."""

    service: Name = pydantic.Field(description='name, unique')
    kind: configuration.ServiceKind = pydantic.Field(
        description='engine or plain'
    )
    cost_weight: Weight = pydantic.Field(
        default=1.0, description='how much price counts in routing'
    )
    tail_weight: Weight = pydantic.Field(
        default=1.0, description='how much slow first tokens count'
    )


class EndpointSettings(_Section):
    """One endpoint of the first configuration."""

    endpoint: Name = pydantic.Field(description='name, unique')
    service: Name = pydantic.Field(description='its service')
    region: Name = pydantic.Field(description='its region')
    data_centre: Name = pydantic.Field(description='its data centre')
    url: typing.Annotated[
        str, pydantic.Field(pattern=r'^http://[0-9a-fA-F.:\[\]]+$')
    ] = pydantic.Field(description='http, IP number and port')
    fenced: bool = pydantic.Field(
        default=False, description='refuses orders with old numbers'
    )
    echoes_request_id: bool = pydantic.Field(
        default=True, description='returns the request id it was given'
    )
    price_per_mtok: Weight = pydantic.Field(
        default=1.0, description='price of a million tokens'
    )
    slots: Positive = pydantic.Field(
        default=8, description='requests it works on at once'
    )
    models: tuple[str, ...] = pydantic.Field(
        default=(), description='model versions it has loaded'
    )


class RuleSettings(_Section):
    """One rule of the first configuration."""

    rule: Name = pydantic.Field(description='name, unique')
    service: Name = pydantic.Field(description='service it is about')
    path_prefix: str = pydantic.Field(
        default='/', description='start of the paths it is about'
    )
    methods: tuple[str, ...] = pydantic.Field(
        default=(), description='methods it is about; none means all'
    )
    bound: bool = pydantic.Field(
        default=False, description='served in the home region only'
    )
    once: bool = pydantic.Field(default=False, description='runs at most once')


class LimitSettings(_Section):
    """One team's limit in the first configuration."""

    team: Name = pydantic.Field(description='name, unique')
    requests_per_s: Weight = pydantic.Field(
        gt=0, description='requests a second over the whole system'
    )
    burst: Positive = pydantic.Field(
        default=10, description='requests at once over the whole system'
    )
    regions: dict[Name, Weight] = pydantic.Field(
        default_factory=dict,
        description='weights of the regions; none means equal parts',
    )


class Deployment(_Section):
    """Settings that all processes of one deployment share."""

    cluster: Name = pydantic.Field(description='name of the deployment')
    keys_folder: str = pydantic.Field(
        default='keys', description='folder of secret keys, from the file'
    )
    links: tuple[RegionLink, ...] = pydantic.Field(
        default=(), description='delays between regions'
    )
    hosts: tuple[HostSettings, ...] = pydantic.Field(
        min_length=1, description='every host'
    )
    operators: tuple[OperatorSettings, ...] = pydantic.Field(
        default=(), description='who may decide'
    )
    entry: EntrySettings = pydantic.Field(
        default_factory=EntrySettings, description='entry hosts'
    )
    ledger: LedgerSettings = pydantic.Field(
        default_factory=LedgerSettings, description='once-only requests'
    )
    control: ControlSettings = pydantic.Field(
        default_factory=ControlSettings, description='control hosts'
    )
    services: tuple[ServiceSettings, ...] = pydantic.Field(
        default=(), description='services at the founding'
    )
    endpoints: tuple[EndpointSettings, ...] = pydantic.Field(
        default=(), description='endpoints at the founding'
    )
    rules: tuple[RuleSettings, ...] = pydantic.Field(
        default=(), description='rules at the founding'
    )
    limits: tuple[LimitSettings, ...] = pydantic.Field(
        default=(), description='limits at the founding'
    )

    def host(self, name: str) -> HostSettings:
        """Return the settings of a host.

        :raises SettingsError: no host has that name
        """
        for host in self.hosts:
            if host.host == name:
                return host
        raise SettingsError([f'hosts: no host is named {name!r}'])

    def with_role(self, role: str) -> list[HostSettings]:
        """Return the hosts that have a role, in the order of the file."""
        return [host for host in self.hosts if role in host.roles]

    def one_way_ms(self, one: str, other: str) -> float:
        """Return the one-way delay between two regions, 0 within one."""
        if one == other:
            return 0.0
        for link in self.links:
            if set(link.regions) == {one, other}:
                return link.one_way_ms
        return DEFAULT_ONE_WAY_MS

    def first_configuration(self) -> configuration.Configuration:
        """Return the configuration that a new control group starts with."""
        return configuration.Configuration(
            services={
                item.service: configuration.Service(**item.model_dump())
                for item in self.services
            },
            endpoints={
                item.endpoint: configuration.Endpoint(**item.model_dump())
                for item in self.endpoints
            },
            rules={
                item.rule: configuration.Rule(**item.model_dump())
                for item in self.rules
            },
            limits={
                item.team: configuration.TeamLimit(**item.model_dump())
                for item in self.limits
            },
        )


DEFAULT_ONE_WAY_MS = 80.0


def read(path: str | pathlib.Path) -> Deployment:
    """Read and validate a settings file.

    :raises SettingsError: listing every problem found
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise SettingsError([f'{path}: {error.strerror}']) from error
    return parse(text)


def parse(text: bytes | str) -> Deployment:
    """Parse and validate settings, given as JSON.

    :raises SettingsError: listing every problem found
    """
    try:
        deployment = Deployment.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise SettingsError(
            [_describe(problem) for problem in error.errors()]
        ) from error
    problems = _cross_check(deployment)
    if problems:
        raise SettingsError(problems)
    return deployment


MAX_SHOWN_INPUT_CHARS = 80


def _describe(problem: dict) -> str:
    path = '.'.join(str(part) for part in problem['loc']) or 'file'
    if problem['type'] == 'extra_forbidden':
        return f'{path}: unknown field; remove it or correct its name'
    if problem['type'] == 'missing':
        return f'{path}: required, but missing'
    found = repr(problem['input'])[:MAX_SHOWN_INPUT_CHARS]
    return f'{path}: found {found}; {problem["msg"]}'


def _cross_check(deployment: Deployment) -> list[str]:
    problems = []
    problems += _duplicates('hosts', 'host', deployment.hosts)
    problems += _duplicates('services', 'service', deployment.services)
    problems += _duplicates('endpoints', 'endpoint', deployment.endpoints)
    problems += _duplicates('rules', 'rule', deployment.rules)
    problems += _duplicates('limits', 'team', deployment.limits)
    problems += _duplicates('operators', 'operator', deployment.operators)
    problems += _unknown_names(deployment)
    problems += _host_problems(deployment)
    if (
        deployment.entry.suspect_after_ms
        < 2 * deployment.entry.beat_interval_ms
    ):
        problems.append(
            'entry.suspect_after_ms: found '
            f'{deployment.entry.suspect_after_ms}; must be at least twice '
            'entry.beat_interval_ms'
        )
    if (
        deployment.control.election_timeout_ms
        < 3 * deployment.control.beat_interval_ms
    ):
        problems.append(
            'control.election_timeout_ms: found '
            f'{deployment.control.election_timeout_ms}; must be at least '
            'three times control.beat_interval_ms'
        )
    return problems


def _duplicates(section: str, field: str, items: typing.Iterable) -> list:
    counts = collections.Counter(getattr(item, field) for item in items)
    return [
        f'{section}: {field} {name!r} occurs {count} times; it must be unique'
        for name, count in counts.items()
        if count > 1
    ]


def _unknown_names(deployment: Deployment) -> list[str]:
    services = {item.service for item in deployment.services}
    regions = {host.region for host in deployment.hosts}
    problems = []
    for section in ('endpoints', 'rules'):
        for number, item in enumerate(getattr(deployment, section)):
            if item.service in services:
                continue
            problems.append(
                f'{section}.{number}.service: found {item.service!r}; '
                f'must be one of {sorted(services)}'
            )
    for number, item in enumerate(deployment.endpoints):
        if item.region in regions:
            continue
        problems.append(
            f'endpoints.{number}.region: found {item.region!r}; '
            f'must be one of {sorted(regions)}'
        )
    return problems


def _host_problems(deployment: Deployment) -> list[str]:
    problems = []
    addresses = collections.Counter()
    for number, host in enumerate(deployment.hosts):
        for port in (host.http_port, host.link_port, host.operator_port):
            if port is not None:
                addresses[(str(host.ip), port)] += 1
        if 'control' not in host.roles:
            continue
        for field in ('data_folder', 'operator_port'):
            if getattr(host, field) is None:
                problems.append(
                    f'hosts.{number}.{field}: required on a control host'
                )
    for (ip, port), count in addresses.items():
        if count > 1:
            problems.append(f'hosts: {ip} port {port} occurs {count} times')
    return problems

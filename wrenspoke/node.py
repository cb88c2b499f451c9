"""Settings of one host in a deployment with host discovery.

Each host has a JSON file, in place of the deployment file that
``wrenspoke.settings`` reads. It contains the host's own addresses and a few
seeds, but no other hosts. It is read at the start and again when it changes.
The structures below define the defaults.
"""

import pathlib
import typing

import msgspec

from wrenspoke import errors
from wrenspoke import feature_flags
from wrenspoke import ids

Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Positive = typing.Annotated[int, msgspec.Meta(ge=1)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0)]
Address = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$')
]

Losses = typing.Annotated[int, msgspec.Meta(ge=0)]


class NodeSettingsError(errors.WrenspokeError):
    """Names the field of a host's settings that is invalid, and why."""


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


class NodeControlSettings(_Section):
    """Consensus settings of control hosts.

    There are ``2 * tolerated_losses + 1`` voters, and further control hosts
    are learners; null makes every control host a voter. The election timeout
    allows for several round trips between distant regions and for slow disk
    syncs. After ``replace_after_ms`` of silence a learner replaces a voter.
    Until then the loss of one more disk may cost the group its quorum. A
    replaced voter that returns becomes a learner.
    """

    beat_interval_ms: Positive = 200
    # A round trip between distant regions takes up to 160 ms.
    election_timeout_ms: Positive = 1_000
    snapshot_entries: Positive = 500
    tolerated_losses: Losses | None = None
    replace_after_ms: Positive = 1_000

    @property
    def voters_limit(self) -> int | None:
        """Return the maximum number of voters, None if there is none."""
        if self.tolerated_losses is None:
            return None
        return 2 * self.tolerated_losses + 1


class NodeEntrySettings(_Section):
    """Request handling of an entry host.

    Endpoints are near, so a connection that exceeds the connect timeout is
    unlikely to succeed. ``endpoint_idle_ms`` is below the shortest idle
    timeout of endpoints, and ``host_idle_ms`` below ``caller_idle_ms``, so
    that no request is sent on a connection that the peer is closing.
    ``far_connect_timeout_ms`` covers a round trip between distant regions
    and the retransmission of a lost packet. A host in another region is
    suspected after several round trips of silence. Engine reports lag by
    some hundred ms, so shorter report intervals yield little.
    """

    connect_timeout_ms: Positive = 400
    endpoint_idle_ms: Positive = 4_000
    # A round trip between distant regions takes up to 160 ms.
    far_connect_timeout_ms: Positive = 700
    host_idle_ms: Positive = 20_000
    caller_idle_ms: Positive = 30_000
    body_timeout_ms: Positive = 10_000
    body_limit_bytes: Positive = 8 * 1024 * 1024
    header_limit_bytes: Positive = 64 * 1024
    default_deadline_ms: Positive = 30_000
    suspect_after_ms: Positive = 1_200
    report_interval_ms: Positive = 400
    leave_delay_ms: Positive = 2_500
    grace_ms: Positive = 8_000


class RetryBudgetSettings(_Section):
    """Bounds the retries of a service, over all hosts.

    In any window: ``ratio`` times its requests, plus ``fixed``.
    """

    ratio: Amount = 0.1
    fixed: Amount = 10
    window_ms: Positive = 10_000


class OvershootSettings(_Section):
    """Bounds how far teams may exceed their limits, over all hosts.

    In any window: ``share`` of what a limit allows in it, plus ``fixed``.
    Higher bounds let larger calls start without waiting for tokens. With
    ``admission`` enabled, regions hold shares of limits in advance, for all
    teams, if these are at most ``max_ahead_shares`` over all regions.
    """

    window_ms: Positive = 8_000
    share: Amount = 0.1
    fixed: Amount = 0
    max_ahead_shares: Losses = 300


class AdmissionSettings(_Section):
    """Admission of calls where engines have too little room.

    A call without room waits for at most ``max_wait_ms`` at the host before
    it is forwarded or refused.
    """

    enabled: bool = False
    max_wait_ms: Positive = 200


class BalancingSettings(_Section):
    """Balancing of calls over regions and engines by their capacity."""

    enabled: bool = False


class BufferingSettings(_Section):
    """Bounds of the bytes that a host holds for callers and endpoints.

    ``ceiling_bytes`` bounds the bytes of all calls; with null it is a share
    of ``resources.memory_bytes``. Up to ``call_limit_bytes`` of a response are
    held for a caller that reads slowly. One that reads nothing for
    ``caller_stall_ms`` is let go.
    """

    enabled: bool = False
    ceiling_bytes: Positive | None = None
    call_limit_bytes: Positive = 512 * 1024
    caller_stall_ms: Positive = 8_000


class RequestPathSettings(_Section):
    """The way of a call to a host of another region.

    Idle connections, at most ``spares_limit`` to one host, are opened before
    calls need them, and the overhead of a hop is learned from hops.
    """

    enabled: bool = False
    spares_limit: Positive = 8


class HostResources(_Section):
    """Resources that the host has, null where unknown.

    ``link_bits_per_s`` is the rate of its network link each way, and
    ``cores`` the processor time that it gets a second, in seconds. A process
    may use ``descriptors``, or what the kernel allows it if that is less.
    """

    memory_bytes: Positive | None = None
    link_bits_per_s: Positive | None = None
    cores: Amount | None = None
    descriptors: Positive | None = None


class NodeSettings(_Section):
    """All settings of one host.

    ``ip`` and ``link_port`` identify the host; all hosts use the same link
    port. ``regions`` maps each data centre to its region. ``seeds`` are
    addresses of control hosts to join; ``first_start`` is true only at the
    first start of the deployment. A listener whose address is null is
    disabled. Once ``withdrawn_keys_ms`` have passed since a key was withdrawn,
    no host runs requests under it, not even a partitioned one; with null,
    partitioned hosts continue to run them.
    """

    cluster: str
    ip: str
    region: ids.RegionId
    data_centre: ids.DataCentreId
    regions: dict[ids.DataCentreId, ids.RegionId]
    link_port: Port
    seeds: list[Address]
    first_start: bool = False
    callers_address: Address | None = None
    passing_port: Port | None = None
    readiness_address: Address | None = None
    control_address: Address | None = None
    directory_address: Address | None = None
    data_folder: str | None = None
    directory_ttl_ms: Positive = 2_000
    withdrawn_keys_ms: Positive | None = None
    control: NodeControlSettings = NodeControlSettings()
    entry: NodeEntrySettings = NodeEntrySettings()
    retries: RetryBudgetSettings = RetryBudgetSettings()
    limits: OvershootSettings = OvershootSettings()
    admission: AdmissionSettings = AdmissionSettings()
    balancing: BalancingSettings = BalancingSettings()
    buffering: BufferingSettings = BufferingSettings()
    request_path: RequestPathSettings = RequestPathSettings()
    resources: HostResources = HostResources()
    switched_off: frozenset[feature_flags.FeatureFlag] = frozenset()

    @property
    def host(self) -> ids.HostId:
        """Return this host's name, which is the address of its links."""
        return ids.HostId(f'{self.ip}:{self.link_port}')

    @property
    def seed_hosts(self) -> list[ids.HostId]:
        """Return the host names of the seeds."""
        return [
            ids.HostId(f'{seed.rpartition(":")[0]}:{self.link_port}')
            for seed in self.seeds
        ]

    def control_address_of(self, host: ids.HostId) -> str | None:
        """Return a control host's address for operators, None if disabled."""
        if self.control_address is None:
            return None
        port = self.control_address.rpartition(':')[2]
        return f'{host.rpartition(":")[0]}:{port}'


def read(path: str | pathlib.Path) -> NodeSettings:
    """Read and validate a host's settings file.

    :raises NodeSettingsError: naming the first invalid field
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise NodeSettingsError(f'{path}: {error.strerror}') from error
    return parse(text)


def parse(text: bytes | str) -> NodeSettings:
    """Parse and validate a host's settings, given as JSON.

    :raises NodeSettingsError: naming the first invalid field
    """
    try:
        node = msgspec.json.decode(text, type=NodeSettings)
    except msgspec.DecodeError as error:
        raise NodeSettingsError(str(error)) from error
    for problem in _problems(node):
        raise NodeSettingsError(problem)
    return node


def _problems(node: NodeSettings) -> typing.Iterator[str]:
    if node.data_centre not in node.regions:
        yield f'data_centre: found {node.data_centre!r}; not in regions'
    elif node.regions[node.data_centre] != node.region:
        yield f'region: found {node.region!r}; regions maps to another one'
    if not node.seeds:
        yield 'seeds: at least one control host is required'
    if node.callers_address is not None and node.passing_port is None:
        yield 'passing_port: required on an entry host'
    if node.control_address is not None and not node.data_folder:
        yield 'data_folder: required on a control host'
    if node.callers_address is None and node.control_address is None:
        yield 'callers_address: required, unless control_address is set'
    least_ms = 3 * node.control.beat_interval_ms
    if node.control.election_timeout_ms < least_ms:
        yield (
            'control.election_timeout_ms: must be at least three times '
            'control.beat_interval_ms'
        )

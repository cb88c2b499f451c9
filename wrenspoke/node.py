"""Settings of one host where hosts find each other at run time.

A JSON file a host, beside the deployment file of ``wrenspoke.settings``:
the host knows its own addresses and a few seeds, nothing of the others.
Read once at the start and again when it changes. The structures below
are the table of defaults.
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


# Closing what is left after a stop's work is done.
STOP_MARGIN_MS = 700
Losses = typing.Annotated[int, msgspec.Meta(ge=0)]


class NodeSettingsError(errors.WrenspokeError):
    """Say which field of a host's settings is wrong, and how."""


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


class NodeControlSettings(_Section):
    """How control hosts agree.

    There are twice the tolerated losses and one voters; further control
    hosts stand by. The election time-out is some round trips between far
    regions (160 ms each) and a slow disk's syncs. A host that stands by
    takes the place of a voter that was silent for as long as makes a
    leader count as lost: until then one more lost disk may end the group,
    while one that comes back after all stands by and costs two entries.
    """

    beat_interval_ms: Positive = 200
    election_timeout_ms: Positive = 1_000
    snapshot_entries: Positive = 500
    tolerated_losses: Losses | None = None
    replace_after_ms: Positive = 1_000

    @property
    def voters_limit(self) -> int | None:
        """Return how many voters there are at the most."""
        if self.tolerated_losses is None:
            return None
        return 2 * self.tolerated_losses + 1


class NodeEntrySettings(_Section):
    """How an entry host treats requests.

    Endpoints are near, so that a connection that takes longer than the
    connect time-out will not come. Theirs rest a while less than the
    shortest time after which endpoints close them, those to hosts less
    than callers' do. A far connection takes a round trip of 160 ms, and
    one lost packet costs some more. A host elsewhere is
    suspected after the silence of some round trips. Engines report with a
    lag of some hundred ms, so that asking more often tells little.
    """

    connect_timeout_ms: Positive = 400
    endpoint_idle_ms: Positive = 4_000
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

    @property
    def stop_timeout_ms(self) -> int:
        """Return the time for work in flight, so that a stop is in time."""
        left_ms = self.grace_ms - self.leave_delay_ms - STOP_MARGIN_MS
        return max(left_ms, 0)


class RetryBudgetSettings(_Section):
    """Bound the repeats that a service is sent over all hosts.

    In any window: ``ratio`` times its requests, and ``fixed`` more.
    """

    ratio: Amount = 0.1
    fixed: Amount = 10
    window_ms: Positive = 10_000


class OvershootSettings(_Section):
    """Say how far teams' limits may be exceeded, over all hosts.

    In any window: ``share`` of what a limit allows in it, and ``fixed``
    more. The more, the larger the calls that find their amount at once.
    """

    window_ms: Positive = 8_000
    share: Amount = 0.1
    fixed: Amount = 0


class NodeSettings(_Section):
    """Everything that one host has to know.

    ``ip`` and ``link_port`` name the host; links use one port on all
    hosts. ``regions`` tells the region of each data centre. ``seeds`` are
    control addresses to begin with, ``first_start`` is true only at the
    first start of all. Addresses that are null are not listened to.
    ``withdrawn_keys_ms`` after a key was withdrawn it runs nothing on any
    host, not even on one that is cut off; null lets those go on.
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
    switched_off: frozenset[feature_flags.FeatureFlag] = frozenset()

    @property
    def host(self) -> ids.HostId:
        """Return this host's name: where its link listens."""
        return ids.HostId(f'{self.ip}:{self.link_port}')

    @property
    def seed_hosts(self) -> list[ids.HostId]:
        """Return the seeds' names; links use one port everywhere."""
        return [
            ids.HostId(f'{seed.rpartition(":")[0]}:{self.link_port}')
            for seed in self.seeds
        ]

    def control_address_of(self, host: ids.HostId) -> str | None:
        """Return where operators reach a control host, if they can."""
        if self.control_address is None:
            return None
        port = self.control_address.rpartition(':')[2]
        return f'{host.rpartition(":")[0]}:{port}'


def read(path: str | pathlib.Path) -> NodeSettings:
    """Read and check a host's settings.

    :raises NodeSettingsError: naming the field that is wrong
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise NodeSettingsError(f'{path}: {error.strerror}') from error
    return parse(text)


def parse(text: bytes | str) -> NodeSettings:
    """Check a host's settings given as JSON text.

    :raises NodeSettingsError: naming the field that is wrong
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
        yield f'region: found {node.region!r}; regions says another'
    if not node.seeds:
        yield 'seeds: at least one control host is needed'
    if node.callers_address is not None and node.passing_port is None:
        yield 'passing_port: required on an entry host'
    if node.control_address is not None and not node.data_folder:
        yield 'data_folder: required on a control host'
    if node.callers_address is None and node.control_address is None:
        yield 'callers_address: this host has neither that nor a control one'
    least_ms = 3 * node.control.beat_interval_ms
    if node.control.election_timeout_ms < least_ms:
        yield (
            'control.election_timeout_ms: must be at least three times '
            'control.beat_interval_ms'
        )

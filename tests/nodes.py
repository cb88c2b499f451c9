"""Runs hosts with host discovery in this process, on loopback.

Every host has its own loopback address, as all use the same ports.
"""

import asyncio
import contextlib
import itertools
import os

from wrenspoke import control_node
from wrenspoke.coordination.agreement import direct_decisions
from wrenspoke import entry_node
from wrenspoke import node as settings
from wrenspoke.protocol import dialect as dialects
from wrenspoke.state import errors
from wrenspoke.state import loads
from wrenspoke.state import registry
from wrenspoke.state import routes
from wrenspoke.transport import web

WAIT_S = float(os.environ.get('WRENSPOKE_TEST_WAIT_S', 60))
REGIONS = {
    'north-hall': 'north',
    'south-hall': 'south',
    'west-hall': 'west',
}
# Each pytest-xdist worker uses its own range of addresses.
_WORKER = os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw')
_NUMBERS = itertools.count(1)
FAST = settings.NodeControlSettings(
    beat_interval_ms=50, election_timeout_ms=300, tolerated_losses=1
)


def new_ip():
    """Return an unused loopback address."""
    number = next(_NUMBERS)
    return f'127.{10 + int(_WORKER)}.{number // 250}.{1 + number % 250}'


class NoReports:
    """Rejects every load report, for endpoints that provide none."""

    path = '/load'

    def read(self, endpoint, body):
        raise errors.InvalidChangeError('no report')


class Reports:
    """Parses load reports of numbers separated by blanks."""

    path = '/load'

    def read(self, endpoint, body):
        return loads.EngineLoad(endpoint, *(int(n) for n in body.split()))


class Nodes:
    """Runs the hosts of a small deployment."""

    def __init__(self, folder, controls=1, reports=None):
        self.folder = folder
        self.ports = web.free_ports(4)
        self.reports = reports or NoReports()
        self.control_ips = [new_ip() for _number in range(controls)]
        self.controls = []
        self.entries = []
        self.numbers = itertools.count(1)
        # Overrides of the settings of every entry host.
        self.changes = {}

    def node(self, ip, data_centre='north-hall', **changes):
        """Return the settings of one host."""
        fields = {
            'cluster': 'test',
            'ip': ip,
            'region': REGIONS[data_centre],
            'data_centre': data_centre,
            'regions': REGIONS,
            'link_port': self.ports[0],
            'seeds': [f'{one}:{self.ports[1]}' for one in self.control_ips],
            'control': FAST,
            **changes,
        }
        return settings.NodeSettings(**fields)

    async def start_control(self, ip, first_start=True):
        """Start a control host on the data folder of its address."""
        node = self.node(
            ip,
            control_address=f'{ip}:{self.ports[1]}',
            data_folder=str(self.folder / ip),
            first_start=first_start,
        )
        control_host = control_node.ControlNode(node)
        await control_host.start()
        self.controls.append(control_host)
        return control_host

    async def start_entry(self, data_centre='north-hall', **entry):
        """Start an entry host and wait until it serves."""
        ip = new_ip()
        node = self.node(
            ip,
            data_centre,
            callers_address=f'{ip}:{self.ports[2]}',
            passing_port=self.ports[3],
            entry=settings.NodeEntrySettings(
                **{'leave_delay_ms': 100, 'grace_ms': 2_000, **entry}
            ),
            **self.changes,
        )
        entry_host = entry_node.EntryNode(
            node, dialects.Dialect(), self.reports
        )
        await entry_host.start()
        self.entries.append(entry_host)
        return entry_host

    async def start(self, entries=1):
        """Start every control host and some entry hosts."""
        for ip in self.control_ips:
            await self.start_control(ip)
        for _number in range(entries):
            await self.start_entry()
        return self

    async def leader(self):
        """Wait for a leader and return its control host."""
        return await until(
            lambda: next((c for c in self.controls if c.voter.has_lease), None)
        )

    async def put(
        self, *found, version=None, teams=None, others=(), **service
    ):
        """Commit a route table and wait until every entry host has it.

        ``others`` names services beside the one that ``service`` describes.
        """
        leader = await self.leader()
        table = routes.RouteTable(
            version or next(self.numbers),
            found,
            {
                's': routes.RoutedService('s', '/health', 10, **service),
                **{
                    name: routes.RoutedService(name, '/health', 10)
                    for name in others
                },
            },
            digest=repr((found, teams)),
            teams=teams,
        )
        decisions = direct_decisions.DirectDecisions(
            leader.voter, leader.clock
        )
        await decisions.replace_routes(table)
        await until(
            lambda: all(
                entry.replica.serving
                and entry.replica.current.routes.version >= table.version
                for entry in self.entries
            )
        )

    async def register(
        self, name, endpoint, service='s', data_centre='north-hall', **changes
    ):
        """Register an endpoint and wait until every entry host lists it."""
        registration = registry.Registration(
            name,
            service,
            endpoint.address,
            data_centre,
            changes.get('slots', 4),
            changes.get('state', registry.RegistrationState.READY),
            next(self.numbers),
            changes.get('warmup_left_ms', 0),
            build=changes.get('build', ''),
        )
        self.controls[0].registrar.register(registration)
        await until(
            lambda: all(
                (found := entry.discovery.registry.entries.get(name))
                and found.registration.state is registration.state
                for entry in self.entries
            )
        )

    async def close(self):
        """Stop every host."""
        for one in [*self.entries, *self.controls]:
            await one.close()


@contextlib.asynccontextmanager
async def running(folder, controls=1, entries=1, reports=None):
    """Run a small deployment for the duration of the block."""
    system = Nodes(folder, controls, reports)
    try:
        yield await system.start(entries)
    finally:
        await system.close()


async def until(condition):
    """Wait until ``condition`` returns something true, and return it."""
    async with asyncio.timeout(WAIT_S):
        while not (found := condition()):
            await asyncio.sleep(0.02)
    return found

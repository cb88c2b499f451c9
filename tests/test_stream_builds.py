"""Streams go on only at the build of the engine software that began them.

Several entry hosts and scripted engines of several builds run on loopback.
Engines send numbered events that name them, and break off after some.
"""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import itertools
import json
import re
import typing

import pytest

from tests import endpoints
from tests import nodes
from tests import test_adapter
from tests import test_passing
from wrenspoke import node as settings
from wrenspoke.state import errors
from wrenspoke.state import registry
from wrenspoke.state import routes

RESET = endpoints.ScriptedEndpoint.RESET
STALL = endpoints.ScriptedEndpoint.STALL
ID = test_passing.ID
RESUMES = 'Wrenspoke-Resumes'
LAST_EVENT_ID = 'Last-Event-ID'
LAST_EVENT = 6
STREAM_COUNT = 20
# Much longer than tests wait, so that refusals must come before it.
DEADLINE_MS = 600_000
EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)\n\n')
STATUS = re.compile(rb'HTTP/1\.1 (\d+) ')
NORTH = 'north-hall'
ANNEX = 'north-annex'
SOUTH = 'south-hall'
WEST = 'west-hall'
# Breaks a send off before the head of its response.
BEFORE_HEAD = -1
# Streams at a time; engines accept few connections.
BATCH = 5
# The engine named by events of streams whose begin no host has seen.
UNKNOWN = 'unknown'


@pytest.fixture(autouse=True)
def second_northern_data_centre(monkeypatch):
    """Add a second data centre to the region north."""
    monkeypatch.setitem(nodes.REGIONS, ANNEX, 'north')


class Send(typing.NamedTuple):
    """One send of a stream to an engine."""

    request: str
    path: str
    last_event: str | None
    build: str | None


class Engine:
    """Sends numbered events, and breaks off where the request says.

    ``X-Breaks`` lists after which event each send of a path breaks off, over
    all engines; further sends complete the stream.
    """

    def __init__(self, name, build, data_centre, send_counts):
        self.name = name
        self.build = build
        self.data_centre = data_centre
        self.born_ms = 1
        self.sends = []
        self._send_counts = send_counts
        self._endpoint = endpoints.ScriptedEndpoint(self._answer)

    async def start(self):
        await self._endpoint.start()
        return self

    async def close(self):
        await self._endpoint.close()

    @property
    def life(self):
        """Return the name of this start of the engine."""
        return f'{self.name}.{self.born_ms}'

    def heartbeat(self, number, **changes):
        """Return the body of a heartbeat; it lacks a build of None."""
        body = {
            'service': 's',
            'address': self._endpoint.address,
            'zone': self.data_centre,
            'slots': 64,
            'state': 'ready',
            'seq': number,
            'born': self.born_ms,
            **changes,
        }
        if self.build is not None:
            body['version'] = self.build
        return json.dumps(body).encode()

    def _answer(self, sent, _number):
        if not sent.startswith(b'GET /a/'):
            return [test_passing.answer(sent)]
        path = sent.split(b' ')[1].decode()
        last_event = endpoints.header(sent, LAST_EVENT_ID)
        self.sends.append(
            Send(endpoints.header(sent, ID), path, last_event, self.build)
        )
        send_number = self._send_counts[path]
        self._send_counts[path] += 1
        breaks = json.loads(endpoints.header(sent, 'X-Breaks'))
        stalls = endpoints.header(sent, 'X-Stalls') is not None
        first = int(last_event or 0) + 1
        if send_number >= len(breaks):
            events = self._events(sent, first, LAST_EVENT)
            return [*events, test_passing.END]
        if breaks[send_number] == BEFORE_HEAD:
            return [RESET]
        events = self._events(sent, first, breaks[send_number])
        # The pauses let the events arrive before the reset.
        return [*events, b'', b'', b'', STALL if stalls else RESET]

    def _events(self, sent, first, last):
        pieces = [
            b'id: %d\ndata: %s\n\n' % (number, self.life.encode())
            for number in range(first, last + 1)
        ]
        return test_passing.chunked(sent, *pieces)


class Attempt:
    """One attempt of a client: its request id and what it received."""

    def __init__(self, address, request_id, path, headers):
        self.request = request_id
        self.received = b''
        self._reading = asyncio.create_task(
            self._read(
                address,
                test_passing.request(
                    f'GET {path} HTTP/1.1', headers, request_id=request_id
                ),
            )
        )

    @property
    def status(self):
        return int(STATUS.match(self.received).group(1))

    @property
    def events(self):
        """Return the number and the engine of each whole event."""
        return [
            (int(number), engine.decode())
            for number, engine in EVENT.findall(self.received)
        ]

    async def ended(self):
        """Wait until the host ends the response or the connection."""
        async with asyncio.timeout(nodes.WAIT_S):
            await self._reading
        return self

    async def leave(self):
        """Close the client's side of the connection."""
        self._reading.cancel()
        await asyncio.wait([self._reading])

    async def _read(self, address, sent):
        ip, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(sent)
        try:
            while chunk := await reader.read(65536):
                self.received += chunk
        except ConnectionError:
            # The received events show how far the stream came.
            pass
        finally:
            writer.close()


class Stream:
    """A stream as its client sees it, over all of its attempts."""

    def __init__(self, path, breaks=(), stalls=False):
        self.path = path
        self.events = []
        # Request id of the attempt that brought the first event.
        self.began_as = None
        self._numbers = itertools.count(1)
        self._headers = [
            f'X-Breaks: {json.dumps(breaks)}',
            f'Wrenspoke-Deadline-Ms: {DEADLINE_MS}',
        ]
        if stalls:
            self._headers.append('X-Stalls: 1')

    @property
    def last_event(self):
        return self.events[-1][0] if self.events else None

    def attempt(self, host, *headers):
        """Start an attempt at an entry host."""
        return Attempt(
            host.node.callers_address,
            f'{self.path[3:]}-{next(self._numbers)}',
            self.path,
            [*self._headers, *headers],
        )

    async def begin(self, host, awaits_end=True):
        """Begin the stream, until it breaks off or ends, or stalls."""
        attempt = self.attempt(host)
        self.began_as = attempt.request
        if awaits_end:
            await attempt.ended()
        else:
            await nodes.until(lambda: attempt.events)
        self.events += attempt.events
        return attempt

    async def take_up(self, host):
        """Take the stream up after the last event that was received."""
        attempt = self.attempt(
            host,
            f'{LAST_EVENT_ID}: {self.last_event}',
            f'{RESUMES}: {self.began_as}',
        )
        await attempt.ended()
        self.events += attempt.events
        return attempt


STEPS = {}


def step(function):
    """Register what may happen between a stream's break and its take-up."""
    STEPS[function.__name__] = function
    return function


@step
async def close(system, *names):
    """Close entry hosts at once, as if they were killed."""
    hosts = [system.hosts.pop(name) for name in names]
    for host in hosts:
        system.nodes.entries.remove(host)
    await asyncio.gather(*(host.close() for host in hosts))


@step
async def start(system, name, data_centre):
    """Start an entry host that has seen none of the streams."""
    await system.start_host(name, data_centre)
    await system.wait_for_offers()


@step
async def add(system, name, build, data_centre=NORTH):
    """Start an engine."""
    await system.add_engine(name, build, data_centre)
    await system.wait_for_offers()


@step
async def withdraw(system, build, data_centre=NORTH):
    """End the engines of a build in a data centre."""
    for name, engine in list(system.engines.items()):
        if (engine.build, engine.data_centre) == (build, data_centre):
            await system.withdraw(name)
    await system.wait_for_offers()


@step
async def restart(system, name, build):
    """Restart an engine under its id; a heartbeat from before comes late."""
    engine = system.engines[name]
    late = engine.heartbeat(10**6)
    engine.born_ms += 1
    engine.build = build
    system.builds[engine.life] = build
    await system.register(engine)
    system.handle_heartbeat(engine, late)


class System:
    """Entry hosts and engines by their names, and the build of each life."""

    def __init__(self, deployment):
        self.nodes = deployment
        self.hosts = {}
        self.engines = {}
        self.builds = {}
        self._send_counts = collections.Counter()
        self._paths = itertools.count(1)
        self._stopped = []

    async def start_host(self, name, data_centre):
        self.hosts[name] = await self.nodes.start_entry(data_centre)

    async def add_engine(self, name, build, data_centre):
        engine = Engine(name, build, data_centre, self._send_counts)
        self.engines[name] = await engine.start()
        self.builds[engine.life] = build
        await self.register(engine)

    async def register(self, engine):
        """Register an engine by a heartbeat; wait until all hosts list it."""
        self.handle_heartbeat(
            engine, engine.heartbeat(next(self.nodes.numbers))
        )

        def is_listed(host):
            found = host.discovery.registry.entries.get(engine.name)
            return found and found.registration.born_ms == engine.born_ms

        await nodes.until(lambda: all(map(is_listed, self.nodes.entries)))

    def handle_heartbeat(self, engine, body):
        registration = test_adapter.registrations.decode(
            engine.name, body, nodes.REGIONS, {'s'}
        )
        self.nodes.controls[0].registrar.register(registration)

    async def withdraw(self, name):
        """Deregister an engine and wait until no host uses it."""
        self._stopped.append(self.engines.pop(name))
        self.nodes.controls[0].registrar.withdraw(name)
        gone = registry.RegistrationState.GONE
        await nodes.until(
            lambda: all(
                host.discovery.registry.entries[name].registration.state
                is gone
                for host in self.nodes.entries
            )
        )

    async def wait_for_offers(self):
        """Wait until every host has current offers of the other regions.

        The last answer that a host has, and one in flight, may be older than
        the latest change; the second answer from now is not.
        """
        hosts = list(self.hosts.values())
        regions = {host.node.region for host in hosts}

        def has_answers_since(host, began_ms):
            for region in regions - {host.node.region}:
                found = [
                    host._remote_regions._latest_status(record)
                    for record in host._remote_hosts.ranked_hosts(region)
                ]
                if not any(
                    status is not None and status.answered_ms > began_ms
                    for status in found
                ):
                    return False
            return True

        for _answer in range(2):
            began_ms = hosts[0].clock.mono_ms()
            for host in hosts:
                await nodes.until(
                    functools.partial(has_answers_since, host, began_ms)
                )

    def new_stream(self, breaks=(), stalls=False):
        return Stream(f'/a/s{next(self._paths)}', breaks, stalls)

    def unknown_stream(self):
        """Return a stream of which no host knows who began it.

        It must go on at the only build that serves, if there is one.
        """
        builds = self.serving_builds()
        self.builds[UNKNOWN] = builds.pop() if len(builds) == 1 else UNKNOWN
        stream = self.new_stream()
        stream.began_as = f'{stream.path[3:]}-elsewhere'
        stream.events = [(1, UNKNOWN), (2, UNKNOWN)]
        return stream

    def serving_builds(self):
        """Return the builds that a host of their region can reach."""
        regions = {host.node.region for host in self.hosts.values()}
        return {
            engine.build
            for engine in self.engines.values()
            if nodes.REGIONS[engine.data_centre] in regions
        }

    def build_of(self, stream):
        """Return the build that began a stream."""
        return self.builds[stream.events[0][1]]

    def sends(self, path):
        """Return the sends of a path, also to engines that ended."""
        engines = [*self.engines.values(), *self._stopped]
        sends = [send for engine in engines for send in engine.sends]
        return [send for send in sends if send.path == path]

    def check_whole(self, stream, build):
        """Check that a stream has every event once, from one build."""
        numbers = [number for number, _engine in stream.events]
        assert numbers == list(range(1, LAST_EVENT + 1)), stream.events
        found = {self.builds[engine] for _number, engine in stream.events}
        assert found == {build}, stream.events

    def check_continued_at(self, stream, build):
        """Check that only engines of a build were sent a stream's rest."""
        found = {
            send.build
            for send in self.sends(stream.path)
            if send.last_event is not None
        }
        assert found <= {build}, (stream.path, found, build)

    async def close(self):
        for engine in [*self.engines.values(), *self._stopped]:
            await engine.close()


def engines_of(builds, data_centre, count=3):
    """Return several engines of each build in a data centre."""
    return {
        f'{data_centre}-{build}-{number}': (build, data_centre)
        for build in builds
        for number in range(count)
    }


TWO_BUILDS = engines_of(['v1', 'v2'], NORTH)
BOTH_REGIONS = {**TWO_BUILDS, **engines_of(['v1', 'v2'], SOUTH)}


@dataclasses.dataclass(frozen=True)
class Case:
    """How streams begin, break off and go on.

    ``engines`` gives the build and the data centre of each engine, ``hosts``
    the data centre of each entry host. Streams begin at the first host and
    are taken up at the hosts of ``take_ups``, one after another, once the
    steps ``between`` are done.
    """

    engines: dict = dataclasses.field(default_factory=lambda: TWO_BUILDS)
    hosts: dict = dataclasses.field(default_factory=lambda: {'n1': NORTH})
    # Whether streams begin here; else no host has seen their first attempt.
    known: bool = True
    # After which event each send of a stream breaks off.
    breaks: tuple[int, ...] = (2,)
    # Whether engines stall there instead; then the client leaves.
    stalls: bool = False
    attempts_limit: int = 1
    between: tuple[tuple[str, ...], ...] = ()
    take_ups: tuple[str, ...] = ('n1',)


@contextlib.asynccontextmanager
async def running(folder, case):
    """Run the hosts and engines of a case for the duration of the block."""
    deployment = nodes.Nodes(folder)
    # Every stream is sent more than once.
    deployment.changes = {'retries': settings.RetryBudgetSettings(fixed=9_999)}
    system = System(deployment)
    try:
        await deployment.start(entries=0)
        for name, data_centre in case.hosts.items():
            await system.start_host(name, data_centre)
        await deployment.put(
            test_passing.route(
                routes.RouteKind.STREAM,
                resumable=True,
                attempts_limit=case.attempts_limit,
                timeout_ms=DEADLINE_MS,
            )
        )
        for name, (build, data_centre) in case.engines.items():
            await system.add_engine(name, build, data_centre)
        await system.wait_for_offers()
        yield system
    finally:
        await system.close()
        await deployment.close()


async def in_batches(function, items):
    """Call a function with every item, a few at a time."""
    results = []
    for start_at in range(0, len(items), BATCH):
        batch = items[start_at : start_at + BATCH]
        results += await asyncio.gather(*map(function, batch))
    return results


async def wait_until_usable(system):
    """Wait until the hosts use every engine again, after those that broke.

    A host leaves an engine out for a while after some failures in a row, and
    a region without any other offers nothing to the others meanwhile.
    """
    hosts = list(system.hosts.values())
    addresses = [one._endpoint.address for one in system.engines.values()]
    regions = {
        nodes.REGIONS[one.data_centre] for one in system.engines.values()
    }

    def is_offered(host, region):
        if region == host.node.region:
            return True
        record = host._selector.select_host(region, ())
        if record is None:
            return region not in {one.node.region for one in hosts}
        status = host._remote_regions._latest_status(record)
        return status is not None and bool(status.pong.offers)

    await nodes.until(
        lambda: (
            not any(
                host._outlier_detector.is_ejected(address)
                for host in hosts
                for address in addresses
            )
        )
    )
    await nodes.until(
        lambda: all(is_offered(hosts[0], region) for region in regions)
    )


async def begin_streams(system, case):
    """Return streams that broke off; every build began one at least."""
    if not case.known:
        return [system.unknown_stream() for _number in range(STREAM_COUNT)]
    host = next(iter(system.hosts.values()))
    builds = {build for build, _data_centre in case.engines.values()}
    streams = []
    attempts = []
    while len(streams) < STREAM_COUNT or (
        {system.build_of(stream) for stream in streams} < builds
    ):
        await wait_until_usable(system)
        begun = [
            system.new_stream(case.breaks, case.stalls)
            for _number in range(BATCH)
        ]
        attempts += await in_batches(
            lambda stream: stream.begin(host, not case.stalls), begun
        )
        streams += begun
    for name, *arguments in case.between:
        await STEPS[name](system, *arguments)
    for stream, attempt in zip(streams, attempts):
        if case.stalls:
            await attempt.leave()
        stream.events = attempt.events
    return streams


async def take_up(system, case, stream):
    """Take a stream up; check that it goes on at its build or nowhere."""
    build = system.build_of(stream)
    for name in case.take_ups:
        attempt = await stream.take_up(system.hosts[name])
        if build not in system.serving_builds():
            assert attempt.status == 503, attempt.received
            sent = [send.request for send in system.sends(stream.path)]
            assert attempt.request not in sent
            return
        assert attempt.status == 200, attempt.received
    system.check_whole(stream, build)
    system.check_continued_at(stream, build)


async def play(folder, case):
    """Begin the streams of a case, break them off and take them up."""
    async with running(folder, case) as system:
        streams = await begin_streams(system, case)
        await in_batches(lambda one: take_up(system, case, one), streams)


NORTH_SOUTH = {'n1': NORTH, 's1': SOUTH}
ALL_REGIONS = {**NORTH_SOUTH, 'w1': WEST}
SAME_REGION = {'n1': NORTH, 'n2': NORTH}
# Two hosts in one data centre, one more in its region, one in another.
SPREAD = {**SAME_REGION, 'a1': ANNEX, 's1': SOUTH}
within_one_answer = functools.partial(Case, attempts_limit=5, take_ups=())
CASES = {
    # The host resumes the stream.
    'in one answer': within_one_answer(),
    'in one answer, three builds': within_one_answer(
        engines=engines_of(['v1', 'v1.10', '2026-w3'], NORTH)
    ),
    'in one answer, three breaks': within_one_answer(
        engines=BOTH_REGIONS, hosts=NORTH_SOUTH, breaks=(1, 2, 4)
    ),
    'in one answer, sends without events': within_one_answer(
        engines=BOTH_REGIONS, hosts=NORTH_SOUTH, breaks=(2, 2, BEFORE_HEAD)
    ),
    'in one answer, first tried at another build': within_one_answer(
        breaks=(BEFORE_HEAD, 2)
    ),
    'in one answer, build left in another region': within_one_answer(
        engines={
            'e1': ('v1', NORTH),
            **engines_of(['v2'], NORTH),
            **engines_of(['v1', 'v2'], SOUTH),
        },
        hosts=NORTH_SOUTH,
    ),
    'in one answer, behind a hop': within_one_answer(
        engines=engines_of(['v1', 'v2'], SOUTH), hosts=NORTH_SOUTH
    ),
    'in one answer, from one hop to another region': within_one_answer(
        engines={
            **engines_of(['v1', 'v2'], SOUTH, 1),
            **engines_of(['v1', 'v2'], WEST, 1),
        },
        hosts=ALL_REGIONS,
    ),
    # The host that began the stream.
    'same host': Case(),
    'same host, after its client left': Case(stalls=True),
    'same host, begun behind a hop': Case(
        engines=engines_of(['v1', 'v2'], SOUTH), hosts=NORTH_SOUTH
    ),
    'same host, first tried at another build': Case(
        breaks=(BEFORE_HEAD, 2), attempts_limit=2
    ),
    'same host, first send of the take-up fails': Case(
        breaks=(1, 2, 2), attempts_limit=2
    ),
    'same host, a release since': Case(
        engines=engines_of(['v1'], NORTH),
        between=(('add', 'e1', 'v2'), ('add', 'e2', 'v2')),
    ),
    'same host, build left in another region': Case(
        engines=BOTH_REGIONS,
        hosts=NORTH_SOUTH,
        between=(('withdraw', 'v1'),),
    ),
    # Others.
    'host of the region': Case(hosts=SAME_REGION, take_ups=('n2',)),
    'host of the region that started since': Case(
        between=(('start', 'n2', NORTH),), take_ups=('n2',)
    ),
    'host of another region': Case(
        engines=BOTH_REGIONS, hosts=NORTH_SOUTH, take_ups=('s1',)
    ),
    'host of another region, begun behind a hop to it': Case(
        engines=engines_of(['v1', 'v2'], SOUTH),
        hosts=NORTH_SOUTH,
        take_ups=('s1',),
    ),
    'host of another region without engines': Case(
        hosts=NORTH_SOUTH, take_ups=('s1',)
    ),
    'host of another region without engines of one build': Case(
        engines={**TWO_BUILDS, **engines_of(['v2'], SOUTH)},
        hosts=NORTH_SOUTH,
        take_ups=('s1',),
    ),
    # Hosts that are gone.
    'its host closed': Case(
        hosts=SAME_REGION, between=(('close', 'n1'),), take_ups=('n2',)
    ),
    'its host closed in the middle': Case(
        hosts=SAME_REGION,
        stalls=True,
        between=(('close', 'n1'),),
        take_ups=('n2',),
    ),
    'its host closed, other region': Case(
        engines=BOTH_REGIONS,
        hosts=SPREAD,
        between=(('close', 'n1'),),
        take_ups=('s1',),
    ),
    'its data centre closed': Case(
        hosts=SPREAD, between=(('close', 'n1', 'n2'),), take_ups=('a1',)
    ),
    'its data centre closed in the middle': Case(
        hosts=SPREAD,
        stalls=True,
        between=(('close', 'n1', 'n2'),),
        take_ups=('a1',),
    ),
    'its data centre closed, other region': Case(
        engines=BOTH_REGIONS,
        hosts=SPREAD,
        between=(('close', 'n1', 'n2'),),
        take_ups=('s1',),
    ),
    'its region closed': Case(
        engines=BOTH_REGIONS,
        hosts=SPREAD,
        between=(('close', 'n1', 'n2', 'a1'),),
        take_ups=('s1',),
    ),
    'its data centre closed and started again': Case(
        hosts=SPREAD,
        between=(('close', 'n1', 'n2'), ('start', 'n3', NORTH)),
        take_ups=('n3',),
    ),
    'its region closed and started again': Case(
        engines=BOTH_REGIONS,
        hosts=SPREAD,
        between=(('close', 'n1', 'n2', 'a1'), ('start', 'n3', NORTH)),
        take_ups=('n3',),
    ),
    # Several take-ups; all name the first attempt.
    'three times at one host': Case(
        breaks=(1, 2, 4), take_ups=('n1', 'n1', 'n1')
    ),
    'three times, at three hosts': Case(
        engines=BOTH_REGIONS,
        hosts={**SAME_REGION, 's1': SOUTH},
        breaks=(1, 2, 4),
        take_ups=('n2', 's1', 'n1'),
    ),
    'twice, broken within each answer too': Case(
        engines=BOTH_REGIONS,
        hosts=NORTH_SOUTH,
        breaks=(1, 2, 3, 4),
        attempts_limit=2,
        take_ups=('s1', 'n1'),
    ),
    # Texts of any form.
    'builds without order': Case(
        engines=engines_of(['v1', 'v1.10', '2026-w3', 'сборка-β'], NORTH),
        hosts=SAME_REGION,
        take_ups=('n2',),
    ),
    'builds of similar texts': Case(
        engines=engines_of(['1', '01', '1.0', 'v1', 'V1'], NORTH),
        hosts=SAME_REGION,
        take_ups=('n2',),
    ),
    'engines without a version': Case(
        engines=engines_of([None, 'v1'], NORTH),
        hosts=SAME_REGION,
        take_ups=('n2',),
    ),
    # Builds that are gone: refused at once, and not sent.
    'build gone': Case(between=(('withdraw', 'v1'),)),
    'build gone, other host': Case(
        hosts=SAME_REGION, between=(('withdraw', 'v1'),), take_ups=('n2',)
    ),
    'build gone in both regions': Case(
        engines=BOTH_REGIONS,
        hosts=NORTH_SOUTH,
        between=(('withdraw', 'v1'), ('withdraw', 'v1', SOUTH)),
        take_ups=('s1',),
    ),
    'engine restarted with a new build': Case(
        engines=engines_of(['v1', 'v2'], NORTH, 1),
        between=(('restart', f'{NORTH}-v1-0', 'v3'),),
    ),
    'engine restarted with the other build': Case(
        engines=engines_of(['v1', 'v2'], NORTH, 1),
        between=(('restart', f'{NORTH}-v1-0', 'v2'),),
    ),
    'engine restarted with its build': Case(
        engines=engines_of(['v1', 'v2'], NORTH, 1),
        between=(('restart', f'{NORTH}-v1-0', 'v1'),),
    ),
    # Nobody knows the build, and there are several.
    'unknown stream': Case(known=False),
    'unknown stream, one build in each region': Case(
        engines={
            **engines_of(['v1'], NORTH),
            **engines_of(['v2'], SOUTH),
        },
        hosts=NORTH_SOUTH,
        known=False,
    ),
    'unknown stream, engines without a version': Case(
        engines=engines_of([None, 'v1'], NORTH), known=False
    ),
}


@pytest.mark.parametrize('name', CASES)
async def test_stream_goes_on_at_its_build_or_is_refused(tmp_path, name):
    """Guards against streams that hold events of two builds."""
    await play(tmp_path, CASES[name])


ONLY_BUILD = {
    'one build': Case(known=False, engines=engines_of(['v1'], NORTH)),
    'one build in two regions': Case(
        known=False,
        engines=engines_of(['v1'], SOUTH),
        hosts=NORTH_SOUTH,
    ),
    'no version': Case(known=False, engines=engines_of([None], NORTH)),
    'a host that started since': Case(
        engines=engines_of(['v1'], NORTH),
        between=(('close', 'n1'), ('start', 'n2', NORTH)),
        take_ups=('n2',),
    ),
    'an engine that restarted': Case(
        engines=engines_of(['v1'], NORTH, 2),
        between=(('restart', f'{NORTH}-v1-0', 'v1'),),
    ),
}


@pytest.mark.parametrize('name', ONLY_BUILD)
async def test_stream_goes_on_where_one_build_serves(tmp_path, name):
    """Guards against refusals where there is no other build."""
    await play(tmp_path, ONLY_BUILD[name])


@pytest.mark.parametrize('begun_behind_a_hop', [False, True])
async def test_as_many_streams_go_on_as_begin(tmp_path, begun_behind_a_hop):
    """Guards against refusals by habit while the build's engines serve."""
    data_centre = SOUTH if begun_behind_a_hop else NORTH
    case = Case(
        engines=engines_of(['v1'], data_centre, 2),
        hosts=NORTH_SOUTH,
        between=tuple(
            ('add', f'e{number}', 'v2', data_centre) for number in range(4)
        ),
    )
    async with running(tmp_path, case) as system:
        host = system.hosts['n1']
        broken = await begin_streams(system, case)
        new = [system.new_stream() for _stream in broken]
        await asyncio.gather(
            in_batches(lambda stream: stream.take_up(host), broken),
            in_batches(lambda stream: stream.begin(host), new),
        )
        went_on = sum(one.last_event == LAST_EVENT for one in broken)
        began = sum(one.last_event == LAST_EVENT for one in new)
        assert went_on >= began > 0


@pytest.mark.parametrize('broken_after', [BEFORE_HEAD, 0])
async def test_stream_without_events_is_free(tmp_path, broken_after):
    """Guards against streams bound to an engine that sent no event."""
    case = Case(
        engines=engines_of(['v1', 'v2'], NORTH, 1),
        breaks=(broken_after,),
        attempts_limit=2,
    )
    async with running(tmp_path, case) as system:
        for stream in await begin_streams(system, case):
            system.check_whole(stream, system.build_of(stream))
            tried = [send.build for send in system.sends(stream.path)]
            assert sorted(tried) == ['v1', 'v2']


async def test_new_streams_go_to_every_build(tmp_path):
    """Guards against new streams bound to the build of earlier ones."""
    case = Case()
    async with running(tmp_path, case) as system:
        await begin_streams(system, case)
        new = [system.new_stream() for _number in range(STREAM_COUNT)]
        host = system.hosts['n1']
        await in_batches(lambda stream: stream.begin(host), new)
        assert {system.build_of(stream) for stream in new} == {'v1', 'v2'}


LACKING = object()
REJECTED = object()


@pytest.mark.parametrize(
    'version, build',
    [
        ('v1', 'v1'),
        ('v1.10', 'v1.10'),
        ('2026-w3', '2026-w3'),
        ('сборка-β 7', 'сборка-β 7'),
        ('01', '01'),
        (LACKING, ''),
        (5, REJECTED),
        (1.5, REJECTED),
        (True, REJECTED),
        (None, REJECTED),
        (['v1'], REJECTED),
        ({'name': 'v1'}, REJECTED),
        ('', REJECTED),
        ('v' * 300, REJECTED),
    ],
    ids=[
        'text',
        'dotted',
        'week',
        'not ASCII',
        'digits',
        'lacking',
        'number',
        'fraction',
        'boolean',
        'null',
        'list',
        'object',
        'empty',
        '300 characters',
    ],
)
def test_version_of_heartbeat_is_the_build(version, build):
    """Guards against builds that are lost, normalised or invalid."""
    body = {**test_adapter.HEARTBEAT, 'version': version}
    if version is LACKING:
        del body['version']
    sent = json.dumps(body).encode()
    if build is not REJECTED:
        assert test_adapter.heartbeat(sent).build == build
        return
    with pytest.raises(errors.InvalidChangeError, match='version'):
        test_adapter.heartbeat(sent)

"""A planned stop keeps to its deadline, whoever else does not answer."""

import asyncio
import contextlib
import json

import pytest
import structlog

from tests import endpoints
from tests import fleet
from tests import nodes
from tests import test_passing
from wrenspoke import clock as clocks
from wrenspoke import controld
from wrenspoke import entryd
from wrenspoke import keys
from wrenspoke.protocol import discovery_messages
from wrenspoke import settings
from wrenspoke import shutdown


class SilentControls:
    """Keeps some control hosts from answering the calls of an entry host."""

    def __init__(self, entry, monkeypatch):
        self.hosts = set()
        self.unanswered = 0
        self._call = entry.peers.call
        monkeypatch.setattr(entry.peers, 'call', self.call)

    async def call(self, host, message, timeout_ms):
        if host in self.hosts and isinstance(
            message, discovery_messages.Attend
        ):
            self.unanswered += 1
            await asyncio.Event().wait()
        return await self._call(host, message, timeout_ms)


class Component:
    """A component of a host, which closes at once or never."""

    def __init__(self, hangs=False):
        self.hangs = hangs
        self.closed = False

    async def close(self):
        if self.hangs:
            await asyncio.Event().wait()
        self.closed = True


@pytest.mark.parametrize('silent', [0, 1, 2])
async def test_stop_refuses_calls_though_control_hosts_are_silent(
    tmp_path, monkeypatch, silent
):
    """Guards against a stop that takes calls until a control host answers."""
    async with nodes.running(tmp_path, controls=3) as system:
        await system.put(test_passing.route())
        [entry] = system.entries
        await nodes.until(lambda: len(_session_hosts(entry)) == 2)
        controls = SilentControls(entry, monkeypatch)
        controls.hosts.update(_session_hosts(entry)[:silent])
        draining = asyncio.create_task(entry.drain())
        await nodes.until(lambda: entry.passthrough.closed)
        got = await endpoints.send_raw(
            entry.node.callers_address, test_passing.request()
        )
        assert got.startswith(b'HTTP/1.1 503 ')
        await draining
        assert controls.unanswered >= silent


@pytest.mark.parametrize('stopped', [1, 2])
async def test_stop_is_announced_beside_stopped_control_hosts(
    tmp_path, stopped
):
    """Guards against a stopping host that stays in directories."""
    async with nodes.running(tmp_path, controls=3, entries=2) as system:
        await system.put(test_passing.route())
        leaving, _other = system.entries
        await nodes.until(lambda: len(_session_hosts(leaving)) == 2)
        for host in _session_hosts(leaving)[:stopped]:
            [control] = [c for c in system.controls if c.node.host == host]
            system.controls.remove(control)
            await control.close(control.begin_stop())
        draining = asyncio.create_task(leaving.drain())
        await nodes.until(
            lambda: all(
                (record := control.registrar.roster.record(leaving.node.host))
                is not None
                and record.draining
                for control in system.controls
            )
        )
        await draining


@pytest.mark.parametrize('controls', [1, 2, 3])
async def test_stopping_control_host_replies_to_polls(tmp_path, controls):
    """Guards against polls that only end with their timeout."""
    await _check_that_a_stop_ends_sessions(
        tmp_path, controls, lambda registrar: registrar._open_polls
    )


@pytest.mark.parametrize('controls', [1, 2, 3])
async def test_stopping_control_host_releases_sessions_between_polls(
    tmp_path, controls
):
    """Guards against a stop that ends before the next poll of a session."""
    await _check_that_a_stop_ends_sessions(
        tmp_path, controls, lambda registrar: not registrar._open_polls
    )


async def _check_that_a_stop_ends_sessions(folder, controls, may_begin):
    """Check that an entry host leaves a control host before its timeout."""
    async with nodes.running(folder, controls=controls) as system:
        await system.put(test_passing.route())
        [entry] = system.entries
        wanted = min(controls, 2)
        await nodes.until(lambda: len(_session_hosts(entry)) == wanted)
        host = _session_hosts(entry)[0]
        [control] = [c for c in system.controls if c.node.host == host]
        system.controls.remove(control)
        async with asyncio.timeout(nodes.WAIT_S):
            while not may_begin(control.registrar):
                await asyncio.sleep(0)
        with structlog.testing.capture_logs() as logs:
            stop = control.begin_stop()
            await control.drain(stop)
            await control.close(stop)
            await nodes.until(lambda: _session_ends(logs, host))
        assert _session_ends(logs, host)[0] == 'control_host_leaving'
        if controls > 2:
            await nodes.until(lambda: len(_session_hosts(entry)) == wanted)
            assert host not in _session_hosts(entry)


def _session_ends(logs, host):
    """Return the events that end sessions with a control host."""
    events = ('control_host_leaving', 'control_host_lost')
    return [
        log['event']
        for log in logs
        if log['event'] in events and log['peer'] == host
    ]


def _session_hosts(entry):
    return [
        session.host
        for session in entry.discovery._sessions
        if session.host is not None and session.instance_id
    ]


@contextlib.asynccontextmanager
async def running_daemon(kind, folder):
    """Run one daemon, of either way in, in this process."""
    if kind in ('entry node', 'control node'):
        async with nodes.running(folder) as system:
            yield (system.entries + system.controls)[kind != 'entry node']
        return
    path = folder / 'deployment.json'
    path.write_text(
        json.dumps(fleet.deployment(regions=('north',), controls=1))
    )
    keys.generate_keys(path)
    deployment = settings.read(path)
    if kind == 'entry daemon':
        [host] = deployment.with_role('entry')
        made = entryd.EntryDaemon(
            deployment, host.host, folder / deployment.keys_folder
        )
    else:
        host = deployment.with_role('control')[0]
        controld.bootstrap_group(path, host.host)
        made = controld.ControlDaemon(deployment, host.host, folder)
    await made.start()
    yield made
    await made.close()


@pytest.mark.parametrize(
    'kind, attribute',
    [
        ('entry node', '_tasks'),
        ('entry node', '_guard'),
        ('entry node', '_hosts_client'),
        ('control node', '_tasks'),
        ('control node', 'registrar'),
        ('control node', 'voter'),
        ('entry daemon', '_web'),
        ('entry daemon', 'ledger'),
        ('entry daemon', '_client'),
        ('control daemon', '_web'),
        ('control daemon', 'voter'),
        ('control daemon', '_client'),
    ],
)
async def test_close_ends_by_the_deadline(
    tmp_path, monkeypatch, kind, attribute
):
    """Guards against a component that keeps a process past its grace."""
    async with running_daemon(kind, tmp_path) as daemon:
        with monkeypatch.context() as patch:
            patch.setattr(daemon, attribute, Component(hangs=True))
            stop = shutdown.Shutdown(clocks.Clock(), 1_000)
            with structlog.testing.capture_logs() as logs:
                async with asyncio.timeout(nodes.WAIT_S):
                    await daemon.close(stop)
        [stopped] = [log for log in logs if log['event'] == 'stopped']
        assert stopped['not_closed']


async def test_components_are_closed_in_order():
    components = {
        'first': Component(),
        'disabled': None,
        'second': Component(hangs=True),
        'third': Component(),
    }
    stop = shutdown.Shutdown(clocks.Clock(), shutdown.EXIT_MARGIN_MS + 50)
    with structlog.testing.capture_logs() as logs:
        await stop.close_all(components)
    assert components['first'].closed and not components['third'].closed
    step, stopped = logs
    assert (step['step'], step['completed']) == ('close', False)
    assert stopped['not_closed'] == 'second,third'


class StepClock(clocks.Clock):
    """A clock that tests set."""

    def __init__(self):
        self.now_ms = 1_000

    def mono_ms(self):
        return self.now_ms


@pytest.mark.parametrize(
    'grace_ms, passed_ms, reserve_ms, expected_ms',
    [
        (8_000, 0, 200, 7_800),
        (8_000, 2_500, 700, 4_800),
        (8_000, 7_500, 700, 0),
        (8_000, 9_000, 0, 0),
        (None, 9_000, 700, None),
    ],
)
def test_steps_get_what_is_left_of_the_grace(
    grace_ms, passed_ms, reserve_ms, expected_ms
):
    clock = StepClock()
    stop = shutdown.Shutdown(clock, grace_ms)
    clock.now_ms += passed_ms
    assert stop.remaining_ms(reserve_ms) == expected_ms


@pytest.mark.parametrize(
    'reserve_ms, completed',
    [(0, True), (3_600_000, False)],
    ids=['time left', 'no time left'],
)
async def test_step_without_time_is_left(reserve_ms, completed):
    stop = shutdown.Shutdown(clocks.Clock(), 3_600_000)
    with structlog.testing.capture_logs() as logs:
        async with stop.step('wait', reserve_ms):
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            if not completed:
                await asyncio.Event().wait()
    [log] = logs
    assert (log['step'], log['completed']) == ('wait', completed)


async def test_step_passes_errors_on():
    stop = shutdown.Shutdown(clocks.Clock(), 3_600_000)
    with pytest.raises(TimeoutError):
        async with stop.step('wait'):
            raise TimeoutError('of the step itself')

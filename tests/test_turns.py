"""Every daemon waits between the turns of its loops, whatever peers do."""

import asyncio
import functools
import itertools
import json
import types

import pytest

from tests import fleet
from tests import group
from tests import instant_peers
from tests import nodes
from wrenspoke import clock as clocks
from wrenspoke import control_node
from wrenspoke import controld
from wrenspoke.coordination import errors
from wrenspoke.coordination.quarantine import crash_reporter
from wrenspoke.coordination.serving import streams
from wrenspoke import entry_node
from wrenspoke import entryd
from wrenspoke import keys
from wrenspoke.protocol import dialect as dialects
from wrenspoke import settings

LASTS_S = 20
SEEDS = 3


def entry_host(folder):
    system = nodes.Nodes(folder, controls=3)
    ip = nodes.new_ip()
    node = system.node(
        ip,
        callers_address=f'{ip}:{system.ports[2]}',
        passing_port=system.ports[3],
        admission=nodes.settings.AdmissionSettings(enabled=True),
        balancing=nodes.settings.BalancingSettings(enabled=True),
        request_path=nodes.settings.RequestPathSettings(enabled=True),
    )
    return entry_node.EntryNode(node, dialects.Dialect(), system.reports)


def control_host(folder):
    system = nodes.Nodes(folder, controls=3)
    ip = system.control_ips[0]
    node = system.node(
        ip,
        control_address=f'{ip}:{system.ports[1]}',
        data_folder=str(folder / 'data'),
        first_start=True,
    )
    return control_node.ControlNode(node)


def deployment(folder):
    settings_map = fleet.deployment(entries=3, controls=3)
    settings_map['entry'] = fleet.FAST['entry']
    path = folder / 'deployment.json'
    path.write_text(json.dumps(settings_map))
    keys.generate_keys(path)
    return settings.read(path)


def entry_daemon(folder):
    found = deployment(folder)
    [host, *_others] = found.with_role('entry')
    return entryd.EntryDaemon(found, host.host, folder / found.keys_folder)


def control_daemon(folder):
    found = deployment(folder)
    [host, *_others] = found.with_role('control')
    return controld.ControlDaemon(found, host.host, folder)


PEERS = {
    'absent': lambda: instant_peers.absent,
    'silent': lambda: instant_peers.silent,
    'refusing': lambda: instant_peers.refusing,
    'empty replies': lambda: instant_peers.answering(lambda _name: False),
    'true replies': lambda: instant_peers.answering(lambda _name: True),
    'followers': lambda: instant_peers.following(lambda: True),
    'unmatched entries': lambda: instant_peers.following(lambda: False),
    'entries lost at times': lambda: instant_peers.following(
        itertools.cycle([True, False]).__next__
    ),
    'restarting': instant_peers.restarting,
    **{
        f'drawn replies {seed}': functools.partial(instant_peers.drawn, seed)
        for seed in range(SEEDS)
    },
}


@pytest.mark.parametrize('peers', PEERS)
@pytest.mark.parametrize(
    'build', [entry_host, control_host, entry_daemon, control_daemon]
)
def test_daemon_waits_between_turns(tmp_path, monkeypatch, build, peers):
    """Guards against loops that wait only while their peers take time."""
    monkeypatch.setattr(clocks.Clock, 'mono_ms', group.LoopClock.mono_ms)

    async def run():
        daemon = build(tmp_path)
        daemon.peers.call = PEERS[peers]()
        daemon.peers.send_oneway = instant_peers.drop
        try:
            await daemon.start()
            await asyncio.sleep(LASTS_S)
        finally:
            await daemon.close()

    group.run(run())


def test_stream_waits_for_an_endpoint_that_is_busy_for_no_time():
    """Guards against a stream that asks again for a permit at once."""

    class Streams:
        _server = types.SimpleNamespace(clock=group.LoopClock())

        async def _resume(self, *_arguments):
            await asyncio.sleep(0)
            raise errors.EndpointBackoffError('e', 0)

    async def run():
        head = types.SimpleNamespace(deadline_ms=LASTS_S * 1000)
        state = types.SimpleNamespace(check_deadline=lambda: None)
        with pytest.raises(errors.EndpointBackoffError):
            await streams.StreamServer._resume_when_admitted(
                Streams(), head, None, None, None, state
            )

    group.run(run())


def test_reports_to_a_host_that_restarts_wait():
    """Guards against reports that are sent again without a wait."""

    class RestartingHost:
        call = staticmethod(instant_peers.restarting())

    async def run():
        reporter = crash_reporter.CrashReporter(
            lambda: ['a'], RestartingHost(), group.LoopClock()
        )
        for digest in ('first', 'second'):
            reporter.report_crash((digest,), 'endpoint')
            await asyncio.sleep(LASTS_S / 2)
        await reporter.close()

    group.run(run())

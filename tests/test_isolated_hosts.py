"""Hosts that no control host answers keep to the limits of cold endpoints."""

import contextlib
import types

import pytest

from tests import endpoints
from tests import nodes
from tests import test_engine_loads
from tests import test_passing as passing
from tests import test_registry
from wrenspoke.coordination.serving import warmup_probe
from wrenspoke.protocol import discovery_messages
from wrenspoke.state import registry

COLD_MS = 60_000
HEALTHY = b'Wrenspoke-Instance: e\r\nWrenspoke-Warmup-Ms: %d\r\n' % COLD_MS


async def isolate(entry):
    """Let no control host answer an entry host any more."""
    asked = []

    async def lose(_session, host, _wait_ms):
        asked.append(host)
        return False

    entry.discovery._send_attend = lose
    # Both sessions have ended their last call.
    await nodes.until(lambda: len(asked) >= 2)


def is_cold(entry):
    """Return whether the only endpoint is cold, as a call would see it."""
    return not entry._available.warm_endpoints('s', 'north')


async def serve(entry, endpoint):
    """Send five calls; return how many of them got to the endpoint."""
    sent = len(endpoint.requests)
    for number in range(5):
        await endpoints.send_raw(
            entry.node.callers_address,
            passing.request(request_id=f'q{number}'),
        )
    calls = [
        one
        for one in endpoint.requests[sent:]
        if not one.startswith(b'GET /health')
    ]
    return len(calls)


@contextlib.asynccontextmanager
async def serving(folder, entries=1, health=b''):
    """Run entry hosts, of which the last one has served calls; yield it."""
    async with nodes.running(folder, entries=entries) as system:
        await system.put(passing.route(), warmup_per_s=2.0)
        endpoint = await endpoints.ScriptedEndpoint(
            lambda sent, _number: [passing.answer(sent, extra=health)]
        ).start()
        await system.register('e', endpoint)
        entry = system.entries[-1]
        assert await serve(entry, endpoint) == 5
        yield system, endpoint, entry
        await endpoint.close()


async def test_isolated_host_learns_of_a_cold_endpoint_from_others(tmp_path):
    """Guards against a cold endpoint that gets requests at full rate.

    Its health response names no instance, so that no probe succeeds.
    """
    async with serving(tmp_path, entries=2) as (system, endpoint, entry):
        await isolate(entry)
        await system.register('e', endpoint, warmup_left_ms=COLD_MS)
        await nodes.until(lambda: is_cold(entry))
        # Only the host that owns the endpoint warms it up.
        assert await serve(entry, endpoint) <= 1


async def test_isolated_host_probes_the_endpoints_that_it_uses(tmp_path):
    """Guards against the same at a host that is cut off from all others."""
    async with serving(tmp_path, health=HEALTHY) as (_system, endpoint, entry):
        await isolate(entry)
        await nodes.until(lambda: is_cold(entry))
        assert await serve(entry, endpoint) <= 1


async def test_host_that_control_hosts_answer_does_not_probe(tmp_path):
    async with serving(tmp_path, health=HEALTHY) as (
        _system,
        endpoint,
        _entry,
    ):
        assert len(endpoint.requests) == 5


async def test_isolated_host_probes_few_endpoints_at_a_time(tmp_path):
    """Guards against as many probes at once as there are endpoints.

    None is answered, so that each takes its whole time, and those that come
    last in the registry are probed as well.
    """
    async with nodes.running(tmp_path) as system:
        await system.put(passing.route(), warmup_per_s=2.0)
        made = []
        for number in range(2 * warmup_probe.MAX_REFRESHES + 4):
            endpoint = await endpoints.ScriptedEndpoint(
                lambda _sent, _number: [endpoints.ScriptedEndpoint.STALL]
            ).start()
            made.append(endpoint)
            await system.register(f'e{number}', endpoint)
        [entry] = system.entries
        probe = entry._warmup_probe
        probe_endpoint = probe._probe_endpoint
        probed = set()
        running = set()
        most = 0

        async def count(said):
            nonlocal most
            probed.add(said.endpoint)
            running.add(said.endpoint)
            most = max(most, len(running))
            try:
                return await probe_endpoint(said)
            finally:
                running.discard(said.endpoint)

        probe._probe_endpoint = count
        await isolate(entry)

        def all_probed():
            entry._available.usable_endpoints('s', 'north')
            return len(probed) == len(made)

        await nodes.until(all_probed)
        assert most <= warmup_probe.MAX_REFRESHES
        for endpoint in made:
            await endpoint.close()


@pytest.mark.parametrize(
    'received_ms, left_ms, cold',
    [(100, 500, True), (-100, 500, False), (100, 0, False)],
    ids=['after the renewal', 'before it', 'warm again'],
)
def test_status_counts_until_a_later_renewal(received_ms, left_ms, cold):
    clock = test_registry.FakeClock()
    listeners = []
    probe = warmup_probe.WarmupProbe(
        types.SimpleNamespace(add_listener=listeners.append),
        None,
        None,
        None,
        None,
        clock,
    )
    said = test_engine_loads.registered(1).registration
    found = registry.EndpointEntry(said, clock.now_ms - received_ms, 1)
    status = discovery_messages.WarmupStatus(said.endpoint, left_ms)
    [listener] = listeners
    listener(discovery_messages.RegionGossip(warm=[status]))
    assert probe.has_newer_cold_status(found) is cold

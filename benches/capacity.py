"""Measure the cost figures that docs/CAPACITY.md extrapolates from.

    python -m benches.capacity

Streams are measured through a running entry host, everything else in this
process. Figures that depend on a size are measured at three sizes or more.
"""

import argparse
import asyncio
import json
import pathlib
import random
import tempfile
import time
import tracemalloc

import msgspec

from benches import processes
from tests import fleet
from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import loads
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import concurrency_limits
from wrenspoke.coordination.serving import routing
from wrenspoke import logs
from wrenspoke.protocol import messages
from wrenspoke.protocol import requests
from wrenspoke.state import configuration
from wrenspoke.state import disk
from wrenspoke.state import entries
from wrenspoke.state import plans
from wrenspoke.state import registers
from wrenspoke.state import replicated
from wrenspoke.state import storage
from wrenspoke.transport import links
from wrenspoke.transport import web

REGION_COUNT = 18
ENVELOPE_BYTES = 80
MB = 1e6


def config(endpoints: int, team_limits: int) -> configuration.Configuration:
    """Return a configuration of the given size."""
    return configuration.Configuration(
        index=1,
        services={
            's': configuration.Service('s', configuration.ServiceKind.ENGINE)
        },
        endpoints={
            f'region-{n % REGION_COUNT}-hall-engine-{n}': (
                configuration.Endpoint(
                    f'region-{n % REGION_COUNT}-hall-engine-{n}',
                    's',
                    f'region-{n % REGION_COUNT}',
                    f'region-{n % REGION_COUNT}-hall',
                    f'http://10.0.{n // 250}.{n % 250}:8000',
                    models=('model-one-7', 'model-two-3'),
                )
            )
            for n in range(endpoints)
        },
        limits={
            f'team-{n}': configuration.TeamLimit(f'team-{n}', 5.0, 10)
            for n in range(team_limits)
        },
    )


def timed_ms(function, times: int = 20) -> float:
    """Return the median duration of a call, in milliseconds."""
    taken = []
    for _number in range(times):
        started = time.perf_counter()
        function()
        taken.append((time.perf_counter() - started) * 1000)
    return round(sorted(taken)[len(taken) // 2], 4)


def allocated_mb(make) -> float:
    """Return the traced memory of the result of ``make``, in megabytes."""
    tracemalloc.start()
    kept = make()
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return round(size / MB, 3)


def measure_configuration() -> list[dict]:
    """Measure size, memory, changes and routing by configuration size."""
    found = []
    for endpoints, team_limits in (
        (30, 100),
        (300, 1_800),
        (1_000, 6_000),
        (3_300, 18_000),
    ):
        made = config(endpoints, team_limits)
        encoded = msgspec.msgpack.encode(made)
        name = next(iter(made.endpoints))
        state = configuration.SetEndpointState(
            name, configuration.EndpointState.DRAINING
        )
        limit = configuration.SetLimit(
            configuration.TeamLimit('team-1', 7.0, 9)
        )
        held = replica.Replica()
        held.apply_delta(messages.ConfigurationDelta(index=1, whole=made))
        delta = messages.ConfigurationDelta(index=2, changes=[(2, state)])
        found.append(
            {
                'endpoints': endpoints,
                'limits': team_limits,
                'bytes': len(encoded),
                'memory_mb': allocated_mb(lambda made=made: decode(made)),
                'change_endpoint_ms': timed_ms(
                    lambda: configuration.apply(made, state, 2)
                ),
                'change_limit_ms': timed_ms(
                    lambda: configuration.apply(made, limit, 2)
                ),
                'delta_bytes': len(msgspec.msgpack.encode(delta)),
                'find_active_ms': timed_ms(
                    lambda: held.active_endpoints('s', 'region-1')
                ),
                'rank_ms': rank_ms(held),
            }
        )
    return found


def decode(made: configuration.Configuration) -> configuration.Configuration:
    """Return a copy as decoded by a host that received it over a link."""
    return msgspec.msgpack.decode(
        msgspec.msgpack.encode(made), type=configuration.Configuration
    )


def rank_ms(held: replica.Replica) -> float:
    """Return the time to rank one region's engines, in milliseconds."""
    clock = clocks.Clock()
    candidates = held.active_endpoints('s', 'region-1')
    view = routing.RankingContext(
        loads.LoadTable(clock),
        concurrency_limits.ConcurrencyLimits(clock),
        routing.SessionAffinity(),
        held.current.services['s'],
        random.Random(1),
    )
    head = requests.RequestHead(
        'r', requests.RequestKind.CHAT, 'POST', '/', 's', 0, session='x'
    )
    return timed_ms(
        lambda: sorted(
            routing.rank_estimate(head, candidates, view),
            key=lambda item: item.score,
        )
    )


def measure_heartbeats() -> list[dict]:
    """Compute a host's heartbeat traffic by the hosts of its data centre."""
    found = []
    for hosts in (3, 9, 11, 30, 90):
        engines = max(1, round(3_300 / 67 / hosts))
        reports = [
            messages.LoadReport(f'region-1-hall-engine-{n}', 3, 1, 200)
            for n in range(engines)
        ]
        beat = messages.Heartbeat(False, 2_800, reports, [], [])
        size = len(msgspec.msgpack.encode(beat)) + ENVELOPE_BYTES
        found.append(
            {
                'hosts': hosts,
                'beat_bytes': size,
                'bytes_per_s': 2 * (hosts - 1) * size,
                'messages_per_s': 2 * (hosts - 1),
            }
        )
    return found


async def measure_links(count: int = 3_000) -> dict:
    """Measure the CPU time and the framing overhead of a link call."""
    keys = {name: links.new_keys() for name in ('a', 'b')}
    ports = dict(zip(keys, web.free_ports(2)))
    peers = [
        links.Peer(name, '127.0.0.1', ports[name], keys[name][0])
        for name in keys
    ]

    async def answer(_sender, body):
        return body

    ends = {}
    for name in keys:
        identity = links.Identity('bench', name, *keys[name])
        ends[name] = links.Links(identity, peers, clocks.Clock(), answer, 1000)
        await ends[name].start('127.0.0.1', ports[name])
    await ends['a'].call('b', b'x' * 100, 2000)
    started, before = time.process_time(), ends['a'].sent_bytes
    for _number in range(count):
        await ends['a'].call('b', b'x' * 100, 2000)
    used_s = time.process_time() - started
    sent = (ends['a'].sent_bytes - before) / count
    for end in ends.values():
        await end.close()
    return {
        'cpu_us_per_call_both_ends': round(1e6 * used_s / count, 1),
        'envelope_overhead_bytes': round(sent - 100, 1),
    }


def measure_ledger() -> list[dict]:
    """Measure a ledger host's memory and CPU time by number of keys."""
    found = []
    for count in (1_000, 10_000, 50_000):

        def fill(count=count):
            held = registers.Registers('h', 1, 0)
            for number in range(count):
                key = f'region-1:{1796215282731 + number}:{number:016x}'
                ballot = registers.Ballot(1, 'h')
                held.prepare(key, number, ballot)
                kept = registers.StoredResponse(
                    200, {'Content-Type': 'application/json'}, b'x' * 200
                )
                claim = registers.Claim(
                    registers.ClaimState.ANSWERED, 1, 'h', key, kept
                )
                held.accept(key, number, ballot, claim)
            return held

        started = time.process_time()
        memory_mb = allocated_mb(fill)
        used_s = time.process_time() - started
        held = fill()
        memory = held.on_recovery_request('other', 5, chunk_bytes=1 << 40)
        found.append(
            {
                'keys': count,
                'memory_mb': memory_mb,
                'us_per_key_traced': round(1e6 * used_s / count, 1),
                'recall_bytes': len(msgspec.msgpack.encode(memory)),
            }
        )
    return found


def measure_log(folder: pathlib.Path) -> dict:
    """Measure log appends and snapshots of a voter."""
    kept = storage.Storage(disk.Disk(folder / 'log'))
    kept.save_meta()

    def append():
        index = kept.last_index + 1
        kept.append([entries.LogEntry(index, 1, entry)])

    limit = configuration.TeamLimit('team-1', 7.0, 9)
    plan = plans.build_plan(
        'ada-1',
        'ada',
        plans.ChangeLimit(limit),
        config(1, 1),
        1796215282731,
        0,
    )
    entry = entries.MakePlan('ada', 1, 'x' * 64, plan)
    found = {
        'append_and_sync_ms': timed_ms(append, 200),
        'entry_bytes': len(
            msgspec.msgpack.encode(entries.LogEntry(1, 1, entry))
        ),
        'idle_append_bytes': len(
            msgspec.msgpack.encode(messages.AppendEntries(7, 2800, 7, 2800))
        )
        + ENVELOPE_BYTES,
        'snapshots': [],
    }
    for count in (100, 1_000, 5_000):
        state = replicated.ReplicatedState(
            configuration=config(3_300, 18_000),
            plans={
                f'ada-{n}': msgspec.structs.replace(plan, plan=f'ada-{n}')
                for n in range(count)
            },
        )
        encoded = msgspec.msgpack.encode(state)
        snapshot = storage.Snapshot(kept.last_index, 1, {}, encoded)
        found['snapshots'].append(
            {
                'plans': count,
                'bytes': len(encoded),
                'encode_ms': timed_ms(
                    lambda state=state: msgspec.msgpack.encode(state), 5
                ),
                'write_and_sync_ms': timed_ms(
                    lambda one=snapshot: kept.save_snapshot(one), 3
                ),
            }
        )
    return found


def measure_sessions() -> list[dict]:
    """Measure the memory of session affinity by number of sessions."""
    found = []
    for count in (1_000, 10_000, 65_536):

        def fill(count=count):
            held = routing.SessionAffinity()
            for number in range(count):
                held.record_use(f'team-17-session-{number}', 'engine-1')
            return held

        found.append({'sessions': count, 'memory_mb': allocated_mb(fill)})
    return found


async def measure_streams() -> list[dict]:
    """Measure an entry host's CPU time per event by concurrent streams."""
    found = []
    made = fleet.deployment(regions=('north',))
    made['endpoints'][0]['slots'] = 64
    model = {'token_ms': 0, 'cold_first_ms': 1, 'warm_first_ms': 1}
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        async with fleet.running(folder, made, model) as running:
            pid = running.processes['north-1'].pid
            caller = running.caller('north-1')
            for streams in (2, 8, 32):
                body = {
                    'messages': [{'role': 'user', 'content': 'x'}],
                    'stream': True,
                    'max_tokens': 500,
                }
                cpu = processes.cpu_s(pid)
                results = await asyncio.gather(
                    *(caller.chat(body) for _number in range(streams))
                )
                used_s = processes.cpu_s(pid) - cpu
                events = sum(result.events for result in results)
                found.append(
                    {
                        'streams': streams,
                        'events': events,
                        'cpu_us_per_event': round(1e6 * used_s / events, 1),
                    }
                )
    return found


async def main() -> None:
    """Run all measurements and print them as JSON."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    logs.configure('error')
    with tempfile.TemporaryDirectory() as name:
        log = measure_log(pathlib.Path(name))
    found = {
        'configuration': measure_configuration(),
        'beats': measure_heartbeats(),
        'links': await measure_links(),
        'ledger': measure_ledger(),
        'log': log,
        'sessions': measure_sessions(),
        'streams': await measure_streams(),
    }
    print(json.dumps(found, indent=1))


if __name__ == '__main__':
    asyncio.run(main())

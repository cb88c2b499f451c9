"""Cost of balancing: time a decision, and bytes a second and host.

    python -m benches.balancing

Prints one line a measurement. Times are of one thread; bytes are encoded
sizes at the rates of the code, for regions of fleets of 20, 90 and 710 hosts.
"""

import collections.abc
import time
import types

import msgspec

from wrenspoke.coordination.balancing import distance
from wrenspoke.coordination.balancing import engine_profiles
from wrenspoke.coordination.balancing import plain_waits
from wrenspoke.coordination.balancing import region_room
from wrenspoke.protocol import capacity
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages

REPEATS = 5
ROUNDS = 2_000
PINGS_PER_S = 2.5
US_PER_S = 1_000_000
# Hosts, engines, regions, and calls to engines a second in all.
FLEETS = [(20, 16, 3, 100), (90, 29, 3, 420), (710, 3_300, 18, 17_000)]


class FakeClock:
    """Clock that advances with each reading."""

    def __init__(self):
        self.now_ms = 100_000

    def mono_ms(self):
        self.now_ms += 1
        return self.now_ms


def microseconds(
    work: collections.abc.Callable[[int], object], rounds: int = ROUNDS
) -> float:
    """Return the shortest mean time of a call over all repeats."""
    best_s = None
    for _repeat in range(REPEATS):
        began_s = time.perf_counter()
        for number in range(rounds):
            work(number)
        took_s = time.perf_counter() - began_s
        best_s = took_s if best_s is None else min(best_s, took_s)
    return best_s * US_PER_S / rounds


def profiles_of(engines: int) -> engine_profiles.EngineProfiles:
    """Return profiles of a region that has observed all of its engines."""
    registered = {
        f'i-{n:010x}': types.SimpleNamespace(
            endpoint=f'i-{n:010x}', service='s', build='b', born_ms=1
        )
        for n in range(engines)
    }
    made = engine_profiles.EngineProfiles(registered.get, FakeClock())
    made.collect(observation(name) for name in registered)
    return made


def observation(name: str) -> discovery_messages.EngineObservation:
    """Return a host's observation of one call."""
    return discovery_messages.EngineObservation(
        name, 1_700_000_000_000, 1, 12_000, 240, 42, 800, 2_000
    )


def measure_times() -> None:
    """Print the time of each step of a decision."""
    call = dialects.Call(
        *('q', 'POST', 'h', '/', [], 0, 1), body=b'x' * 9_000
    )
    cost = distance.DistanceCost('a')
    waits = plain_waits.PlainWaits(FakeClock())
    waits.record_answer('e', 's', 30.0)
    room = capacity.ServiceRoom('s', 100, 10**6, 300.0, 5_000.0, 200.0)
    spent = region_room.SpentRoom(FakeClock())
    for _call in range(100):
        spent.record_forwarded('r', 's', 2_000.0)

    def offer(_number: int) -> None:
        used = spent.since('r', 's', 0)
        now = region_room.room_now(room, used, 400.0)
        region_room.wait_ms(50.0, room, now, used, 2_000.0)

    made = profiles_of(30)
    name = 'i-0000000001'
    one = msgspec.structs.replace(observation(name), born_ms=1)
    engine = region_room.EngineRoom(10, 10_000, 0.02, 100.0)
    for label, work in [
        ('profile of an engine', lambda _n: made.profile(name)),
        ('distance', lambda _n: cost.cost_ms('b', call, 800.0)),
        ('plain wait', lambda _n: waits.expected_ms('e', 's')),
        ('offer with 100 spent calls', offer),
        ('observed gap', lambda _n: made.observe_gap(name, 40.0, 20)),
        ('collected observation', lambda _n: made.collect([one])),
        (
            'sum of 183 engines',
            lambda _n: region_room.sum_up('s', [engine] * 183, 1.0),
        ),
    ]:
        print(f'{label}: {microseconds(work):.1f} us')


def measure_bytes() -> None:
    """Print bytes a second and host, beyond the messages sent anyway."""
    encode = msgspec.msgpack.encode
    observed = len(encode(observation('i-0000000001')))
    profile = len(
        encode(
            capacity.EngineProfile(
                'i-0000000001', 1_700_000_000_000, 0.02, 40.1, 1.2, 9_999
            )
        )
    )
    room = len(encode(capacity.ServiceRoom('fiwu21b', 99, 10**6, 3.1, 9, 1.2)))
    for hosts, engines, regions, calls in FLEETS:
        sent = calls / hosts * observed
        received = min(engine_profiles.PROFILES_PER_S, engines / regions / 0.4)
        print(
            f'{hosts} hosts: observations {sent:.0f} B/s sent by a host, '
            f'profiles {received * profile:.0f} B/s received, '
            f'room {PINGS_PER_S * room * (regions - 1):.0f} B/s a service and '
            f'pinging host, no further messages while calls are sent'
        )


if __name__ == '__main__':
    measure_times()
    measure_bytes()

"""Measure one decision of admission, without its waiting.

    python -m benches.admission [--rounds N]

Assesses a call at as many engines as a host draws (all of up to 30, with 60
streams each, of 10 or 90 hosts), and rules on the best place while 50 others
wait.
"""

import argparse
import json
import time

from wrenspoke.coordination.admission import controller as controllers
from wrenspoke.coordination.admission import places
from wrenspoke.coordination.admission import running_streams
from wrenspoke.coordination.admission import wait_queue
from wrenspoke.coordination.serving import sampling
from wrenspoke.protocol import capacity
from wrenspoke.state import loads

NOW_MS = 1_000_000
STREAMS = 60
SLOTS = 64
WAITING = 50
PROFILE = capacity.EngineProfile('e', 0, 0.01, 50.0, 1.0, 10)
LOAD = loads.EngineLoad('e', 4, 50, 0, 10**6, 200)


def streams_at(engines: int) -> running_streams.RunningStreams:
    """Return streams at each of some engines."""
    made = running_streams.RunningStreams()
    for engine in range(engines):
        for number in range(STREAMS):
            made.add(
                str(engine),
                places.Stream(
                    NOW_MS - 10 * number,
                    NOW_MS + 100 * number + 50,
                    NOW_MS + 10_000,
                    20.0,
                ),
            )
    return made


def measure(engines: int, rounds: int) -> dict:
    """Return microseconds of a place, of a ruling, and of both for a call."""
    streams = streams_at(engines)
    drawn = min(engines, sampling.SAMPLE_SIZE)
    core = controllers.AdmissionController(200)
    for number in range(WAITING):
        core.queue.add(
            wait_queue.Ticket(number % 3, 'a', number, NOW_MS * 2, NOW_MS)
        )
    demand = places.Demand(300.0, 60.0, 0.0, 42, 10_000.0)
    started_s = time.perf_counter()
    for _round in range(rounds):
        for engine in range(drawn):
            found = streams.occupancy(str(engine), 's', SLOTS, LOAD, NOW_MS)
            place = places.predict(demand, found, PROFILE)
    placed_s = time.perf_counter()
    for number in range(rounds):
        ticket = core.ticket(str(number), 0, 'a', 1_000.0, 12_000, NOW_MS)
        core.decide(ticket, place, 10_000.0, NOW_MS)
    ruled_s = time.perf_counter()
    place_us = (placed_s - started_s) * 1e6 / rounds / drawn
    ruling_us = (ruled_s - placed_s) * 1e6 / rounds
    return {
        'engines': engines,
        'drawn': drawn,
        'place_us': round(place_us, 1),
        'ruling_us': round(ruling_us, 1),
        'call_us': round(drawn * place_us + ruling_us, 1),
    }


def main() -> None:
    """Print one line for each number of engines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=2_000)
    rounds = parser.parse_args().rounds
    for engines in (1, 30, 300):
        print(json.dumps(measure(engines, rounds)))


if __name__ == '__main__':
    main()

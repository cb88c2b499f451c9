"""Permits to send are granted and validated by what endpoints advertise."""

import pytest

from tests import group
from tests import test_health
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_gate
from wrenspoke.coordination.serving import retry_schedule
from wrenspoke.protocol import advertised
from wrenspoke.protocol import limiting

LIFE = limiting.EndpointInstance('e')
RANK = 10
ECHOED = advertised.Origin.ECHOED
UNNAMED = advertised.Origin.UNNAMED
FOREIGN = advertised.Origin.FOREIGN


class FakeClock(test_health.FakeClock):
    """Clock that a test advances, for wall time too."""

    def wall_ms(self):
        return self.now_ms


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def gate(clock):
    peers = group.Peers('h', group.Network(1))
    return endpoint_gate.EndpointGate(
        'h', lambda _key: ['h'], lambda _life: True, None, peers, clock
    )


def refusal(origin=ECHOED, status=503, **fields):
    return advertised.AdvertisedHeaders(
        origin, status, retry_after=('3',), **fields
    )


def served(origin=ECHOED, **fields):
    return advertised.AdvertisedHeaders(origin, 200, **fields)


LEAVES = served(leaving=('1',))


@pytest.mark.parametrize(
    'head, continues, valid',
    [
        (refusal(), False, False),
        (refusal(), True, False),
        (refusal(UNNAMED), False, False),
        (refusal(FOREIGN), False, True),
        (refusal(status=429), False, False),
        (refusal(status=500), False, True),
        (LEAVES, False, False),
        # A continuation may go to an endpoint that is leaving.
        (LEAVES, True, True),
        (served(FOREIGN, leaving=('1',)), False, True),
        (served(), False, True),
        # Neither a refusal with a time, nor a success.
        (advertised.AdvertisedHeaders(ECHOED, 503), False, True),
    ],
)
async def test_permit_is_validated_at_send_time(gate, head, continues, valid):
    """A response may arrive while a request waits for a connection."""
    answered = await gate.acquire(LIFE, RANK)
    waiting = await gate.acquire(LIFE, RANK, continues)
    assert waiting.is_valid()
    answered.on_response(head)
    assert waiting.is_valid() is valid


async def test_no_permit_during_backoff(gate, clock):
    (await gate.acquire(LIFE, RANK)).on_response(refusal())
    assert gate.remaining_ms(LIFE) == 3_000
    with pytest.raises(errors.EndpointBackoffError, match='e asked for'):
        await gate.acquire(LIFE, RANK)
    with pytest.raises(errors.EndpointBackoffError):
        gate.acquire_poll(LIFE)
    # Running work may still be cancelled.
    assert gate.acquire_unchecked(LIFE).is_valid()
    clock.now_ms = 3_000
    assert gate.acquire_poll(LIFE).is_valid()
    assert (await gate.acquire(LIFE, RANK)).is_valid()


async def test_poll_does_not_show_that_an_endpoint_serves(gate, clock):
    (await gate.acquire(LIFE, RANK)).on_response(refusal())
    clock.now_ms = 3_000
    (await gate.acquire(LIFE, RANK)).is_valid()
    gate.acquire_poll(LIFE).on_response(served(UNNAMED))
    assert gate.remaining_ms(LIFE) > 0


async def test_poll_response_updates_backoff_and_leaving(gate):
    poll = gate.acquire_poll(LIFE)
    poll.on_response(refusal(UNNAMED, leaving=('1',)))
    assert gate.remaining_ms(LIFE) == 3_000
    assert gate.leaving.is_leaving(LIFE)


async def test_limit_and_backoff_of_one_answer_both_count(gate, clock):
    permit = await gate.acquire(LIFE, RANK)
    permit.on_response(refusal(limits=('0.5',)))
    assert gate.limits.rate_per_s(LIFE) == 0.5
    assert gate.remaining_ms(LIFE) == 3_000


async def test_malformed_values_are_logged_once(gate, capsys):
    permit = await gate.acquire(LIFE, RANK)
    for _number in range(3):
        permit.on_response(
            advertised.AdvertisedHeaders(
                ECHOED, 503, retry_after=('soon',), leaving=('yes',)
            )
        )
    lines = [
        line
        for line in capsys.readouterr().out.splitlines()
        if 'endpoint_header_malformed' in line
    ]
    assert len(lines) == 2
    assert "'soon' is neither seconds nor an HTTP date" in lines[0]
    assert 'Server-Leaving' in lines[1]
    assert gate.remaining_ms(LIFE) == 0


@pytest.mark.parametrize('urgency', range(3))
def test_callers_return_by_urgency(urgency):
    """All calls of one urgency retry before those of the next."""
    waits_ms = [retry_schedule.jittered_ms(1_000, urgency) for _ in range(200)]
    later_ms = [
        retry_schedule.jittered_ms(1_000, urgency + 1) for _ in range(200)
    ]
    assert max(waits_ms) <= min(later_ms)
    assert max(waits_ms) > min(waits_ms)


async def test_state_of_missing_endpoints_is_evicted(clock):
    """Endpoints are replaced often during the life of a host."""
    known = [LIFE]
    peers = group.Peers('h', group.Network(1))
    gate = endpoint_gate.EndpointGate(
        'h', lambda _key: ['h'], known.__contains__, None, peers, clock
    )
    malformed = advertised.AdvertisedHeaders(
        ECHOED, 503, retry_after=('soon',)
    )
    for number in range(50):
        life = limiting.EndpointInstance(f'e{number}')
        known[:] = [life]
        permit = await gate.acquire(life, RANK)
        permit.on_response(malformed)
        permit.on_response(refusal())
        clock.now_ms += 100_000
        gate.backoffs.evict()
    assert len(gate.backoffs.refused) <= 1
    assert len(gate._malformed) <= 1

"""A host backs off from endpoints that refuse it, and resumes gradually."""

import pytest

from tests import test_health
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_backoffs
from wrenspoke.coordination.limiting import leaving_endpoints
from wrenspoke.protocol import limiting

LIFE = limiting.EndpointInstance('e', 1)
NEXT_LIFE = limiting.EndpointInstance('e', 2)
HOSTS = ['h0', 'h1', 'h2', 'h3']
# All hosts have resumed by then.
SETTLED_MS = endpoint_backoffs.RETURN_SPREAD_MS


def backoffs_of(host, clock, known=(LIFE,)):
    """Return the backoffs of one of four hosts."""
    return endpoint_backoffs.EndpointBackoffs(
        host, lambda _key: HOSTS, lambda life: life in known, None, clock
    )


@pytest.fixture
def clock():
    return test_health.FakeClock()


@pytest.fixture
def held(clock):
    return backoffs_of('h0', clock)


def notice(host, left_ms, life=LIFE):
    return limiting.EndpointBackoff(life, host, left_ms)


@pytest.mark.parametrize(
    'refusals, until_ms',
    [
        # The time of each refusal, and its advertised backoff.
        ([(0, 3_000)], 3_000),
        ([(0, 3_000), (100, 5_000)], 5_100),
        ([(0, 3_000), (100, 1_000)], 3_000),
        # No backoff, or one that has almost ended.
        ([(0, 3_000), (100, 0)], 3_000),
        ([(0, 3_000), (2_999, 3_000)], 5_999),
        ([(0, 3_000), (3_500, 1_000)], 4_500),
        ([(0, 1)], 1),
        # One response must not exclude an endpoint for an hour.
        ([(0, 3_600_000)], 60_000),
    ],
)
def test_nothing_is_sent_before_the_latest_time(
    held, clock, refusals, until_ms
):
    for at_ms, backoff_ms in refusals:
        clock.now_ms = at_ms
        held.on_response(LIFE, backoff_ms, at_ms)
    while clock.now_ms < until_ms:
        assert held.own_remaining_ms(LIFE) == until_ms - clock.now_ms
        with pytest.raises(errors.EndpointBackoffError):
            held.acquire(LIFE)
        clock.now_ms += max((until_ms - clock.now_ms) // 2, 1)
    assert held.own_remaining_ms(LIFE) == 0
    clock.now_ms += SETTLED_MS
    held.acquire(LIFE)


def test_request_that_is_served_does_not_end_a_backoff(held, clock):
    """The request was sent before the refusal, or shortly after it."""
    held.on_response(LIFE, 3_000, 0)
    for sent_ms in (-100, 100):
        clock.now_ms = 200
        held.on_response(LIFE, 0, sent_ms)
        assert held.own_remaining_ms(LIFE) == 2_800


def test_backoff_does_not_apply_to_next_life(clock):
    known = [LIFE]
    held = backoffs_of('h0', clock, known)
    held.on_response(LIFE, 3_000, 0)
    assert held.remaining_ms(NEXT_LIFE) == 0
    held.acquire(NEXT_LIFE)
    assert held.remaining_ms(LIFE) > 0
    known[:] = [NEXT_LIFE]
    held.on_response(NEXT_LIFE, 3_000, 0)
    # A response of the earlier life arrives late.
    held.on_response(LIFE, 9_000, 0)
    assert held.remaining_ms(NEXT_LIFE) == 3_000


@pytest.mark.parametrize(
    'notices, backs_off',
    [
        ([], False),
        # The endpoint may have capacity for all others.
        ([('h1', 3_000)], False),
        ([('h1', 3_000), ('h1', 4_000)], False),
        ([('h1', 3_000), ('h2', 3_000)], True),
        ([('h1', 3_000), ('h2', 3_000), ('h3', 0)], False),
        ([('h1', 3_000), ('h3', 0), ('h2', 3_000)], False),
        # Gossip from this host itself.
        ([('h0', 3_000), ('h1', 3_000)], False),
    ],
)
def test_others_refusals_count_once_two_agree(held, notices, backs_off):
    held.merge([notice(*one) for one in notices])
    assert (held.remaining_ms(LIFE) > 0) is backs_off
    assert held.own_remaining_ms(LIFE) == 0


def test_host_that_was_served_since_does_not_back_off(held, clock):
    held.merge([notice('h1', 3_000)])
    clock.now_ms = 10
    held.on_response(LIFE, 0, 5)
    held.merge([notice('h2', 3_000)])
    assert held.remaining_ms(LIFE) == 0


def test_gossip_of_another_life_is_ignored(held):
    held.merge([notice('h1', 3_000, NEXT_LIFE), notice('h2', 3_000)])
    assert held.remaining_ms(NEXT_LIFE) == 0
    assert held.remaining_ms(LIFE) == 0


def test_one_host_probes_at_a_time(clock):
    """Hosts that were not refused probe in turn, one per interval."""
    probing = [backoffs_of(host, clock) for host in HOSTS]
    for one in probing:
        one.merge([notice('h0', 3_000), notice('h3', 3_000)])
    for one in (probing[0], probing[3]):
        one.on_response(LIFE, 3_000, 0)
    first_ms = endpoint_backoffs.INITIAL_PROBE_MS
    sent = []
    for clock.now_ms in range(0, 2 * first_ms + 1, 10):
        for one in probing:
            if not one.remaining_ms(LIFE):
                one.acquire(LIFE)
                sent.append((one._host, clock.now_ms))
    assert sent == [('h1', first_ms), ('h2', 2 * first_ms)]


def test_refused_probes_become_rarer(held, clock):
    held.merge([notice('h1', 8_000), notice('h2', 8_000)])
    pauses_ms = []
    for _number in range(6):
        begun_ms = clock.now_ms
        while held.remaining_ms(LIFE):
            clock.now_ms += held.remaining_ms(LIFE)
        held.acquire(LIFE)
        pauses_ms.append(clock.now_ms - begun_ms)
        # Another host's probe was refused.
        held.merge([notice('h3', 8_000)])
    assert pauses_ms == [100, 200, 400, 800, 1_600, 2_000]


def test_served_probe_ends_the_others_backoff_and_not_ones_own(clock):
    own, other = backoffs_of('h0', clock), backoffs_of('h1', clock)
    own.on_response(LIFE, 3_000, 0)
    for one in (own, other):
        one.merge([notice('h2', 3_000), notice('h3', 3_000)])
        clock.now_ms = 500
        one.merge([notice('h2', 0)])
    assert other.remaining_ms(LIFE) == 0
    assert own.remaining_ms(LIFE) == 2_500


def test_host_returns_with_one_request_and_then_more(held, clock):
    held.on_response(LIFE, 1_000, 0)
    clock.now_ms = 1_000 + SETTLED_MS
    sent = []
    for _number in range(5):
        count = 0
        while not held.remaining_ms(LIFE) and count < 50:
            held.acquire(LIFE)
            count += 1
        sent.append(count)
        for _response in range(count):
            held.on_response(LIFE, 0, clock.now_ms)
    assert sent == [1, 2, 4, 8, 50]


def test_request_without_a_response_does_not_hold_up_the_return(held, clock):
    held.on_response(LIFE, 1_000, 0)
    clock.now_ms = 1_000 + SETTLED_MS
    held.acquire(LIFE)
    assert held.remaining_ms(LIFE) > 0
    clock.now_ms += endpoint_backoffs.RESPONSE_TIMEOUT_MS
    assert held.remaining_ms(LIFE) == 0


def test_hosts_return_one_after_another(clock):
    returned_ms = []
    for host in HOSTS:
        clock.now_ms = 0
        held = backoffs_of(host, clock)
        held.on_response(LIFE, 4_000, 0)
        while held.remaining_ms(LIFE):
            clock.now_ms += held.remaining_ms(LIFE)
        returned_ms.append(clock.now_ms)
    assert returned_ms == [4_000, 4_250, 4_500, 4_750]


@pytest.mark.parametrize('kept_ms, leaving', [(None, True), (1_000, False)])
def test_leave_holds_for_a_life(clock, kept_ms, leaving):
    """Endpoints with configured names may restart under the same name."""
    marks = leaving_endpoints.LeavingEndpoints(
        lambda life: life == LIFE, None, kept_ms, clock
    )
    heard = []
    marks.listen(heard.append)
    marks.mark(LIFE)
    marks.mark(LIFE)
    assert heard == [LIFE]
    assert marks.is_leaving(LIFE)
    assert not marks.is_leaving(NEXT_LIFE)
    clock.now_ms = 1_000
    assert marks.is_leaving(LIFE) is leaving


def test_gossiped_leave_is_applied(clock):
    marks = leaving_endpoints.LeavingEndpoints(
        lambda life: life == LIFE, None, None, clock
    )
    marks.merge([LIFE, NEXT_LIFE])
    assert marks.is_leaving(LIFE)
    assert not marks.is_leaving(NEXT_LIFE)

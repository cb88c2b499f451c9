"""What endpoints hold, and what they are sent after they fell over."""

import random

import pytest

from wrenspoke.coordination.buffering import endpoint_holdings


class FakeClock:
    def __init__(self):
        self.now_ms = 10_000

    def mono_ms(self):
        return self.now_ms


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def holdings(clock):
    return endpoint_holdings.EndpointHoldings(clock)


def send(holdings, count, size=1_000, tokens=100):
    return [holdings.record_sent('e', size, tokens) for _n in range(count)]


def end(holdings, numbers, answered=True):
    for number in numbers:
        holdings.record_ended('e', number, answered)


def test_endpoint_that_never_fell_over_is_not_limited(holdings):
    send(holdings, 1_000)
    assert holdings.fits('e', 10**9, 10**9)


def test_requests_of_this_host_count_until_they_end(holdings, clock):
    numbers = send(holdings, 3)
    clock.now_ms += 10**6
    assert holdings.held('e').body_bytes == 3_000
    assert holdings.held('e').tokens == 300
    end(holdings, numbers[:2])
    # An end is counted once.
    end(holdings, numbers[:2])
    assert holdings.held('e').body_bytes == 1_000


def test_requests_of_other_hosts_count_while_requests_take(holdings, clock):
    """A host that froze or left tells of no end."""
    holdings.record_peer_sent('e', 1_000, 100, 0)
    holdings.record_peer_sent('e', 1_000, 100, 900)
    holdings.record_peer_sent('e', 1_000, 100, 10**6)
    assert holdings.held('e').body_bytes == 2_000
    clock.now_ms += 200
    assert holdings.held('e').body_bytes == 1_000
    clock.now_ms += 900
    assert holdings.held('e').body_bytes == 0


def test_endpoint_that_fell_over_begins_lower_and_grows_again(holdings, clock):
    end(holdings, send(holdings, 5))
    numbers = send(holdings, 10)
    # The requests fail before the new instance is known.
    end(holdings, numbers, answered=False)
    clock.now_ms += 1_000
    holdings.record_fallen('e')
    send(holdings, 5)
    assert holdings.fits('e', 1_000, 100)
    numbers = send(holdings, 1)
    assert not holdings.fits('e', 1_000, 100)
    # Requests that end well raise the limit.
    for _number in range(60):
        end(holdings, numbers)
        clock.now_ms += 1_000
        numbers = send(holdings, 1)
    assert holdings.fits('e', 1_000, 100)
    assert holdings.fits('e', 10**9, 10**9)


@pytest.mark.parametrize(
    'size, tokens',
    [(100_000, 1), (1, 100_000)],
    ids=['bytes', 'tokens'],
)
def test_empty_endpoint_is_sent_any_request(holdings, clock, size, tokens):
    numbers = send(holdings, 10)
    end(holdings, numbers, answered=False)
    holdings.record_fallen('e')
    assert holdings.fits('e', size, tokens)
    send(holdings, 1)
    assert not holdings.fits('e', size, tokens)


def test_crash_at_a_load_that_was_borne_limits_nothing(holdings, clock):
    end(holdings, send(holdings, 10))
    clock.now_ms += 60_000
    end(holdings, send(holdings, 8), answered=False)
    holdings.record_fallen('e')
    send(holdings, 100)
    assert holdings.fits('e', 1_000, 100)


def test_crash_without_requests_limits_nothing(holdings, clock):
    end(holdings, send(holdings, 10), answered=False)
    clock.now_ms += 60_000
    holdings.record_fallen('e')
    send(holdings, 100)
    assert holdings.fits('e', 1_000, 100)


@pytest.mark.parametrize('seed', range(30))
def test_held_amounts_are_never_negative_and_end_at_zero(seed, clock):
    drawn = random.Random(seed)
    holdings = endpoint_holdings.EndpointHoldings(clock)
    running = []
    for _number in range(300):
        clock.now_ms += drawn.randrange(50)
        name = drawn.choice('abc')
        action = drawn.random()
        if action < 0.4:
            size, tokens = drawn.randrange(5_000), drawn.randrange(500)
            running.append((name, holdings.record_sent(name, size, tokens)))
        elif action < 0.6:
            holdings.record_peer_sent(
                name, drawn.randrange(5_000), 100, drawn.randrange(2_000)
            )
        elif action < 0.95 and running:
            name, number = running.pop(drawn.randrange(len(running)))
            holdings.record_ended(name, number, drawn.random() < 0.8)
        elif action > 0.98:
            holdings.record_fallen(name)
        held = holdings.held(name)
        assert held.body_bytes >= 0 and held.tokens >= 0
    for name, number in running:
        holdings.record_ended(name, number, True)
    clock.now_ms += 10**6
    for name in 'abc':
        assert holdings.held(name) == endpoint_holdings.Amount()

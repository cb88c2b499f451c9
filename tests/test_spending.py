"""Retry budgets that hosts share without coordination."""

import pytest

from wrenspoke.coordination.serving import shared_retry_budget

WINDOW_MS = 10_000


class FakeClock:
    """Clock that a test sets."""

    def __init__(self):
        self.now_ms = 0

    def mono_ms(self):
        return self.now_ms


def shared_budgets(count, bounds, clock):
    """Return the budgets of ``count`` hosts that share them."""
    names = [f'10.0.{number // 250}.{number % 250}' for number in range(count)]
    every = [
        shared_retry_budget.SharedRetryBudget(name, bounds, clock)
        for name in names
    ]
    for budget in every:
        budget.set_hosts(names)
    return every


@pytest.mark.parametrize('fixed', [56, 4.7])
@pytest.mark.parametrize('hosts', [1, 8, 85, 200, 710])
@pytest.mark.parametrize('firsts', [0, 40, 1000])
def test_hosts_together_stay_within_the_bound(hosts, firsts, fixed):
    clock = FakeClock()
    bounds = shared_retry_budget.RetryBounds(0.2, fixed, WINDOW_MS)
    every = shared_budgets(hosts, bounds, clock)
    for number in range(firsts):
        every[number % hosts].record_request('s')
    spent = 0
    for budget in every:
        while budget.spend('s'):
            spent += 1
    assert spent <= 0.2 * firsts + fixed


@pytest.mark.parametrize('hosts', [20, 60, 200, 710])
def test_fixed_part_is_fully_distributed(hosts):
    """Guards against parts rounded down to zero on every host."""
    bounds = shared_retry_budget.RetryBounds(0.2, 56, WINDOW_MS)
    spent = 0
    for budget in shared_budgets(hosts, bounds, FakeClock()):
        while budget.spend('s'):
            spent += 1
    assert spent == int(shared_retry_budget.USABLE_SHARE * 56)


def test_remainder_goes_to_different_hosts_by_service():
    bounds = shared_retry_budget.RetryBounds(0.0, 56, WINDOW_MS)
    every = shared_budgets(200, bounds, FakeClock())
    having = [
        {number for number, one in enumerate(every) if one.spend(service)}
        for service in ('a', 'b')
    ]
    assert having[0] != having[1]


def test_window_slides():
    clock = FakeClock()
    bounds = shared_retry_budget.RetryBounds(0.0, 3, 1_000)
    [budget] = shared_budgets(1, bounds, clock)
    assert budget.spend('s') and budget.spend('s')
    assert not budget.spend('s')
    clock.now_ms = 1_000
    assert budget.spend('s')


def test_services_do_not_share_a_budget():
    bounds = shared_retry_budget.RetryBounds(0.0, 2, 1_000)
    [budget] = shared_budgets(1, bounds, FakeClock())
    assert budget.spend('a') and not budget.spend('a')
    assert budget.spend('b')

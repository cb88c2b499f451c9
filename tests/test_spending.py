"""Budgets that hosts share without a word between them."""

import pytest

from wrenspoke.coordination.serving import spending

WINDOW_MS = 10_000


class FakeClock:
    """Stand still until told."""

    def __init__(self):
        self.now_ms = 0

    def mono_ms(self):
        return self.now_ms


@pytest.mark.parametrize('fixed', [56, 4.7])
@pytest.mark.parametrize('hosts', [1, 8, 85])
@pytest.mark.parametrize('firsts', [0, 40, 1000])
def test_all_hosts_together_keep_the_bound(hosts, firsts, fixed):
    clock = FakeClock()
    bounds = spending.RetryBounds(0.2, fixed, WINDOW_MS)
    every = [spending.Spending(bounds, clock) for _number in range(hosts)]
    for number in range(firsts):
        every[number % hosts].first('s')
    spent = 0
    for budget in every:
        budget.hosts = hosts
        while budget.spend('s'):
            spent += 1
    assert spent <= 0.2 * firsts + fixed


def test_window_slides():
    clock = FakeClock()
    budget = spending.Spending(spending.RetryBounds(0.0, 3, 1_000), clock)
    assert budget.spend('s') and budget.spend('s')
    assert not budget.spend('s')
    clock.now_ms = 1_000
    assert budget.spend('s')


def test_services_do_not_share_a_budget():
    budget = spending.Spending(
        spending.RetryBounds(0.0, 2, 1_000), FakeClock()
    )
    assert budget.spend('a') and not budget.spend('a')
    assert budget.spend('b')

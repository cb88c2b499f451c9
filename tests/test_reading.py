"""The prefill model, trained on a simulated engine."""

import random
import statistics

import pytest

from wrenspoke.coordination.serving import prefill_model

BASE_MS, TOKEN_MS = 18.0, 1 / 52
ENGINES = {'a': 1.0, 'b': 1.0, 'c': 1.3}


class SimulatedEngine:
    """Engine with known latency, log-normal noise and some hangs."""

    def __init__(self, seed):
        self.slowed = 1.0
        self._random = random.Random(seed)

    def call(self):
        """Return an engine, uncached and queued tokens, and the time taken."""
        chance = self._random
        name = chance.choice(list(ENGINES))
        lengths = ((100, 900), (1_000, 9_000))
        unread = chance.uniform(*chance.choice(lengths))
        ahead = chance.choice([0.0, 0.0, chance.uniform(0, 20_000)])
        took_ms = BASE_MS + (unread + ahead) * TOKEN_MS
        took_ms *= ENGINES[name] * self.slowed
        took_ms *= chance.lognormvariate(0, 0.25)
        if chance.random() < 0.03:
            took_ms += 3_000
        return name, unread, ahead, took_ms


def train(model, engine, calls):
    """Train a model, and return the ratios of expected to actual times."""
    ratios = []
    for _number in range(calls):
        name, unread, ahead, took_ms = engine.call()
        ratios.append(model.first_ms(name, unread, ahead) / took_ms)
        model.add_sample(name, unread, ahead, took_ms)
    return ratios


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('start', [0.1, 1.0, 10.0])
def test_model_converges_from_wrong_starts(monkeypatch, start, seed):
    for name in ('INITIAL_BASE_MS', 'INITIAL_TOKEN_MS'):
        monkeypatch.setattr(
            prefill_model, name, getattr(prefill_model, name) * start
        )
    monkeypatch.setattr(prefill_model, 'MIN_COEFFICIENT_SHARE', 0.005)
    model = prefill_model.PrefillModel()
    engine = SimulatedEngine(seed)
    train(model, engine, 100)
    ratios = train(model, engine, 200)
    assert 0.8 <= statistics.median(ratios) <= 1.25
    within = [ratio for ratio in ratios if 0.5 <= ratio <= 2.0]
    assert len(within) >= 0.9 * len(ratios)
    assert model.token_ms == pytest.approx(TOKEN_MS * 1.09, rel=0.25)
    assert model.speed_factor('c') > 1.1 * model.speed_factor('a')


@pytest.mark.parametrize('slowed', [3.0, 0.4])
def test_model_follows_engines_that_change(slowed):
    model = prefill_model.PrefillModel()
    engine = SimulatedEngine(1)
    train(model, engine, 200)
    engine.slowed = slowed
    train(model, engine, 80)
    ratios = train(model, engine, 100)
    assert 0.8 <= statistics.median(ratios) <= 1.25


def test_queued_and_own_tokens_are_distinguished():
    """Queued tokens take half the time of the call's own tokens here."""
    model = prefill_model.PrefillModel()
    chance = random.Random(1)
    for _number in range(300):
        unread = chance.uniform(100, 9_000)
        ahead = chance.choice([0.0, chance.uniform(0, 20_000)])
        model.add_sample('a', unread, ahead, 20 + unread / 50 + ahead / 100)
    alone = model.first_ms('a', 5_000, 0)
    assert alone == pytest.approx(120, rel=0.1)
    assert model.first_ms('a', 5_000, 10_000) == pytest.approx(220, rel=0.1)


def test_outlier_has_bounded_influence():
    model = prefill_model.PrefillModel()
    train(model, SimulatedEngine(1), 300)
    before_ms = model.first_ms('a', 3_000, 0)
    model.add_sample('a', 3_000, 0, 60_000)
    assert model.first_ms('a', 3_000, 0) < 1.2 * before_ms

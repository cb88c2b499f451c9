"""Advertised rate limits are parsed, ordered, enforced and logged."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import structlog.testing

from tests import test_registry
from wrenspoke.coordination.limiting import advertised_limits
from wrenspoke.coordination.limiting import bucket_owners
from wrenspoke.coordination.limiting import endpoint_buckets
from wrenspoke.coordination.serving import retry_schedule
from wrenspoke.protocol import errors
from wrenspoke.protocol import limiting
from wrenspoke.protocol import rates


@pytest.mark.parametrize(
    'texts, rate_per_s',
    [
        ([], None),
        (['1.2'], 1.2),
        ([' 3 '], 3.0),
        (['.5'], 0.5),
        (['2.'], 2.0),
        (['0'], 0.0),
        (['4', '1.5'], 1.5),
        (['4, 1.5,2'], 1.5),
        (['999999999999'], rates.MAX_RATE_PER_S),
    ],
    ids=lambda value: repr(value),
)
def test_rate_is_read(texts, rate_per_s):
    assert rates.parse_rate(texts) == rate_per_s


@pytest.mark.parametrize(
    'text',
    ['', ' ', 'many', '-1', '+1', '1e3', 'nan', 'inf', '1,', '1 2', '٣']
    + ['0x1', '1.2.3', '.', '9' * 400, '1;q=1', '1.2\x00'],
)
def test_malformed_rate_raises(text):
    with pytest.raises(errors.MalformedRateError):
        rates.parse_rate([text])


@hypothesis.given(strategies.lists(strategies.text(max_size=40), max_size=4))
def test_any_text_parses_or_raises(texts):
    try:
        rate_per_s = rates.parse_rate(texts)
    except errors.MalformedRateError as error:
        assert len(str(error)) < 400
        return
    assert (rate_per_s is None) == (not texts)
    assert rate_per_s is None or 0 <= rate_per_s <= rates.MAX_RATE_PER_S


LIFE = limiting.EndpointInstance('e', 5)


def limit(rate_per_s, version=1, life=LIFE):
    """Return a limit that another host gossips."""
    return limiting.EndpointLimit(life, version, rate_per_s)


def test_limit_change_is_logged_once():
    known = advertised_limits.AdvertisedLimits()
    with structlog.testing.capture_logs() as lines:
        for texts in ([], ['1.2'], ['1.2'], ['x'], ['x'], ['3'], [], []):
            try:
                known.apply_rate(LIFE, known.parse_header(LIFE, texts))
            except errors.MalformedRateError:
                continue
    told = [(line['event'], line.get('rate_per_s')) for line in lines]
    assert told == [
        ('endpoint_limit_changed', 1.2),
        ('endpoint_limit_malformed', None),
        ('endpoint_limit_changed', 3.0),
        ('endpoint_limit_changed', None),
    ]
    assert lines[1]['field'] == 'Server-Limit'


@pytest.mark.parametrize(
    'told, rate_per_s',
    [
        ([limit(1.2)], 1.2),
        ([limit(1.2), limit(3, version=2)], 3),
        ([limit(3, version=2), limit(1.2)], 3),
        ([limit(1.2), limit(None, version=2)], None),
        ([limit(None, version=2), limit(1.2)], None),
        ([limit(3), limit(1.2)], 1.2),
        ([limit(1.2), limit(3)], 1.2),
        ([limit(1.2), limit(None)], 1.2),
        ([limit(1.2, 9, limiting.EndpointInstance('e', 4))], None),
        ([limit(2, 1), limit(1.2, 9, limiting.EndpointInstance('e', 4))], 2),
        (
            [limit(1.2, 9, limiting.EndpointInstance('e', 6)), limit(2, 10)],
            None,
        ),
    ],
    ids=[
        'told',
        'newer',
        'older',
        'ended',
        'named before its end',
        'lower of two',
        'higher of two',
        'named and ended at once',
        'of an earlier life',
        'of an earlier life late',
        'of a later life',
    ],
)
def test_newest_limit_of_a_life_counts(told, rate_per_s):
    known = advertised_limits.AdvertisedLimits()
    for one in told:
        known.merge(one)
    assert known.rate_per_s(LIFE) == rate_per_s


def test_limits_of_missing_endpoints_are_evicted():
    known = advertised_limits.AdvertisedLimits()
    known.merge(limit(1.2))
    known.retain_endpoints(lambda life: life != LIFE)
    assert known.active() == []


class Peers:
    """Peers that ignore the handlers registered with them."""

    def __init__(self):
        self.told = []

    def handles(self, _kind):
        return lambda handler: handler


def buckets_of(clock, known):
    """Return the buckets of the only host of a region."""

    async def tell(_limits):
        return

    lenders = bucket_owners.BucketOwners(lambda _key: ['h'], 0, Peers(), clock)
    return endpoint_buckets.EndpointBuckets(
        'h', lenders, known, tell, Peers(), clock
    )


def test_stale_response_does_not_raise_limit():
    """Only a request sent after the limit was last advertised can raise it."""
    clock = test_registry.FakeClock()
    known = advertised_limits.AdvertisedLimits()
    lends = buckets_of(clock, known)
    lends.on_advertised(limiting.EndpointLimit(LIFE), 1.2, None)
    grants = []
    for _number in range(3):
        clock.now_ms += 1_000
        grants.append(lends.take(known.limit_of(LIFE), 0).grant)
    # The second response arrives first and still advertises the limit.
    lends.on_advertised(known.limit_of(LIFE), 1.2, grants[1])
    for older in (None, grants[0], grants[2]):
        lends.on_advertised(known.limit_of(LIFE), None, older)
        lends.on_advertised(known.limit_of(LIFE), 5.0, older)
        assert known.rate_per_s(LIFE) == 1.2
    clock.now_ms += 1_000
    newer = lends.take(known.limit_of(LIFE), 0).grant
    stranger = msgspec.structs.replace(newer, life='another')
    lends.on_advertised(known.limit_of(LIFE), None, stranger)
    assert known.rate_per_s(LIFE) == 1.2
    lends.on_advertised(known.limit_of(LIFE), 5.0, newer)
    assert known.rate_per_s(LIFE) == 5.0
    clock.now_ms += 1_000
    newest = lends.take(known.limit_of(LIFE), 0).grant
    lends.on_advertised(known.limit_of(LIFE), None, newest)
    assert known.rate_per_s(LIFE) is None
    assert lends.take(known.limit_of(LIFE), 0).grant is None


def test_lower_limit_applies_in_any_order():
    clock = test_registry.FakeClock()
    known = advertised_limits.AdvertisedLimits()
    lends = buckets_of(clock, known)
    lends.on_advertised(limiting.EndpointLimit(LIFE), 4.0, None)
    lends.on_advertised(known.limit_of(LIFE), 1.0, None)
    assert known.rate_per_s(LIFE) == 1.0
    clock.now_ms += 10_000
    taken = [lends.take(known.limit_of(LIFE), 0) for _number in range(5)]
    assert [one.grant is not None for one in taken] == [True] + 4 * [False]
    assert 0 < taken[1].wait_ms <= 1_000


def test_tokens_are_reserved_for_more_urgent_calls():
    clock = test_registry.FakeClock()
    known = advertised_limits.AdvertisedLimits()
    lends = buckets_of(clock, known)
    lends.on_advertised(limiting.EndpointLimit(LIFE), 2.0, None)
    now = known.limit_of(LIFE)
    assert lends.take(now, 2).grant is None
    clock.now_ms += 500
    assert lends.take(now, 5).grant is None
    assert lends.take(now, 2).grant is not None
    # The tokens are no longer reserved for a more urgent call.
    clock.now_ms += 500
    assert lends.take(now, 5).grant is not None
    # Tokens stay reserved for a call without a retry until the bucket is full.
    assert lends.take(now, 2).grant is None
    clock.now_ms += 500 + endpoint_buckets.BURST_MS
    assert lends.take(now, 5).grant is not None


def test_refused_callers_return_at_limit_rate():
    clock = test_registry.FakeClock()
    line = retry_schedule.RetrySchedule(clock)
    assert [line.schedule(5, 2.0) for _number in range(3)] == [
        500,
        1_000,
        1_500,
    ]
    # A more urgent call goes first, a less urgent one last.
    assert line.schedule(1, 2.0) == 500
    assert line.schedule(9, 2.0) == 2_500
    clock.now_ms += 2_500
    assert line.schedule(9, 2.0) == 500
    assert line.schedule(9, 0.001) == retry_schedule.MAX_RETRY_AFTER_MS

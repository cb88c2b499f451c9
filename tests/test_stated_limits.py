"""What endpoints say of how much they take: read, told apart, logged."""

import hypothesis
from hypothesis import strategies
import pytest
import structlog.testing

from wrenspoke.coordination.limiting import stated
from wrenspoke.protocol import errors
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
        (['999999999999'], rates.HIGHEST_PER_S),
    ],
    ids=lambda value: repr(value),
)
def test_rate_is_read(texts, rate_per_s):
    assert rates.read(texts) == rate_per_s


@pytest.mark.parametrize(
    'text',
    ['', ' ', 'many', '-1', '+1', '1e3', 'nan', 'inf', '1,', '1 2', '٣']
    + ['0x1', '1.2.3', '.', '9' * 400, '1;q=1', '1.2\x00'],
)
def test_rate_that_is_none_is_told(text):
    with pytest.raises(errors.MalformedRateError):
        rates.read([text])


@hypothesis.given(strategies.lists(strategies.text(max_size=40), max_size=4))
def test_any_text_is_a_rate_or_told(texts):
    try:
        rate_per_s = rates.read(texts)
    except errors.MalformedRateError as error:
        assert len(str(error)) < 400
        return
    assert (rate_per_s is None) == (not texts)
    assert rate_per_s is None or 0 <= rate_per_s <= rates.HIGHEST_PER_S


def test_each_change_of_a_limit_has_one_line():
    known = stated.StatedLimits()
    with structlog.testing.capture_logs() as lines:
        for texts in ([], ['1.2'], ['1.2'], ['x'], ['x'], ['3'], [], []):
            known.heard('e', texts)
    told = [(line['event'], line.get('rate_per_s')) for line in lines]
    assert told == [
        ('endpoint_limit_named', 1.2),
        ('endpoint_limit_unreadable', None),
        ('endpoint_limit_named', 3.0),
        ('endpoint_limit_named', None),
    ]
    assert lines[1]['field'] == 'Server-Limit'

"""Tests for the parsing of headers that endpoints advertise."""

import datetime
import email.utils

import hypothesis
from hypothesis import strategies
import multidict
import pytest

from tests import endpoint_limit_fleet
from wrenspoke import clock as clocks
from wrenspoke.coordination.limiting import endpoint_backoffs
from wrenspoke.protocol import advertised
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import errors
from wrenspoke.protocol import headers
from wrenspoke.protocol import limiting
from wrenspoke.protocol import retry_after

LIFE = limiting.EndpointInstance('e')
NOW_MS = 1_780_000_000_000


def date(offset_s):
    """Return the HTTP date ``offset_s`` seconds after ``NOW_MS``."""
    at = datetime.datetime.fromtimestamp(
        NOW_MS / 1000 + offset_s, datetime.UTC
    )
    return email.utils.format_datetime(at, usegmt=True)


@pytest.mark.parametrize(
    'texts, delay_ms',
    [
        ([], None),
        (['3'], 3_000),
        (['2.9'], 2_900),
        (['.5'], 500),
        (['2.'], 2_000),
        ([' 3\t'], 3_000),
        (['0'], 0),
        (['3', '5', '1'], 5_000),
        (['3, 5'], 5_000),
        ([date(7)], 7_000),
        ([date(-7)], 0),
        (['Sunday, 06-Nov-94 08:49:37 GMT'], 0),
    ],
)
def test_retry_after_is_read(texts, delay_ms):
    assert retry_after.parse_delay_ms(texts, NOW_MS) == delay_ms


def test_date_counts_from_the_response_and_not_from_this_clock():
    found = retry_after.parse_delay_ms([date(1_007)], NOW_MS, date(1_000))
    assert found == 7_000


MALFORMED = [
    '',
    ' ',
    '-1',
    '+3',
    '1e3',
    'nan',
    'inf',
    '0x3',
    '²',
    '٣',
    'soon',
    '3 s',
    '3;',
    '3,,4',
    '9' * 13,
    '9' * 4_000,
    'Mon, ',
    'Mon, 99 Foo 2026 99:99:99 GMT',
    'Mon, 01 Jan 99999999999 00:00:00 GMT',
    '\udc80',
]


@pytest.mark.parametrize('text', MALFORMED)
def test_malformed_retry_after_names_the_value(text):
    with pytest.raises(errors.MalformedRetryAfterError) as caught:
        retry_after.parse_delay_ms([text, '3'], NOW_MS)
    assert len(str(caught.value)) < 200


WORDS = strategies.one_of(
    strategies.text(max_size=40),
    strategies.sampled_from([*MALFORMED, '0', '1', '3', date(4)]),
    strategies.from_regex(r'[A-Z][a-z]{2}, [0-9A-Za-z :+-]{0,40}'),
    strategies.decimals(allow_nan=True).map(str),
)


@hypothesis.given(
    strategies.lists(WORDS, max_size=3), strategies.none() | WORDS
)
def test_any_retry_after_is_read_or_refused(texts, sent):
    try:
        found = retry_after.parse_delay_ms(texts, NOW_MS, sent)
    except errors.MalformedRetryAfterError:
        return
    assert found is None or found >= 0


@pytest.mark.parametrize(
    'texts, leaving',
    [
        ([], False),
        (['1'], True),
        ([' 1 '], True),
        (['0'], False),
        (['0', '1'], True),
    ],
)
def test_leaving_is_read(texts, leaving):
    assert head(leaving=tuple(texts)).is_leaving() is leaving


@pytest.mark.parametrize('text', ['', 'true', '2', '-1', '1, 1', '²', 'no'])
def test_malformed_leaving_names_the_value(text):
    with pytest.raises(errors.MalformedLeavingError, match='neither'):
        head(leaving=(text,)).is_leaving()


def head(origin=advertised.Origin.ECHOED, status=503, **fields):
    """Return the advertised headers of a response."""
    return advertised.AdvertisedHeaders(origin, status, **fields)


@pytest.mark.parametrize(
    'status, found, origin',
    [
        (200, 'q', advertised.Origin.ECHOED),
        (503, 'q', advertised.Origin.ECHOED),
        (503, None, advertised.Origin.UNNAMED),
        (200, 'p', advertised.Origin.FOREIGN),
        # 421: another endpoint has taken over the address.
        (421, 'q', advertised.Origin.FOREIGN),
        (421, None, advertised.Origin.FOREIGN),
    ],
)
def test_origin_of_a_response(status, found, origin):
    assert advertised.classify_origin(status, 'q', found) is origin


@pytest.mark.parametrize(
    'status, backoff_ms',
    [(503, 3_000), (429, 3_000), (200, 0), (500, 0), (301, 0)],
)
def test_only_refusals_ask_for_backoff(status, backoff_ms):
    found = head(status=status, retry_after=('3',))
    assert found.backoff_ms(NOW_MS) == backoff_ms


def test_head_is_read_whole():
    found = multidict.CIMultiDict(
        [
            (headers.LIMIT, '1'),
            (headers.LIMIT, '2'),
            (headers.RETRY_AFTER, '3'),
            (headers.LEAVING, '1'),
            ('Date', date(0)),
        ]
    )
    assert advertised.read_headers(
        advertised.Origin.ECHOED, 503, found, dialects.Dialect()
    ) == head(
        limits=('1', '2'), retry_after=('3',), leaving=('1',), date=date(0)
    )


@hypothesis.given(
    strategies.sampled_from(advertised.Origin),
    strategies.integers(100, 599),
    strategies.lists(WORDS, max_size=2),
    strategies.lists(WORDS, max_size=2),
)
def test_gate_accepts_any_response_head(origin, status, delays, leavings):
    gate = endpoint_limit_fleet.open_gate(clocks.Clock())
    gate.on_response(
        LIFE,
        head(
            origin,
            status,
            retry_after=tuple(delays),
            leaving=tuple(leavings),
        ),
        NOW_MS,
        is_work=True,
    )
    longest_ms = endpoint_backoffs.MAX_BACKOFF_MS
    assert 0 <= gate.remaining_ms(LIFE) <= longest_ms

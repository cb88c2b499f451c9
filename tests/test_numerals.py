"""Tests for the parsing of numbers in untrusted input."""

import hypothesis
from hypothesis import strategies
import pytest

from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import errors
from wrenspoke.protocol import headers
from wrenspoke.protocol import numerals
from wrenspoke.protocol import requests
from wrenspoke.protocol import sse

# Digits to ``str.isdigit``; ``int`` rejects the first two.
ODD_DIGITS = ['²', '①', '٣', '3²', '9' * 5_000]
DIALECT = dialects.Dialect()


@pytest.mark.parametrize(
    'text, whole, decimal',
    [
        ('0', 0, 0.0),
        ('12', 12, 12.0),
        ('007', 7, 7.0),
        ('1.5', None, 1.5),
        ('.5', None, 0.5),
        ('', None, None),
        ('.', None, None),
        ('-1', None, None),
        ('1e3', None, None),
        ('1_000', None, None),
        (' 1', None, None),
        ('1\n', None, None),
        *((text, None, None) for text in ODD_DIGITS),
    ],
)
def test_number_is_read(text, whole, decimal):
    assert numerals.parse_whole(text) == whole
    assert numerals.parse_decimal(text) == decimal


@hypothesis.given(strategies.text())
def test_any_text_is_a_number_or_none(text):
    for found in (numerals.parse_whole(text), numerals.parse_decimal(text)):
        assert found is None or 0 <= found < 10**18


def read_call(**fields):
    """Parse the head of a pass-through call."""
    found = {'Host': 'h', DIALECT.request: 'q', **fields}
    raw = [(n.encode(), v.encode()) for n, v in found.items()]
    return dialects.CallReader(DIALECT, 1_000).read('GET', '/', raw, 0)


@pytest.mark.parametrize('text', ODD_DIGITS)
def test_odd_digits_of_callers_raise_nothing_else(text):
    with pytest.raises(errors.BadRequestError):
        read_call(**{DIALECT.deadline_ms: text})
    call = read_call(
        **{
            DIALECT.tokens: f'{text},{text}',
            DIALECT.prompt_parts: f'p:{text}',
            DIALECT.length_hint: text,
        }
    )
    assert (call.tokens, call.parts, call.tokens_expected) == (0, (), 0)
    with pytest.raises(errors.BadRequestError):
        requests.parse_once_key(f'north:{text}:u')
    with pytest.raises(errors.BadRequestError):
        reader = requests.HeaderReader({headers.DEADLINE_MS: text})
        reader.number(headers.DEADLINE_MS, None, 0, 10)


@pytest.mark.parametrize('text', ODD_DIGITS)
def test_odd_digits_of_engines_raise_nothing(text):
    event = sse._parse(f'id: {text}\ndata: d'.encode())
    assert (event.number, event.data) == (None, 'd')

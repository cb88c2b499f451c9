"""Responses with a malformed head are no responses, whichever parser runs."""

import functools
import os
import random
import re

from aiohttp import http_exceptions
from aiohttp import http_parser
import pytest

from tests import response_heads
from tests import test_response_parser
from wrenspoke.transport import response_parser

LENGTH = b'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nwhole'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'5\r\nwhole\r\n0\r\n\r\n'
)
CONNECTION = b'HTTP/1.1 200 OK\r\nA: b\r\n\r\nwhole'
NO_BODY = b'HTTP/1.1 204 No\r\nA: b\r\n\r\n'
FRAMINGS = {
    'length': LENGTH,
    'chunked': CHUNKED,
    'connection': CONNECTION,
    'no body': NO_BODY,
}
INTERIM = b'HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n'
HEAD_LIMIT_BYTES = 1 << 20
TOKEN = b"!#$%&'*+-.^_`|~09AZaz"
# The same class twice where aiohttp has no C extension.
PARSERS = {
    'default': http_parser.HttpResponseParser,
    'python': http_parser.HttpResponseParserPy,
}
SIZES = [1, 7, 1 << 16]
FUZZ_SEED = 74
FUZZ_COUNT = 4_000
# Bytes that parsers treat in different ways.
FUZZ_UNITS = [
    *(b' ', b'\t', b'\r', b'\n', b'\r\n', b'\r\n\r\n', b':', b',', b'0'),
    *(b'\0', b'\x01', b'\x0b', b'\x7f', b'\x85', b'\xff', b'101', b'HTTP/'),
    *(b'HTTP/1.1 103 Early\r\n', b'HTTP/1.1 ', b' A: b\r\n', b'chunked'),
]


@pytest.fixture(params=PARSERS)
def feed(request):
    """Return a function that parses pieces and returns the messages."""
    new_parser = functools.partial(
        test_response_parser.new_parser, PARSERS[request.param]
    )

    def parse(pieces):
        parser = response_parser.PrefixParser(
            new_parser(), new_parser, HEAD_LIMIT_BYTES
        )
        found = []
        for piece in pieces:
            found += parser.feed_data(piece)[0]
        return found

    return parse


def split(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)]


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('name', response_heads.MALFORMED)
async def test_response_with_a_malformed_head_fails(feed, name, framing):
    """Guards against malformed responses that are passed to callers."""
    data = response_heads.MALFORMED[name](FRAMINGS[framing])
    with pytest.raises(http_exceptions.BadHttpMessage):
        feed([data])


@pytest.mark.parametrize('name', response_heads.MALFORMED)
async def test_response_fails_at_any_split_of_its_malformed_head(feed, name):
    """Guards against lines that are accepted in two packets, or in many."""
    data = response_heads.MALFORMED[name](LENGTH)
    ends = range(1, data.index(b'\r\n\r\n') + 4)
    for pieces in (
        split(data, 1),
        *([data[:at], data[at:]] for at in ends),
    ):
        with pytest.raises(http_exceptions.BadHttpMessage):
            feed(pieces)


@pytest.mark.parametrize('name', response_heads.MALFORMED)
async def test_malformed_line_fails_before_the_head_is_complete(feed, name):
    """Guards against calls that wait for the rest until their deadline."""
    lines = response_heads.MALFORMED[name](LENGTH).split(b'\r\n')
    count = 1 + len(os.path.commonprefix([lines, LENGTH.split(b'\r\n')]))
    begun = b''.join(line + b'\r\n' for line in lines[:count])
    for size in SIZES:
        with pytest.raises(http_exceptions.BadHttpMessage):
            feed(split(begun, size))


@pytest.mark.parametrize('name', response_heads.MALFORMED)
async def test_malformed_head_behind_an_interim_response_fails(feed, name):
    data = INTERIM + response_heads.MALFORMED[name](LENGTH)
    for size in SIZES:
        with pytest.raises(http_exceptions.BadHttpMessage):
            feed(split(data, size))


@pytest.mark.parametrize('line', response_heads.LINES, ids=repr)
async def test_response_behind_a_malformed_interim_one_fails(feed, line):
    data = response_heads.with_line(line, INTERIM) + LENGTH
    for size in SIZES:
        with pytest.raises(http_exceptions.BadHttpMessage):
            feed(split(data, size))


WELL_FORMED = {
    **{
        f'{status} {reason!r}': (
            b'HTTP/1.1 %d%s\r\nContent-Length: 5\r\n\r\nwhole'
            % (status, reason),
            status,
            {},
        )
        for status in (200, 201, 226, 299, 300, 418, 499, 500, 511, 599)
        for reason in (b'', b' ', b' OK', b'  two  words', b' \xc3\xa4')
    },
    '1.0': (CONNECTION.replace(b'1.1', b'1.0'), 200, {'A': 'b'}),
    'every character of a name': (
        response_heads.with_line(TOKEN + b': b', LENGTH),
        200,
        {TOKEN.decode(): 'b', 'A': 'b'},
    ),
    'separators in a value': (
        response_heads.with_line(b'X:: b: "(,;) \xe4\t=', LENGTH),
        200,
        {'A': 'b'},
    ),
    'no value': (
        response_heads.with_line(b'X:', LENGTH),
        200,
        {'X': '', 'A': 'b'},
    ),
    'folded value': (
        response_heads.with_line(b'X: b\r\n c: d\r\n\te', LENGTH),
        200,
        {'X': 'b c: d\te', 'A': 'b'},
    ),
    'folded value, first line empty': (
        response_heads.with_line(b'X:\r\n b', LENGTH),
        200,
        {'X': 'b'},
    ),
    'line feeds': (LENGTH.replace(b'\r\n', b'\n'), 200, {'A': 'b'}),
    'interim responses': (
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102\r\n\r\n'
        b'HTTP/1.1 103 Early\r\nLink: a\r\n b\r\n\r\n'
        b'HTTP/1.1 199 \r\n\r\n' + LENGTH,
        200,
        {'A': 'b'},
    ),
}


@pytest.mark.parametrize('name', WELL_FORMED)
async def test_response_with_a_well_formed_head_is_complete(feed, name):
    """Guards against responses that are rejected for an unusual head."""
    data, status, fields = WELL_FORMED[name]
    for size in SIZES:
        *interim, (message, payload) = feed(split(data, size))
        assert all(found.code < 200 for found, _body in interim)
        assert message.code == status
        assert fields.items() <= dict(message.headers).items()
        assert payload.read_nowait() == b'whole'


# What the lines of any accepted head look like.
STATUS_LINE = re.compile(rb'HTTP/\d\.\d (\d\d\d)( .*)?', re.DOTALL)
NAME = re.compile(rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+")


def assert_well_formed(data, statuses):
    """Assert that the heads of the messages with ``statuses`` are valid."""
    lines = iter(data.split(b'\n'))
    for status in statuses:
        line = next(found for found in lines if found.strip(b'\r'))
        named = STATUS_LINE.fullmatch(line.strip(b'\r'))
        assert named and int(named.group(1)) == status
        assert 100 <= status <= 599 and status != 101
        is_first = True
        while line := next(lines).removesuffix(b'\r'):
            if is_first or line[:1] not in b' \t':
                name, colon, _value = line.partition(b':')
                assert colon and NAME.fullmatch(name), line
            is_first = False


def mutate(random_source, data):
    """Return bytes with a few units inserted, replaced or removed."""
    for _change in range(random_source.randint(1, 4)):
        at = random_source.randrange(len(data))
        until = at + random_source.choice([0, 0, 1, 2, 5])
        unit = random_source.choice([*FUZZ_UNITS, b''])
        data = data[:at] + unit + data[until:]
    return data


async def test_fuzzed_head_is_accepted_only_if_it_is_well_formed(feed):
    """Guards against parsers that disagree with the check of a head."""
    random_source = random.Random(FUZZ_SEED)
    seeds = [found for found, _status, _fields in WELL_FORMED.values()]
    accepted = 0
    for _case in range(FUZZ_COUNT):
        data = mutate(random_source, random_source.choice(seeds))
        size = random_source.choice(SIZES)
        try:
            found = feed(split(data, size))
        except (http_exceptions.HttpProcessingError, ValueError):
            continue
        statuses = [message.code for message, _body in found]
        if not statuses or statuses[-1] < 200:
            continue
        final = next(n for n, status in enumerate(statuses) if status >= 200)
        assert_well_formed(data, statuses[: final + 1])
        accepted += 1
    assert accepted > FUZZ_COUNT // 10

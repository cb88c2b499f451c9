"""Malformed bytes behind a response don't affect it."""

import asyncio
import tracemalloc

import aiohttp
from aiohttp import base_protocol
from aiohttp import http_exceptions
from aiohttp import http_parser
import pytest

from wrenspoke.transport import head_checker
from wrenspoke.transport import response_parser

LENGTH = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n'
)
NO_BODY = b'HTTP/1.1 204 No\r\n\r\n'
UNFINISHED = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nwhole'
BAD_CHUNK = CHUNKED.replace(b'3\r\n', b'zz\r\n')
INTERIM = b'HTTP/1.1 103 Early\r\n\r\n'
HEAD_LIMIT_BYTES = 1 << 20
GARBAGE = b'\0\xff what is this\r\n\r\n'


def new_parser(parser_class=http_parser.HttpResponseParser):
    loop = asyncio.get_running_loop()
    return parser_class(
        base_protocol.BaseProtocol(loop),
        loop,
        1 << 16,
        payload_exception=aiohttp.ClientPayloadError,
        read_until_eof=True,
    )


def parse(pieces):
    """Return the status and body of the response in some pieces."""
    parser = response_parser.PrefixParser(
        new_parser(), new_parser, HEAD_LIMIT_BYTES
    )
    found = []
    for piece in pieces:
        messages, _upgraded, _tail = parser.feed_data(piece)
        found += messages
    message, payload = found[-1]
    assert all(interim.code == 103 for interim, _body in found[:-1])
    assert payload.is_eof()
    assert parser.feed_eof() is not None
    return message.code, payload.read_nowait()


@pytest.mark.parametrize('size', [1, 7, 1 << 16])
@pytest.mark.parametrize(
    'own, expected',
    [
        (LENGTH, (200, b'whole')),
        (CHUNKED, (200, b'whole')),
        (NO_BODY, (204, b'')),
        (INTERIM + LENGTH, (200, b'whole')),
    ],
    ids=['length', 'chunked', 'no body', 'after an interim one'],
)
async def test_response_before_malformed_bytes_is_complete(
    own, expected, size
):
    """Guards against a ready response that is lost with what follows it."""
    data = own + GARBAGE
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    assert parse(pieces) == expected


@pytest.mark.parametrize('size', [1, 7, 1 << 16])
@pytest.mark.parametrize(
    'data',
    [GARBAGE, BAD_CHUNK, CHUNKED[:-9] + GARBAGE, INTERIM + GARBAGE],
    ids=['no response', 'bad chunk', 'between chunks', 'after an interim one'],
)
async def test_malformed_response_fails(data, size):
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    with pytest.raises(Exception, match='(?s).+'):
        parse(pieces)


async def test_unfinished_response_is_not_complete():
    parser = response_parser.PrefixParser(
        new_parser(), new_parser, HEAD_LIMIT_BYTES
    )
    [(_message, payload)], _upgraded, _tail = parser.feed_data(UNFINISHED)
    assert not payload.is_eof()
    with pytest.raises(Exception, match='length'):
        parser.feed_eof()


# The longest lines, and as many headers as aiohttp's parser admits.
LONG_HEAD = (
    b'HTTP/1.1 200 %s\r\n' % (b'x' * 8_000)
    + b''.join(b'a%d: %s\r\n' % (n, b'x' * 8_000) for n in range(127))
    + b'Content-Length: 5\r\n\r\n'
)


@pytest.mark.parametrize('size', [1_000, 1 << 16, 1 << 21])
@pytest.mark.parametrize(
    'before',
    [b'', b'\r\n\r\n', INTERIM * 3, INTERIM * response_parser.INTERIM_LIMIT],
    ids=['nothing', 'blank lines', 'interim ones', 'many interim ones'],
)
@pytest.mark.parametrize('behind', [b'', GARBAGE], ids=['alone', 'garbage'])
async def test_head_within_the_limits_is_complete(before, behind, size):
    """Guards against a limit that rejects what aiohttp's parser admits."""
    data = before + LONG_HEAD + b'whole' + behind
    limit_bytes = response_parser.head_limit_bytes(8_190, 8_190, 128)
    parser = response_parser.PrefixParser(
        new_parser(), new_parser, limit_bytes
    )
    found = []
    for at in range(0, len(data), size):
        found += parser.feed_data(data[at : at + size])[0]
    message, payload = found[-1]
    assert len(message.headers) == 128
    assert payload.is_eof()
    assert payload.read_nowait() == b'whole'


@pytest.mark.parametrize('size', [1_000, 1 << 16, 1 << 21])
@pytest.mark.parametrize(
    'data, cause',
    [
        (INTERIM * (response_parser.INTERIM_LIMIT + 1), 'interim responses'),
        (b'\r\n' * HEAD_LIMIT_BYTES, 'response head exceeds'),
        (b'HTTP/1.1 200 OK\r\nA:' + b' ' * (1 << 21), 'head exceeds'),
    ],
    ids=['interim ones', 'blank lines', 'spaces'],
)
async def test_head_beyond_a_limit_is_malformed(data, cause, size):
    parser = response_parser.PrefixParser(
        new_parser(), new_parser, HEAD_LIMIT_BYTES
    )
    with pytest.raises(http_exceptions.BadHttpMessage, match=cause):
        for at in range(0, len(data), size):
            parser.feed_data(data[at : at + size])


class CountingParser:
    """Parser that counts the bytes it is fed."""

    def __init__(self, fed):
        self._fed = fed
        self._parser = new_parser()

    def feed_data(self, data):
        self._fed.append(len(data))
        return self._parser.feed_data(data)


@pytest.mark.parametrize('size', [1_000, 1 << 16])
async def test_malformed_head_is_parsed_twice_at_most(size):
    """Guards against a search that parses all again for each packet."""
    data = b'\r\n' * (1 << 18) + GARBAGE
    fed = []
    parser = response_parser.PrefixParser(
        CountingParser(fed), lambda: CountingParser(fed), HEAD_LIMIT_BYTES
    )
    with pytest.raises(http_exceptions.BadStatusLine):
        for at in range(0, len(data), size):
            parser.feed_data(data[at : at + size])
    assert sum(fed) <= 2 * len(data)


async def test_head_in_tiny_pieces_keeps_little_more_than_its_bytes():
    """Guards against memory that grows with packets, not with bytes."""
    parser = response_parser.PrefixParser(
        new_parser(), new_parser, HEAD_LIMIT_BYTES
    )
    tracemalloc.start()
    try:
        for _piece in range(HEAD_LIMIT_BYTES // 4):
            parser.feed_data(b''.join([b'\r\n', b'\r\n']))
        assert tracemalloc.get_traced_memory()[0] < 2 * HEAD_LIMIT_BYTES
    finally:
        tracemalloc.stop()


class PausingProtocol(base_protocol.BaseProtocol):
    """Gives bytes to a parser, also those that it held during a pause."""

    def data_received(self, data):
        self._parser.feed_data(data)


@pytest.mark.parametrize('chunk', [b'a', b'id: 1\ndata: whole\n\n'])
async def test_body_behind_an_ended_pause_is_no_framing(chunk):
    """Guards against the loss of an answer whose reader paused.

    aiohttp's parser pauses with the first chunk after a reader took those
    that filled its buffer, and holds the rest of the piece.
    """
    limit_bytes = 1 << 10
    loop = asyncio.get_running_loop()
    protocol = PausingProtocol(loop)

    def new_parser():
        return http_parser.HttpResponseParser(
            protocol,
            loop,
            limit_bytes,
            payload_exception=aiohttp.ClientPayloadError,
        )

    parser = response_parser.PrefixParser(
        new_parser(), new_parser, HEAD_LIMIT_BYTES
    )
    protocol._parser = parser
    framed = b'%x\r\n%s\r\n' % (len(chunk), chunk)
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    ((_message, payload),), _upgraded, _tail = parser.feed_data(head)
    first = 0
    while not protocol._reading_paused:
        parser.feed_data(framed)
        first += 1
    got = payload.read_nowait()
    count = (1 << 18) // len(framed)
    parser.feed_data(framed * count + b'0\r\n\r\n')
    while not payload.is_eof() or payload._buffer:
        assert payload.exception() is None
        got += payload.read_nowait()
    assert got == chunk * (first + count)


class CountingChecker(head_checker.HeadChecker):
    """Checker that counts the lines it looks at one by one."""

    def __init__(self):
        super().__init__()
        self.line_count = 0

    def _check_line(self, line):
        self.line_count += 1
        super()._check_line(line)


@pytest.mark.parametrize('size', [1, 1_000, 1 << 16])
@pytest.mark.parametrize('line', [b'\r\n', b'\n', b'\r\r\n'], ids=repr)
def test_blank_lines_are_skipped_together(line, size):
    """Guards against an event loop that blank lines keep busy."""
    checker = CountingChecker()
    head = bytearray()
    data = line * 1_000 + LENGTH
    for at in range(0, len(data), size):
        head += data[at : at + size]
        checker.check(head)
    assert checker.is_complete
    assert checker.line_count == LENGTH.count(b'\r\n')


class DisagreeingParser:
    """Parser that returns a final message where it is told to."""

    def __init__(self, end):
        self._end = end
        self._parser = new_parser()
        self._fed = b''

    def feed_data(self, data):
        self._fed += data
        if not self._fed.endswith(self._end):
            return (), False, b''
        return self._parser.feed_data(LENGTH)


@pytest.mark.parametrize('size', [1, 1 << 16])
@pytest.mark.parametrize(
    'data, end',
    [
        (LENGTH.removesuffix(b'\r\n\r\nwhole'), b'5'),
        (LENGTH, b'never'),
        (INTERIM + LENGTH, INTERIM),
    ],
    ids=['before the end of the head', 'never', 'interim response'],
)
async def test_head_whose_end_is_ambiguous_is_malformed(data, end, size):
    """Guards against a message whose head was not checked."""
    parser = response_parser.PrefixParser(
        DisagreeingParser(end), new_parser, HEAD_LIMIT_BYTES
    )
    with pytest.raises(http_exceptions.BadHttpMessage, match='ambiguous'):
        for at in range(0, len(data), size):
            parser.feed_data(data[at : at + size])

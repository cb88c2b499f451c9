"""Attribution of received bytes to requests, for aiohttp's client."""

import asyncio
import os
import socket
import typing

import aiohttp
from aiohttp import client_proto
from aiohttp import connector as connectors
from aiohttp import http_parser
import structlog

from wrenspoke.transport import errors
from wrenspoke.transport import response_parser

logger = structlog.get_logger(__name__)

# Arguments of ``set_response_params`` that aiohttp gives to its parser.
PARSER_ARGUMENTS = (
    'timer',
    'read_until_eof',
    'auto_decompress',
    'max_line_size',
    'max_field_size',
    'max_headers',
)
# Refused requests that a connection remembers until it is replaced.
REFUSED_IDS_LIMIT = 1_000


class ExchangeHandler(client_proto.ResponseHandler):
    """Connection that carries one request and its response at a time.

    Bytes that arrive while no request is outstanding belong to none, so they
    end the connection. aiohttp (3.14.5) would parse them as the response to
    the next request.

    Response bodies without a length fail on a connection reset. aiohttp
    treats any end of the connection as the end of such a body, and libuv
    reports a reset that arrives together with the last bytes as an end of
    file; SO_ERROR of the socket still holds the error.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop=loop)
        self._is_outstanding = False
        self._is_parsing = False
        # Requests whose first byte was about to be written.
        self.request_count = 0
        # Ids of the requests that were refused on it.
        self.refused_ids: set[str] = set()

    def set_response_params(self, **named: typing.Any) -> None:
        """Prepare to parse the response to the next request."""
        super().set_response_params(**named)
        self._parser = response_parser.PrefixParser(
            self._parser,
            lambda: self._new_parser(**named),
            response_parser.head_limit_bytes(
                named['max_line_size'],
                named['max_field_size'],
                named['max_headers'],
            ),
        )

    def _new_parser(
        self, *, skip_payload: bool, read_bufsize: int, **named: typing.Any
    ) -> http_parser.HttpResponseParser:
        return http_parser.HttpResponseParser(
            self,
            self._loop,
            read_bufsize,
            payload_exception=aiohttp.ClientPayloadError,
            response_with_body=not skip_payload,
            **{name: named[name] for name in PARSER_ARGUMENTS},
        )

    def begin_request(self) -> None:
        """Expect a response, as a request's first byte is about to be written.

        :raises UnsolicitedBytesError: bytes arrived before
        """
        if isinstance(self._exception, errors.UnsolicitedBytesError):
            raise self._exception
        if not self._is_outstanding:
            self.request_count += 1
        self._is_outstanding = True

    def end_exchange(self) -> None:
        """Expect no more bytes, as the connection becomes idle."""
        self._is_outstanding = False

    def has_surplus(self) -> bool:
        """Return whether bytes arrived behind a complete response.

        Called once for each response, as it ends the parser's input.
        """
        if self._is_parsing or not self.is_connected():
            return False
        if self._buffer or self._tail:
            return True
        if self._parser is None:
            return False
        try:
            return self._parser.feed_eof() is not None
        except Exception:
            # What follows the response is not even the head of another one.
            return True

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response, or end the connection."""
        if data and not self._is_outstanding:
            self._reject_unsolicited(len(data))
            return
        self._is_parsing = True
        try:
            super().data_received(data)
        finally:
            self._is_parsing = False
        if not self._is_outstanding and self.has_surplus():
            # The connection became idle at the end of the response.
            self._reject_unsolicited(len(data))

    def _reject_unsolicited(self, size_bytes: int) -> None:
        if not self.is_connected():
            return
        peer = self.transport.get_extra_info('peername')
        logger.warning('unsolicited_bytes', peer=peer, bytes=size_bytes)
        self.set_exception(
            errors.UnsolicitedBytesError(
                f'{peer} sent {size_bytes} bytes that answer no request'
            )
        )
        # close() of this class would discard the exception.
        self.transport.abort()

    def eof_received(self) -> None:
        """Fail a body whose end of file was a connection reset."""
        sock = self.transport.get_extra_info('socket')
        found = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if found:
            self._fail_payload(OSError(found, os.strerror(found)))
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body whose connection ended with an error."""
        if exc is not None:
            self._fail_payload(exc)
        super().connection_lost(exc)

    def close(self) -> None:
        """Fail a body that this side closes before its end.

        What is not yet written of a request is dropped.
        """
        self._fail_payload(ConnectionAbortedError('connection closed'))
        if self.transport is not None and (
            self.transport.get_write_buffer_size()
        ):
            self.abort()
            return
        super().close()

    def _fail_payload(self, error: BaseException) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(repr(error)))


class ExchangeRequest(aiohttp.ClientRequest):
    """Request that marks its connection before its first byte is written.

    Nothing is written to a connection that received bytes before that, and
    ``UnsolicitedBytesError`` is raised to the sender.
    """

    async def send(
        self, conn: connectors.Connection
    ) -> aiohttp.ClientResponse:
        """Write the head, unless it is written together with a body."""
        if not self.body:
            conn.protocol.begin_request()
        return await super().send(conn)

    async def write_bytes(
        self,
        writer: aiohttp.abc.AbstractStreamWriter,
        conn: connectors.Connection,
        content_length: int | None = None,
    ) -> None:
        """Write the head and the body.

        aiohttp runs this as a task of its own, so that bytes may arrive
        between ``send`` and the first byte.
        """
        if conn.protocol is not None:
            try:
                conn.protocol.begin_request()
            except errors.UnsolicitedBytesError:
                # Also raised to the sender, which waits for the response.
                return
        await super().write_bytes(writer, conn, content_length)


def request_count(response: aiohttp.ClientResponse) -> int:
    """Return how many requests the connection of a response has carried.

    That of the response is included.
    """
    return response._protocol.request_count


def accept_unnamed(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response without an id can only be its request's.

    Only that to the first request of a connection can't be left over from an
    earlier one. If it is accepted, its connection is closed at the end of its
    body, as a copy could arrive in the place of a later response.
    """
    if request_count(response) != 1:
        return False
    _close_after(response)
    return True


def record_refusal(response: aiohttp.ClientResponse, request_id: str) -> None:
    """Keep later requests with the id of a refused one off its connection.

    A copy of the refusal could arrive in the place of their response.
    """
    refused_ids = response._protocol.refused_ids
    refused_ids.add(request_id)
    if len(refused_ids) >= REFUSED_IDS_LIMIT:
        _close_after(response)


def responds_to(
    response: aiohttp.ClientResponse, header: str, request_id: str
) -> bool:
    """Return whether a response belongs to a request.

    ``header`` names the request; ``accept_unnamed`` checks a response that
    lacks it.
    """
    named = response.headers.get(header)
    if not named:
        return accept_unnamed(response)
    return named == request_id


def _close_after(response: aiohttp.ClientResponse) -> None:
    """Close the connection of a response at the end of its body."""
    if response.connection is None:
        # It is idle already.
        response._protocol.close()
    else:
        response._protocol.force_close()


def discard_connection(response: aiohttp.ClientResponse) -> None:
    """Close a response and its connection, also if that is idle already.

    A connection becomes idle as soon as the end of a response arrives, which
    may be before its head is looked at.
    """
    response.close()
    if response._protocol is not None:
        response._protocol.close()

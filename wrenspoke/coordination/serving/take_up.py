"""Take up the answer to a forwarded call over another path.

While a forwarded call waits for its answer, the host that serves it is
pinged. If it falls silent, the rest of the answer is asked for through other
hosts, from the last byte that is here. The first connection is read on
meanwhile: bytes that arrive twice are dropped, and a call is never sent
again from here. A call that has not begun there is recalled: its host refuses
it from then on, so that it may be sent elsewhere.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import functools

import aiohttp
import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import host_pinger
from wrenspoke.coordination.membership import remote_hosts
from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import kept_answers
from wrenspoke.protocol import passthrough_api
from wrenspoke import runtime
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import exchange as exchanges
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

# Time for an answer that is made already to arrive through a third region: two
# links of 80 ms each way, and the hosts. After it a call that may be run again
# is; another waits on.
PATIENCE_MS = 600
# Time for one path, if the call may not be run again.
PATH_LIMIT_MS = 3_000
PATHS_LIMIT = 3

Sending = contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse]
Paths = collections.abc.Callable[[], list[discovery_messages.HostRecord]]


def paths_to(
    host: ids.HostId,
    region: ids.RegionId,
    remotes: remote_hosts.RemoteHosts,
    may_enter: collections.abc.Callable[[discovery_messages.HostRecord], bool],
) -> list[discovery_messages.HostRecord]:
    """Return hosts that may reach a silent host, one of each region.

    Another host of its own region comes first, as it is nearest to it.
    """
    regions = [region, *(r for r in remotes.regions() if r != region)]
    found = []
    for via in regions:
        for record in remotes.reachable(via):
            if record.host != host and may_enter(record):
                found.append(record)
                break
    return found[:PATHS_LIMIT]


@dataclasses.dataclass(slots=True)
class Continuation:
    """Response that goes on with an answer, from byte ``offset`` of its body.

    ``via`` is the host that it comes through.
    """

    response: aiohttp.ClientResponse
    offset: int
    via: ids.HostId


class TakeUps:
    """Opens exchanges with hosts of other regions."""

    def __init__(
        self,
        client: web.HttpClient,
        pinger: host_pinger.HostPinger,
        remotes: remote_hosts.RemoteHosts,
        clock: clocks.Clock,
    ):
        self._clock = clock
        self._client = client
        self._pinger = pinger
        self._remotes = remotes

    def exchange(
        self,
        host: ids.HostId,
        region: ids.RegionId,
        token: str,
        may_enter: collections.abc.Callable[
            [discovery_messages.HostRecord], bool
        ],
        may_run_again: collections.abc.Callable[[], bool],
    ) -> 'HopExchange':
        """Return the exchange of one call with a host."""
        return HopExchange(
            self._client,
            self._pinger,
            host,
            token,
            lambda: paths_to(host, region, self._remotes, may_enter),
            may_run_again,
            self._clock,
        )


class HopExchange:
    """One forwarded call and its answer, over one or more connections."""

    def __init__(
        self,
        client: web.HttpClient,
        pinger: host_pinger.HostPinger,
        host: ids.HostId,
        token: str,
        paths: Paths,
        may_run_again: collections.abc.Callable[[], bool],
        clock: clocks.Clock,
    ):
        self._clock = clock
        self._sent_ms = clock.mono_ms()
        self._is_recalled = False
        self._client = client
        self._pinger = pinger
        self._host = host
        self._token = token
        self._paths = paths
        self._may_run_again = may_run_again
        self._stack = contextlib.AsyncExitStack()
        self._response: aiohttp.ClientResponse | None = None
        self._next: Continuation | None = None
        # The host that the answer comes through.
        self._via = host
        self._waiting: asyncio.Timeout | None = None
        self._taking_up: asyncio.Task | None = None
        # Bytes of the body that have been passed on.
        self.bytes_read: collections.abc.Callable[[], int] = int
        self.was_taken_up = False

    async def __aenter__(self) -> 'HopExchange':
        await self._stack.__aenter__()
        self._watch(self._host)
        return self

    async def __aexit__(self, *error: object) -> None:
        if self._taking_up is not None:
            await runtime.cancel([self._taking_up])
        await self._stack.__aexit__(*error)

    def _watch(self, via: ids.HostId) -> None:
        """Take the answer up elsewhere if the host it comes through is silent.

        Only that one is watched: a host behind a cut stays silent while its
        answer comes over another path.
        """
        self._via = via
        on_silence = functools.partial(self._on_silence, via)
        self._stack.enter_context(self._pinger.watch_host(via, on_silence))

    async def send(self, sending: Sending) -> aiohttp.ClientResponse:
        """Send the call; return a response when its head is there.

        :raises MaybeSentError: the host fell silent, and no path led to it
        :raises NotSentError: the host has not begun the call, and never will
        """
        try:
            async with clocks.timeout_ms(None) as self._waiting:
                self._response = await self._stack.enter_async_context(sending)
                return self._response
        except TimeoutError as error:
            if not self._waiting.expired():
                raise
            return (await self._switch(self._silent_error(), error)).response
        except transport_errors.MaybeSentError as error:
            return (await self._switch(error, error)).response
        finally:
            self._waiting = None

    async def resume(
        self, error: transport_errors.MaybeSentError
    ) -> tuple[aiohttp.ClientResponse, int]:
        """Return the response that goes on after an error, and its offset.

        :raises MaybeSentError: there is none
        """
        found = await self._switch(error, error)
        return found.response, found.offset

    async def _switch(
        self,
        error: transport_errors.MaybeSentError,
        cause: BaseException,
    ) -> Continuation:
        if self.was_taken_up and self._taking_up is None:
            # Its end may be that of the link behind the host it came through.
            self._taking_up = asyncio.ensure_future(self._take_up())
        if self._next is None and self._taking_up is not None:
            await asyncio.wait([self._taking_up])
        if self._is_recalled:
            raise transport_errors.NotSentError(
                f'host {self._host} has not begun it'
            ) from cause
        if self._next is None:
            raise error from cause
        found, self._next = self._next, None
        # The new connection may be lost as well.
        self._taking_up = None
        self._response = found.response
        self._watch(found.via)
        self.was_taken_up = True
        return found

    def _silent_error(self) -> transport_errors.MaybeSentError:
        return transport_errors.MaybeSentError(
            f'host {self._host} became unreachable'
        )

    def _on_silence(self, via: ids.HostId) -> None:
        if via != self._via:
            return
        if self._taking_up is None or (
            self._taking_up.done() and self._next is None
        ):
            self._taking_up = asyncio.ensure_future(self._take_up())

    async def _take_up(self) -> None:
        """Try the paths in turn; end the wait for the first connection."""
        limit_ms = PATIENCE_MS if self._may_run_again() else None
        try:
            async with clocks.timeout_ms(limit_ms):
                for record in self._paths():
                    self._next = await self._ask(record)
                    if self._next is not None or self._is_recalled:
                        break
        except TimeoutError:
            pass
        logger.info(
            'take_up_ended',
            peer=self._host,
            token=self._token,
            bytes_read=self.bytes_read(),
            taken_up=self._next is not None,
            recalled=self._is_recalled,
        )
        if (
            self._next is not None
            or self._is_recalled
            or self._may_run_again()
        ):
            self._interrupt()

    def _interrupt(self) -> None:
        """End the wait for the current response, or for its next bytes."""
        if self._waiting is not None:
            now_s = asyncio.get_running_loop().time()
            self._waiting.reschedule(now_s)
        elif self._response is not None:
            self._response.close()

    def _recall_age_ms(self) -> int | None:
        """Return the call's age, None once its answer has begun."""
        if self._waiting is None or self.was_taken_up:
            return None
        return self._clock.mono_ms() - self._sent_ms

    async def _ask(
        self, record: discovery_messages.HostRecord
    ) -> Continuation | None:
        """Ask one host for the rest of the answer; None if it has none."""
        offset = self.bytes_read()
        request = kept_answers.TakeUp(
            self._host,
            self._token,
            offset,
            recall_age_ms=self._recall_age_ms(),
        )
        stack = contextlib.AsyncExitStack()
        try:
            response = await _open_rest(
                stack, self._client, record.passing_address, request
            )
        except (TimeoutError, transport_errors.TransportError) as error:
            logger.info(
                'take_up_failed', peer=record.host, problem=repr(error)
            )
            return None
        if not is_taken_up(response, self._token):
            self._is_recalled = is_recalled(response, self._token)
            await stack.aclose()
            return None
        self._stack.push_async_exit(stack)
        return Continuation(response, offset, record.host)


async def _open_rest(
    stack: contextlib.AsyncExitStack,
    client: web.HttpClient,
    address: str,
    request: kept_answers.TakeUp,
) -> aiohttp.ClientResponse:
    """Ask a host for the rest of an answer; return the head of its response.

    ``stack`` ends the exchange.

    :raises TimeoutError: there was none within ``PATH_LIMIT_MS``
    :raises TransportError: the request or its response failed
    """
    async with clocks.timeout_ms(PATH_LIMIT_MS):
        return await stack.enter_async_context(
            client.send_verbatim(
                'GET',
                address,
                '/',
                take_up_fields(request),
                None,
                is_own=functools.partial(is_own, token=request.token),
            )
        )


def take_up_fields(request: kept_answers.TakeUp) -> dialects.Fields:
    """Return the headers of a request for the rest of an answer."""
    text = msgspec.json.encode(request).decode()
    return [(passthrough_api.TAKE_UP_HEADER, text)]


def is_own(response: aiohttp.ClientResponse, token: str) -> bool:
    """Return whether a response belongs to a request for an answer.

    A host that doesn't keep the answer refuses. Older releases name no token
    in that refusal.
    """
    if is_taken_up(response, token) or is_recalled(response, token):
        return True
    if (
        passthrough_api.TAKEN_UP_HEADER in response.headers
        or passthrough_api.RECALLED_HEADER in response.headers
        or passthrough_api.REFUSED_HEADER not in response.headers
    ):
        return False
    named = response.headers.get(passthrough_api.TAKE_UP_HEADER)
    if named is None:
        return exchanges.accept_unnamed(response)
    return named == token


def is_taken_up(response: aiohttp.ClientResponse, token: str) -> bool:
    """Return whether a response continues an answer."""
    return response.headers.get(passthrough_api.TAKEN_UP_HEADER) == token


def is_recalled(response: aiohttp.ClientResponse, token: str) -> bool:
    """Return whether a host says that a call has not begun."""
    return response.headers.get(passthrough_api.RECALLED_HEADER) == token


class TakeUpForwarder:
    """Passes requests for kept answers on to the hosts that keep them."""

    def __init__(
        self,
        client: web.HttpClient,
        address_of: collections.abc.Callable[[ids.HostId], str | None],
    ):
        self._client = client
        self._address_of = address_of

    async def forward(
        self, take_up: kept_answers.TakeUp, reply: passthrough_api.Reply
    ) -> bool:
        """Send the rest of an answer; return whether it is complete."""
        address = self._address_of(take_up.host)
        if address is None:
            return False
        request = msgspec.structs.replace(take_up, passed_on=True)
        try:
            async with contextlib.AsyncExitStack() as stack:
                response = await _open_rest(
                    stack, self._client, address, request
                )
                return await _pass_on(response, take_up.token, reply)
        except (TimeoutError, transport_errors.TransportError) as error:
            logger.info(
                'take_up_failed', peer=take_up.host, problem=repr(error)
            )
            return False


async def _pass_on(
    response: aiohttp.ClientResponse,
    token: str,
    reply: passthrough_api.Reply,
) -> bool:
    """Send the rest of an answer; return False if there is none."""
    if not is_taken_up(response, token):
        if is_recalled(response, token):
            reply.recalled = token
        return False
    fields = dialects.response_fields(response.raw_headers)
    await reply.send_head(response.status, fields)
    async for chunk in web.read_chunks(response):
        await reply.write(chunk)
    await reply.end()
    return True


async def read_on(
    resume: collections.abc.Callable[
        [transport_errors.MaybeSentError],
        collections.abc.Awaitable[tuple[object, int]],
    ],
    read: collections.abc.Callable[
        [object], collections.abc.AsyncIterator[bytes]
    ],
    response: object,
) -> collections.abc.AsyncIterator[bytes]:
    """Yield each byte of a body once, over as many responses as needed.

    ``resume`` returns the response that goes on after an error, and the
    offset of its first byte, which may have been read before.
    """
    position = 0
    offset = 0
    while True:
        try:
            async for chunk in read(response):
                start, offset = offset, offset + len(chunk)
                new = chunk[max(position - start, 0) :]
                if new:
                    position = offset
                    yield new
            return
        except transport_errors.MaybeSentError as error:
            response, offset = await resume(error)

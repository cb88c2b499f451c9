"""Keyed request and reply links between hosts, by pyzmq with CURVE.

ZeroMQ keeps messages for a peer that is cut off and delivers them minutes
later. Links therefore queue nothing for an absent peer, and every message
carries its cluster, its sender's epoch and a wall-clock expiry that the
receiver checks.
"""

import asyncio
import collections.abc
import dataclasses

import msgspec
import structlog
import zmq
import zmq.asyncio
import zmq.auth.asyncio

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke import runtime
from wrenspoke.transport import errors

logger = structlog.get_logger(__name__)

HIGH_WATER_MARK = 64
NO_ANSWER = 0
CONNECT_POLL_S = 0.005
TELL_EXPIRY_MS = 2000
HEARTBEAT_IVL_MS = 2000
HEARTBEAT_TIMEOUT_MS = 6000
MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024


class Envelope(msgspec.Struct, array_like=True):
    """Wrap one message on a link."""

    cluster: str
    sender: str
    epoch: str
    number: int
    expires_ms: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class Peer:
    """Say where a host listens for links and which key it has."""

    host: ids.HostId
    ip: str
    port: int
    public_key: str


@dataclasses.dataclass(frozen=True)
class Identity:
    """Hold what this host shows and expects on its links."""

    cluster: str
    host: ids.HostId
    public_key: str
    secret_key: str


Handler = collections.abc.Callable[
    [ids.HostId, bytes], collections.abc.Awaitable[bytes | None]
]


class Links:
    """Call other hosts of the cluster and answer their calls."""

    def __init__(
        self,
        identity: Identity,
        peers: collections.abc.Iterable[Peer],
        clock: clocks.Clock,
        handler: Handler,
        clock_skew_ms: int,
    ):
        self._identity = identity
        self._peers = {peer.host: peer for peer in peers}
        self._hosts_by_key = {
            peer.public_key: peer.host for peer in self._peers.values()
        }
        self._clock = clock
        self._handler = handler
        self._clock_skew_ms = clock_skew_ms
        self._epoch = ids.new_unique()
        self._context = zmq.asyncio.Context()
        self._authenticator = None
        self._router = None
        self._dealers: dict[ids.HostId, zmq.asyncio.Socket] = {}
        self._pending: dict[int, asyncio.Future] = {}
        self._number = 0
        self._tasks = runtime.Tasks()
        self.sent_bytes = 0
        self.received_bytes = 0

    async def start(self, ip: str, port: int) -> None:
        """Listen for the calls of known hosts."""
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            self._context
        )
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain='*', credentials_provider=self
        )
        router = self._context.socket(zmq.ROUTER)
        _set_options(router)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        router.curve_server = True
        router.curve_secretkey = self._identity.secret_key.encode()
        router.curve_publickey = self._identity.public_key.encode()
        router.bind(f'tcp://{ip}:{port}')
        self._router = router
        self._tasks.start(self._serve())

    def callback(self, _domain: str, key: bytes) -> bool:
        """Tell pyzmq whether a key belongs to a known host."""
        known = key.decode() in self._hosts_by_key
        if not known:
            logger.warning('link_refused', reason='unknown_key')
        return known

    async def call(
        self, host: ids.HostId, body: bytes, timeout_ms: float
    ) -> bytes:
        """Send ``body`` to ``host`` and return its answer.

        :raises NotSentError: the host is unknown or not connected
        :raises MaybeSentError: no answer came within ``timeout_ms``
        """
        dealer = self._dealer(host)
        self._number += 1
        number = self._number
        frame = self._wrap(number, body, timeout_ms)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        try:
            async with clocks.timeout_ms(timeout_ms):
                await _send_when_connected(dealer, frame)
                self.sent_bytes += len(frame)
                return await future
        except TimeoutError as error:
            raise errors.MaybeSentError(f'no answer from {host}') from error
        except zmq.ZMQError as error:
            raise errors.NotSentError(str(error)) from error
        finally:
            self._pending.pop(number, None)

    async def tell(self, host: ids.HostId, body: bytes) -> int:
        """Send ``body`` without an answer; return the bytes sent.

        It is dropped, as 0 bytes, if nobody listens.
        """
        try:
            dealer = self._dealer(host)
            frame = self._wrap(NO_ANSWER, body, TELL_EXPIRY_MS)
            await dealer.send(frame, zmq.NOBLOCK)
        except (zmq.ZMQError, errors.NotSentError):
            logger.debug('tell_dropped', peer=host)
            return 0
        self.sent_bytes += len(frame)
        return len(frame)

    def _dealer(self, host: ids.HostId) -> zmq.asyncio.Socket:
        dealer = self._dealers.get(host)
        if dealer is not None:
            return dealer
        peer = self._peers.get(host)
        if peer is None:
            raise errors.NotSentError(f'unknown host {host}')
        dealer = self._context.socket(zmq.DEALER)
        _set_options(dealer)
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        dealer.curve_serverkey = peer.public_key.encode()
        dealer.curve_secretkey = self._identity.secret_key.encode()
        dealer.curve_publickey = self._identity.public_key.encode()
        dealer.connect(f'tcp://{peer.ip}:{peer.port}')
        self._dealers[host] = dealer
        self._tasks.start(self._receive(host, dealer))
        return dealer

    def _wrap(self, number: int, body: bytes, timeout_ms: float) -> bytes:
        return msgspec.msgpack.encode(
            Envelope(
                self._identity.cluster,
                self._identity.host,
                self._epoch,
                number,
                self._clock.wall_ms() + int(timeout_ms) + 1,
                body,
            )
        )

    async def _receive(
        self, host: ids.HostId, dealer: zmq.asyncio.Socket
    ) -> None:
        while True:
            frame = await dealer.recv()
            self.received_bytes += len(frame)
            envelope = self._open(frame, host)
            if envelope is None:
                continue
            future = self._pending.get(envelope.number)
            if future is None or future.done():
                continue
            future.set_result(envelope.body)

    async def _serve(self) -> None:
        while True:
            frames = await self._router.recv_multipart(copy=False)
            if len(frames) != 2:
                logger.warning('message_refused', reason='frame_count')
                continue
            payload = frames[1].bytes
            self.received_bytes += len(payload)
            host = self._hosts_by_key.get(frames[1].get('User-Id'))
            envelope = self._open(payload, host)
            if envelope is None:
                continue
            self._tasks.start(
                self._answer(frames[0].bytes, envelope), fatal=False
            )

    def _open(self, frame: bytes, host: ids.HostId | None) -> Envelope | None:
        try:
            envelope = msgspec.msgpack.decode(frame, type=Envelope)
        except msgspec.DecodeError:
            logger.warning('message_refused', reason='malformed', peer=host)
            return None
        reason = self._refusal(envelope, host)
        if reason is None:
            return envelope
        logger.warning('message_refused', reason=reason, peer=envelope.sender)
        return None

    def _refusal(
        self, envelope: Envelope, host: ids.HostId | None
    ) -> str | None:
        if envelope.cluster != self._identity.cluster:
            return 'other_cluster'
        if envelope.sender != host:
            return 'key_of_another_host'
        age_limit_ms = self._clock.wall_ms() - self._clock_skew_ms
        if envelope.expires_ms < age_limit_ms:
            return 'expired'
        return None

    async def _answer(self, route: bytes, envelope: Envelope) -> None:
        sender = ids.HostId(envelope.sender)
        answer = await self._handler(sender, envelope.body)
        if answer is None or envelope.number == NO_ANSWER:
            return
        left_ms = envelope.expires_ms - self._clock.wall_ms()
        frame = self._wrap(envelope.number, answer, left_ms)
        try:
            await self._router.send_multipart([route, frame], zmq.NOBLOCK)
            self.sent_bytes += len(frame)
        except zmq.ZMQError:
            logger.info('answer_dropped', peer=sender)

    async def close(self) -> None:
        """Close every socket at once."""
        await self._tasks.close()
        for dealer in self._dealers.values():
            dealer.close(linger=0)
        if self._router is not None:
            self._router.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)


async def _send_when_connected(
    dealer: zmq.asyncio.Socket, frame: bytes
) -> None:
    """Send as soon as there is a connection; queue nothing until then.

    A send or poll that waits inside pyzmq holds up every later send on
    the socket, those with NOBLOCK too, so the wait is outside of it.
    """
    while True:
        try:
            await dealer.send(frame, zmq.NOBLOCK)
            return
        except zmq.Again:
            await asyncio.sleep(CONNECT_POLL_S)


def _set_options(opened: zmq.asyncio.Socket) -> None:
    opened.setsockopt(zmq.LINGER, 0)
    opened.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    opened.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    opened.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_IVL_MS)
    opened.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    opened.setsockopt(zmq.MAXMSGSIZE, MESSAGE_LIMIT_BYTES)
    opened.setsockopt(zmq.RECONNECT_IVL, 100)
    opened.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)


def new_keys() -> tuple[str, str]:
    """Return a new public and secret key, both in Z85 text."""
    public_key, secret_key = zmq.curve_keypair()
    return public_key.decode(), secret_key.decode()

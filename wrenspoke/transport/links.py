"""Request and reply links between hosts, by pyzmq, keyed with CURVE.

ZeroMQ keeps messages for a peer that is cut off and delivers them minutes
later. Links therefore queue nothing for an absent peer, and every message
carries its cluster, its sender's epoch and how long it is good for. Its
age is told by the sender's clock against the quickest message
of that sender and epoch: times of day may jump.

Where hosts find each other at run time there are no keys; a host is then
named by the IP number and port of its link.
"""

import asyncio
import collections.abc
import dataclasses
import zlib

import msgspec
import structlog
import zmq
import zmq.asyncio

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke import runtime
from wrenspoke.transport import errors

logger = structlog.get_logger(__name__)

HIGH_WATER_MARK = 64
# So many that libzmq goes on reading a link while a host is behind. Where one
# ends that is not read, libzmq (4.3.5) ends the process as a heartbeat is due
# there, or is found among what had been read. Some hundred bytes each; what
# comes late has expired and costs next to nothing.
RECEIVED_HIGH_WATER_MARK = 20_000
NO_ANSWER = 0
CONNECT_POLL_S = 0.005
TELL_EXPIRY_MS = 2000
HEARTBEAT_IVL_MS = 2000
HEARTBEAT_TIMEOUT_MS = 6000
# Hosts that start together find each other within a fraction of their own
# start of 0.3 s; one that stays away costs ten packets a second.
RECONNECT_MS = 30
LONGEST_RECONNECT_MS = 100
MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024
# Tables of routes shrink to a tenth; shorter messages are not worth it.
COMPRESSED_FROM_BYTES = 2_048
COMPRESSION_LEVEL = 1
# A message whose end hardly shrinks was packed before it came here.
DENSE = 0.9
PLAIN, COMPRESSED = b'\0', b'\1'
KEPT_EPOCHS = 4_096


class Envelope(msgspec.Struct, array_like=True):
    """Wrap one message on a link."""

    cluster: str
    sender: str
    epoch: str
    number: int
    sent_ms: int
    good_for_ms: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class Peer:
    """Say where a host listens for links and which key it has."""

    host: ids.HostId
    ip: str
    port: int
    public_key: str | None = None


@dataclasses.dataclass(frozen=True)
class Identity:
    """Hold what this host shows and expects on its links."""

    cluster: str
    host: ids.HostId
    public_key: str | None = None
    secret_key: str | None = None

    @property
    def keyed(self) -> bool:
        """Tell whether links show and ask for keys."""
        return self.secret_key is not None


@dataclasses.dataclass(frozen=True)
class Silence:
    """Say how soon a link that has fallen silent is given up."""

    heartbeat_ms: int = HEARTBEAT_IVL_MS
    timeout_ms: int = HEARTBEAT_TIMEOUT_MS


# Told of each message that was sent: to whom, what, and the bytes it took.
Noted = collections.abc.Callable[[ids.HostId, bytes, int], None]
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
        silence: Silence = Silence(),
        noted: Noted | None = None,
    ):
        self._noted = noted or _note_nothing
        self._identity = identity
        self._peers = {peer.host: peer for peer in peers}
        self._hosts_by_key = {
            peer.public_key: peer.host for peer in self._peers.values()
        }
        self._clock = clock
        self._handler = handler
        self._silence = silence
        self._offsets_ms: dict[tuple[str, str], int] = {}
        self._epoch = ids.new_random_id()
        self._context = zmq.asyncio.Context()
        self._authenticator = None
        self._router = None
        self._dealers: dict[ids.HostId, zmq.asyncio.Socket] = {}
        self._receivers: dict[ids.HostId, asyncio.Task] = {}
        self._pending: dict[int, asyncio.Future] = {}
        self._number = 0
        self._tasks = runtime.Tasks()
        self.sent_bytes = 0
        self.received_bytes = 0

    async def start(self, ip: str, port: int) -> None:
        """Listen for the calls of known hosts, of all without keys."""
        router = self._context.socket(zmq.ROUTER)
        _set_options(router, self._silence)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        if self._identity.keyed:
            self._ask_for_keys()
            router.curve_server = True
            self._show_key(router)
        router.bind(f'tcp://{ip}:{port}')
        self._router = router
        self._tasks.start(self._serve())

    def _ask_for_keys(self) -> None:
        from zmq.auth import asyncio as auth

        self._authenticator = auth.AsyncioAuthenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain='*', credentials_provider=self
        )

    def _show_key(self, opened: zmq.asyncio.Socket) -> None:
        opened.curve_secretkey = self._identity.secret_key.encode()
        opened.curve_publickey = self._identity.public_key.encode()

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
                self._note_sent(host, body, frame)
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
        self._note_sent(host, body, frame)
        return len(frame)

    def _note_sent(self, host: ids.HostId, body: bytes, frame: bytes) -> None:
        self.sent_bytes += len(frame)
        self._noted(host, body, len(frame))

    def _dealer(self, host: ids.HostId) -> zmq.asyncio.Socket:
        dealer = self._dealers.get(host)
        if dealer is not None:
            return dealer
        peer = self._peer(host)
        dealer = self._context.socket(zmq.DEALER)
        _set_options(dealer, self._silence)
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        if self._identity.keyed:
            dealer.curve_serverkey = peer.public_key.encode()
            self._show_key(dealer)
        dealer.connect(f'tcp://{peer.ip}:{peer.port}')
        self._dealers[host] = dealer
        self._receivers[host] = self._tasks.start(self._receive(host, dealer))
        return dealer

    def _peer(self, host: ids.HostId) -> Peer:
        """Return where a host listens; a name without a key tells it."""
        peer = self._peers.get(host)
        if peer is not None:
            return peer
        ip, _, port = host.rpartition(':')
        digits = port.isascii() and port.isdigit()
        if self._identity.keyed or not ip or not digits:
            raise errors.NotSentError(f'unknown host {host}')
        return Peer(host, ip, int(port))

    def forget(self, host: ids.HostId) -> None:
        """Close the link to a host that is gone."""
        dealer = self._dealers.pop(host, None)
        if dealer is None:
            return
        dealer.close(linger=0)
        self._receivers.pop(host).cancel()

    def _wrap(self, number: int, body: bytes, timeout_ms: float) -> bytes:
        return msgspec.msgpack.encode(
            Envelope(
                self._identity.cluster,
                self._identity.host,
                self._epoch,
                number,
                self._clock.mono_ms(),
                int(timeout_ms) + 1,
                _packed(body),
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
            future.set_result(_unpacked(envelope.body))

    async def _serve(self) -> None:
        while True:
            frames = await self._router.recv_multipart(copy=False)
            if len(frames) != 2:
                logger.warning('message_refused', reason='frame_count')
                continue
            payload = frames[1].bytes
            self.received_bytes += len(payload)
            envelope = self._open(payload, self._shown_by(frames[1]))
            if envelope is None:
                continue
            self._tasks.start(
                self._answer(frames[0].bytes, envelope), fatal=False
            )

    def _shown_by(self, frame: zmq.Frame) -> ids.HostId | None:
        """Return whose key a message came with."""
        if not self._identity.keyed:
            return None
        return self._hosts_by_key.get(frame.get('User-Id'))

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
        if self._identity.keyed and envelope.sender != host:
            return 'key_of_another_host'
        if self._age_ms(envelope) > envelope.good_for_ms:
            return 'expired'
        return None

    def _age_ms(self, envelope: Envelope) -> int:
        """Return how much longer it took than the quickest before it."""
        key = (envelope.sender, envelope.epoch)
        offset_ms = self._clock.mono_ms() - envelope.sent_ms
        quickest_ms = self._offsets_ms.get(key)
        if quickest_ms is None and len(self._offsets_ms) >= KEPT_EPOCHS:
            del self._offsets_ms[next(iter(self._offsets_ms))]
        if quickest_ms is None or offset_ms < quickest_ms:
            self._offsets_ms[key] = quickest_ms = offset_ms
        return offset_ms - quickest_ms

    async def _answer(self, route: bytes, envelope: Envelope) -> None:
        sender = ids.HostId(envelope.sender)
        answer = await self._handler(sender, _unpacked(envelope.body))
        if answer is None or envelope.number == NO_ANSWER:
            return
        frame = self._wrap(envelope.number, answer, envelope.good_for_ms)
        try:
            await self._router.send_multipart([route, frame], zmq.NOBLOCK)
            self._note_sent(sender, answer, frame)
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


def _note_nothing(_host: ids.HostId, _body: bytes, _size: int) -> None:
    return


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


def _packed(body: bytes) -> bytes:
    if len(body) < COMPRESSED_FROM_BYTES:
        return PLAIN + body
    sample = body[-COMPRESSED_FROM_BYTES:]
    if len(zlib.compress(sample, COMPRESSION_LEVEL)) > len(sample) * DENSE:
        return PLAIN + body
    return COMPRESSED + zlib.compress(body, COMPRESSION_LEVEL)


def _unpacked(body: bytes) -> bytes:
    if body.startswith(COMPRESSED):
        return zlib.decompress(body[1:])
    return body[1:]


def _set_options(opened: zmq.asyncio.Socket, silence: Silence) -> None:
    opened.setsockopt(zmq.LINGER, 0)
    opened.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    opened.setsockopt(zmq.RCVHWM, RECEIVED_HIGH_WATER_MARK)
    opened.setsockopt(zmq.HEARTBEAT_IVL, silence.heartbeat_ms)
    opened.setsockopt(zmq.HEARTBEAT_TIMEOUT, silence.timeout_ms)
    opened.setsockopt(zmq.MAXMSGSIZE, MESSAGE_LIMIT_BYTES)
    opened.setsockopt(zmq.CONNECT_TIMEOUT, silence.timeout_ms)
    opened.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    opened.setsockopt(zmq.RECONNECT_IVL_MAX, LONGEST_RECONNECT_MS)


def new_keys() -> tuple[str, str]:
    """Return a new public and secret key, both in Z85 text."""
    public_key, secret_key = zmq.curve_keypair()
    return public_key.decode(), secret_key.decode()

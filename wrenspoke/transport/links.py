"""Request-reply links between hosts over pyzmq, with CURVE keys.

By default ZeroMQ queues messages for a disconnected peer and delivers them
minutes later. Links therefore queue nothing for a peer that is not
connected, and every message carries its cluster, its sender's epoch and a
time to live. The age of a message is its clock offset minus the smallest
offset received from the same sender and epoch, so that steps of the wall
clock don't affect it.

Hosts that discover each other at run time use no keys; a host's id is then
the ``IP:PORT`` of its link.
"""

import asyncio
import collections.abc
import dataclasses
import functools
import os
import struct
import zlib

import msgspec
import structlog
import zmq

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke import runtime
from wrenspoke.transport import errors
from wrenspoke.transport import sockets

logger = structlog.get_logger(__name__)

SEND_HIGH_WATER_MARK = 64
# High enough that libzmq keeps reading a link whose messages are not yet
# handled. A long queue is cheap to drain: late messages have expired.
# libzmq (4.3.5) aborts the process when a link is reset while reading from it
# is paused and a heartbeat is due or buffered.
RECEIVE_HIGH_WATER_MARK = 20_000
ONEWAY_NUMBER = 0
ONEWAY_TTL_MS = 2000
HEARTBEAT_IVL_MS = 2000
HEARTBEAT_TIMEOUT_MS = 6000
# Short, so that hosts that start together connect quickly. An absent host
# costs about ten connection attempts per second.
RECONNECT_MS = 30
MAX_RECONNECT_MS = 100
# For replies that are queued as a host stops.
REPLY_LINGER_MS = 100
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Shorter messages are sent uncompressed.
MIN_COMPRESS_BYTES = 2_048
COMPRESSION_LEVEL = 1
# A body whose last bytes compress worse than this is sent as is; it was
# probably compressed by the sender.
MAX_COMPRESSION_RATIO = 0.9
PLAIN, COMPRESSED = b'\0', b'\1'
MAX_TRACKED_EPOCHS = 4_096
LISTENER_EVENTS = (
    zmq.EVENT_ACCEPTED | zmq.EVENT_ACCEPT_FAILED | zmq.EVENT_DISCONNECTED
)
# The first frame of an event: its number, and a descriptor or errno. pyzmq's
# parser would import zmq.asyncio.
LISTENER_EVENT = struct.Struct('=Hi')
# Connections that could not be accepted in a row until the listener pauses;
# some fail as their peers reset them.
FAILED_ACCEPTS_LIMIT = 100
LISTENER_PAUSE_MS = 1_000
# The event descriptor and the connection of a socket to one host.
DESCRIPTORS_PER_DEALER = 2


class Envelope(msgspec.Struct, array_like=True):
    """One message on a link."""

    cluster: str
    sender: str
    epoch: str
    number: int
    sent_ms: int
    good_for_ms: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class Peer:
    """The link address and public key of a host."""

    host: ids.HostId
    ip: str
    port: int
    public_key: str | None = None


@dataclasses.dataclass(frozen=True)
class Identity:
    """The cluster, id and CURVE keys of this host."""

    cluster: str
    host: ids.HostId
    public_key: str | None = None
    secret_key: str | None = None

    @property
    def has_keys(self) -> bool:
        """Return whether links authenticate with CURVE keys."""
        return self.secret_key is not None


@dataclasses.dataclass(frozen=True)
class HeartbeatOptions:
    """Heartbeat interval of a link, and its timeout without traffic."""

    heartbeat_ms: int = HEARTBEAT_IVL_MS
    timeout_ms: int = HEARTBEAT_TIMEOUT_MS


# Called for each message sent with the peer, the body and the frame's size.
SendListener = collections.abc.Callable[[ids.HostId, bytes, int], None]
Handler = collections.abc.Callable[
    [ids.HostId, bytes], collections.abc.Awaitable[bytes | None]
]


class Links:
    """Sends messages to other hosts of the cluster and serves theirs."""

    def __init__(
        self,
        identity: Identity,
        peers: collections.abc.Iterable[Peer],
        clock: clocks.Clock,
        handler: Handler,
        heartbeat_options: HeartbeatOptions = HeartbeatOptions(),
        on_sent: SendListener | None = None,
    ):
        self._on_sent = on_sent or _ignore_sent
        self._identity = identity
        self._peers = {peer.host: peer for peer in peers}
        self._hosts_by_key = {
            peer.public_key: peer.host for peer in self._peers.values()
        }
        self._clock = clock
        self._handler = handler
        self._heartbeat_options = heartbeat_options
        self._min_offsets_ms: dict[tuple[str, str], int] = {}
        self._epoch = ids.new_random_id()
        self._context = zmq.Context()
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._envelope_encoder = msgspec.msgpack.Encoder()
        self._authenticator = None
        self._router: sockets.LoopSocket | None = None
        self._monitor: sockets.LoopSocket | None = None
        # Descriptors of the connections that the listener accepted.
        self._accepted: set[int] = set()
        self.failed_accepts = 0
        self._failed_in_a_row = 0
        self.listener_pauses = 0
        self._resume_timer: asyncio.TimerHandle | None = None
        self._address = ''
        self._dealers: dict[ids.HostId, sockets.LoopSocket] = {}
        self._pending: dict[int, asyncio.Future] = {}
        self._number = 0
        self._tasks = runtime.Tasks()
        self.sent_bytes = 0
        self.received_bytes = 0

    async def start(self, ip: str, port: int) -> None:
        """Listen for messages; with keys, only of known hosts."""
        router = self._context.socket(zmq.ROUTER)
        _set_options(router, self._heartbeat_options)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        if self._identity.has_keys:
            self._start_authenticator()
            router.curve_server = True
            self._set_curve_keys(router)
        self._monitor_listener(router)
        self._address = f'tcp://{ip}:{port}'
        router.bind(self._address)
        self._router = sockets.LoopSocket(
            router,
            functools.partial(
                # Only a frame names the key that authenticated it.
                router.recv_multipart,
                zmq.NOBLOCK,
                copy=not self._identity.has_keys,
            ),
            self._on_request,
        )

    def _monitor_listener(self, router: zmq.Socket) -> None:
        sock = router.get_monitor_socket(LISTENER_EVENTS)
        self._monitor = sockets.LoopSocket(
            sock,
            functools.partial(sock.recv_multipart, zmq.NOBLOCK),
            self._on_listener_event,
        )

    def _on_listener_event(self, frames: list[bytes]) -> None:
        event, value = LISTENER_EVENT.unpack(frames[0])
        if event == zmq.EVENT_ACCEPTED:
            self._accepted.add(value)
            self._failed_in_a_row = 0
        elif event == zmq.EVENT_DISCONNECTED:
            self._accepted.discard(value)
        else:
            self._on_accept_failed(value)

    def _on_accept_failed(self, number: int) -> None:
        """Pause the listener if connections can't be accepted.

        Without a descriptor for it, libzmq's I/O thread is told again and
        again of the same connection, and never waits.
        """
        self.failed_accepts += 1
        self._failed_in_a_row += 1
        if (
            self._resume_timer is not None
            or self._failed_in_a_row < FAILED_ACCEPTS_LIMIT
        ):
            return
        logger.error(
            'link_listener_paused',
            reason=os.strerror(number),
            accepted=len(self._accepted),
            connected=len(self._dealers),
            pause_ms=LISTENER_PAUSE_MS,
        )
        self.listener_pauses += 1
        # This also closes the connections that the listener has accepted.
        self._router.unbind(self._address)
        self._accepted.clear()
        self._schedule_resume()

    def _schedule_resume(self) -> None:
        self._resume_timer = asyncio.get_running_loop().call_later(
            LISTENER_PAUSE_MS / 1000, self._resume_listener
        )

    def _resume_listener(self) -> None:
        self._resume_timer = None
        self._failed_in_a_row = 0
        try:
            self._router.bind(self._address)
        except zmq.ZMQError as error:
            logger.error('link_listener_not_resumed', reason=str(error))
            self._schedule_resume()

    @property
    def descriptor_count(self) -> int:
        """Return how many descriptors the links to other hosts use."""
        dealers = DESCRIPTORS_PER_DEALER * len(self._dealers)
        return len(self._accepted) + dealers

    def _start_authenticator(self) -> None:
        from zmq.auth import asyncio as auth

        self._authenticator = auth.AsyncioAuthenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain='*', credentials_provider=self
        )

    def _set_curve_keys(self, sock: zmq.Socket) -> None:
        sock.curve_secretkey = self._identity.secret_key.encode()
        sock.curve_publickey = self._identity.public_key.encode()

    def callback(self, _domain: str, key: bytes) -> bool:
        """Return whether a key belongs to a known host; called by pyzmq."""
        known = key.decode() in self._hosts_by_key
        if not known:
            logger.warning('link_refused', reason='unknown_key')
        return known

    async def call(
        self, host: ids.HostId, body: bytes, timeout_ms: float
    ) -> bytes:
        """Send ``body`` to ``host`` and return its reply.

        :raises NotSentError: the host is unknown or sending failed
        :raises MaybeSentError: no reply within ``timeout_ms``
        """
        dealer = self._get_or_connect(host)
        self._number += 1
        number = self._number
        frame = self._encode_envelope(number, body, timeout_ms)
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._pending[number] = future
        timer = loop.call_later(max(timeout_ms, 0) / 1000, _expire, future)
        try:
            await _send_when_connected(dealer, frame, future)
            self._on_message_sent(host, body, frame)
            return await future
        except TimeoutError as error:
            raise errors.MaybeSentError(
                f'no reply from {host} within {timeout_ms} ms'
            ) from error
        except zmq.ZMQError as error:
            raise errors.NotSentError(str(error)) from error
        finally:
            timer.cancel()
            self._pending.pop(number, None)

    async def send_oneway(self, host: ids.HostId, body: bytes) -> int:
        """Send ``body`` without waiting for a reply; return the bytes sent.

        Returns 0 if the host is not connected; the message is dropped.
        """
        try:
            dealer = self._get_or_connect(host)
            frame = self._encode_envelope(ONEWAY_NUMBER, body, ONEWAY_TTL_MS)
            dealer.send(frame)
        except (zmq.ZMQError, errors.NotSentError):
            logger.debug('oneway_message_dropped', peer=host)
            return 0
        self._on_message_sent(host, body, frame)
        return len(frame)

    def _on_message_sent(
        self, host: ids.HostId, body: bytes, frame: bytes
    ) -> None:
        self.sent_bytes += len(frame)
        self._on_sent(host, body, len(frame))

    def _get_or_connect(self, host: ids.HostId) -> sockets.LoopSocket:
        dealer = self._dealers.get(host)
        if dealer is not None:
            return dealer
        peer = self._find_peer(host)
        try:
            sock = self._connect(peer)
        except zmq.ZMQError as error:
            raise errors.NotSentError(
                f'no socket for host {host}: {error}'
            ) from error
        dealer = self._dealers[host] = sockets.LoopSocket(
            sock,
            functools.partial(sock.recv, zmq.NOBLOCK),
            functools.partial(self._on_reply, host),
        )
        return dealer

    def _connect(self, peer: Peer) -> zmq.Socket:
        """Return a socket that connects to a peer.

        :raises zmq.ZMQError: no descriptor is free
        """
        sock = self._context.socket(zmq.DEALER)
        try:
            _set_options(sock, self._heartbeat_options)
            sock.setsockopt(zmq.IMMEDIATE, 1)
            if self._identity.has_keys:
                sock.curve_serverkey = peer.public_key.encode()
                self._set_curve_keys(sock)
            sock.connect(f'tcp://{peer.ip}:{peer.port}')
        except zmq.ZMQError:
            sock.close()
            raise
        return sock

    def _find_peer(self, host: ids.HostId) -> Peer:
        """Return the peer of a host id; without keys the id is its address."""
        peer = self._peers.get(host)
        if peer is not None:
            return peer
        ip, _, port = host.rpartition(':')
        digits = port.isascii() and port.isdigit()
        if self._identity.has_keys or not ip or not digits:
            raise errors.NotSentError(f'unknown host {host}')
        return Peer(host, ip, int(port))

    def disconnect(self, host: ids.HostId) -> None:
        """Close the link to a host, if there is one."""
        dealer = self._dealers.pop(host, None)
        if dealer is not None:
            dealer.close()

    def _encode_envelope(
        self, number: int, body: bytes, timeout_ms: float
    ) -> bytes:
        return self._envelope_encoder.encode(
            Envelope(
                self._identity.cluster,
                self._identity.host,
                self._epoch,
                number,
                self._clock.mono_ms(),
                int(timeout_ms) + 1,
                _compress(body),
            )
        )

    def _on_reply(self, host: ids.HostId, frame: bytes) -> None:
        self.received_bytes += len(frame)
        envelope = self._decode_envelope(frame, host)
        if envelope is None:
            return
        future = self._pending.get(envelope.number)
        if future is None or future.done():
            return
        future.set_result(_decompress(envelope.body))

    def _on_request(self, frames: list[bytes | zmq.Frame]) -> None:
        if len(frames) != 2:
            logger.warning('message_refused', reason='frame_count')
            return
        route, payload = map(bytes, frames)
        self.received_bytes += len(payload)
        envelope = self._decode_envelope(
            payload, self._authenticated_host(frames[1])
        )
        if envelope is None:
            return
        self._tasks.start(self._handle_request(route, envelope), fatal=False)

    def _authenticated_host(
        self, frame: bytes | zmq.Frame
    ) -> ids.HostId | None:
        """Return the host whose key authenticated a frame."""
        if not self._identity.has_keys:
            return None
        return self._hosts_by_key.get(frame.get('User-Id'))

    def _decode_envelope(
        self, frame: bytes, host: ids.HostId | None
    ) -> Envelope | None:
        try:
            envelope = self._envelope_decoder.decode(frame)
        except msgspec.DecodeError:
            logger.warning('message_refused', reason='malformed', peer=host)
            return None
        reason = self._rejection_reason(envelope, host)
        if reason is None:
            return envelope
        logger.warning('message_refused', reason=reason, peer=envelope.sender)
        return None

    def _rejection_reason(
        self, envelope: Envelope, host: ids.HostId | None
    ) -> str | None:
        if envelope.cluster != self._identity.cluster:
            return 'other_cluster'
        if self._identity.has_keys and envelope.sender != host:
            return 'key_of_another_host'
        if self._age_ms(envelope) > envelope.good_for_ms:
            return 'expired'
        return None

    def _age_ms(self, envelope: Envelope) -> int:
        """Return how much longer a message took than its epoch's fastest."""
        key = (envelope.sender, envelope.epoch)
        offset_ms = self._clock.mono_ms() - envelope.sent_ms
        quickest_ms = self._min_offsets_ms.get(key)
        if (
            quickest_ms is None
            and len(self._min_offsets_ms) >= MAX_TRACKED_EPOCHS
        ):
            del self._min_offsets_ms[next(iter(self._min_offsets_ms))]
        if quickest_ms is None or offset_ms < quickest_ms:
            self._min_offsets_ms[key] = quickest_ms = offset_ms
        return offset_ms - quickest_ms

    async def _handle_request(self, route: bytes, envelope: Envelope) -> None:
        sender = ids.HostId(envelope.sender)
        answer = await self._handler(sender, _decompress(envelope.body))
        if answer is None or envelope.number == ONEWAY_NUMBER:
            return
        frame = self._encode_envelope(
            envelope.number, answer, envelope.good_for_ms
        )
        try:
            self._router.send_multipart([route, frame])
            self._on_message_sent(sender, answer, frame)
        except zmq.ZMQError:
            logger.info('reply_dropped', peer=sender)

    async def close(self) -> None:
        """Close all sockets, and drop requests that are still queued."""
        await self._tasks.close()
        for dealer in self._dealers.values():
            dealer.close()
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        if self._router is not None:
            self._monitor.close()
            self._router.close(REPLY_LINGER_MS)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)


def _ignore_sent(_host: ids.HostId, _body: bytes, _size: int) -> None:
    return


async def _send_when_connected(
    dealer: sockets.LoopSocket, frame: bytes, answer: asyncio.Future
) -> None:
    """Send once the socket is connected; queue nothing until then.

    :raises TimeoutError: ``answer`` expired before
    """
    while not answer.done():
        try:
            dealer.send(frame)
            return
        except zmq.Again:
            await dealer.wait_writable(answer)
    answer.result()


def _expire(answer: asyncio.Future) -> None:
    if not answer.done():
        answer.set_exception(TimeoutError())


def _compress(body: bytes) -> bytes:
    if len(body) < MIN_COMPRESS_BYTES:
        return PLAIN + body
    sample = body[-MIN_COMPRESS_BYTES:]
    if (
        len(zlib.compress(sample, COMPRESSION_LEVEL))
        > len(sample) * MAX_COMPRESSION_RATIO
    ):
        return PLAIN + body
    return COMPRESSED + zlib.compress(body, COMPRESSION_LEVEL)


def _decompress(body: bytes) -> bytes:
    if body.startswith(COMPRESSED):
        return zlib.decompress(body[1:])
    return body[1:]


def _set_options(
    sock: zmq.Socket, heartbeat_options: HeartbeatOptions
) -> None:
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.SNDHWM, SEND_HIGH_WATER_MARK)
    sock.setsockopt(zmq.RCVHWM, RECEIVE_HIGH_WATER_MARK)
    sock.setsockopt(zmq.HEARTBEAT_IVL, heartbeat_options.heartbeat_ms)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, heartbeat_options.timeout_ms)
    sock.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    sock.setsockopt(zmq.CONNECT_TIMEOUT, heartbeat_options.timeout_ms)
    sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    sock.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)


def new_keys() -> tuple[str, str]:
    """Return a new public and secret key, both Z85-encoded."""
    public_key, secret_key = zmq.curve_keypair()
    return public_key.decode(), secret_key.decode()

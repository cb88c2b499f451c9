"""Sockets of pyzmq on the event loop.

pyzmq's own asyncio sockets make a future for each message and read the state
of the socket several times for it, which costs more than the message itself.
"""

import asyncio
import collections.abc

import zmq

from wrenspoke import runtime

# As numbers: operations on the members of pyzmq's enumerations are slow.
EVENTS = int(zmq.EVENTS)
POLLIN = int(zmq.POLLIN)
POLLOUT = int(zmq.POLLOUT)
NOBLOCK = int(zmq.NOBLOCK)
# Until a socket that is said to be writable is written to again, as libzmq may
# refuse a message all the same.
RESEND_DELAY_S = 0.001
# Messages handled before other callbacks of the loop have their turn.
MAX_BATCH = 32


class LoopSocket:
    """Passes the messages of a zmq socket to a callback, and sends.

    libzmq tells of changes by the edge of a descriptor, which any call on
    the socket may consume. So the state is read after each send, and again
    until it has no message left.
    """

    def __init__(
        self,
        sock: zmq.Socket,
        receive: collections.abc.Callable[[], object],
        on_message: collections.abc.Callable[[object], None],
    ):
        self._sock = sock
        self._receive = receive
        self._on_message = on_message
        self._loop = asyncio.get_running_loop()
        self._waiters: set[asyncio.Future] = set()
        self._is_scheduled = False
        self._descriptor = sock.get(zmq.FD)
        self._loop.add_reader(self._descriptor, self._handle_events)
        self._schedule()

    def send(self, message: bytes) -> None:
        """Send a message of one frame without waiting.

        :raises zmq.Again: no peer is connected, or its queue is full
        :raises zmq.ZMQError: sending failed
        """
        self._sock.send(message, NOBLOCK)
        self._read_events()

    def send_multipart(self, frames: list[bytes]) -> None:
        """Send a message of several frames; see ``send``."""
        self._sock.send_multipart(frames, NOBLOCK)
        self._read_events()

    def bind(self, address: str) -> None:
        """Listen for connections at an address.

        :raises zmq.ZMQError: the address is in use, or no descriptor is free
        """
        self._sock.bind(address)
        self._read_events()

    def unbind(self, address: str) -> None:
        """Stop listening, and close the connections that were accepted."""
        self._sock.unbind(address)
        self._read_events()

    async def wait_writable(self, abandoned: asyncio.Future) -> None:
        """Wait until a send may succeed, or until ``abandoned`` is done."""
        if self._read_events() & POLLOUT:
            await asyncio.sleep(RESEND_DELAY_S)
            return
        waiter = self._loop.create_future()

        def wake(_done: asyncio.Future) -> None:
            _wake(waiter)

        self._waiters.add(waiter)
        abandoned.add_done_callback(wake)
        try:
            await waiter
        finally:
            abandoned.remove_done_callback(wake)
            self._waiters.discard(waiter)

    def close(self, linger_ms: int = 0) -> None:
        """Close the socket; who waits to send gets the error of a send.

        Queued messages are sent for up to ``linger_ms``, during which closing
        the context blocks.
        """
        if self._sock.closed:
            return
        self._loop.remove_reader(self._descriptor)
        self._sock.close(linger=linger_ms)
        self._wake_waiters()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._handle_events)

    def _read_events(self) -> int:
        """Return the state of the socket; schedule what it makes due."""
        events = self._sock.get(EVENTS)
        if events & POLLIN:
            self._schedule()
        if events & POLLOUT:
            self._wake_waiters()
        return events

    def _wake_waiters(self) -> None:
        for waiter in self._waiters:
            _wake(waiter)

    def _handle_events(self) -> None:
        self._is_scheduled = False
        for _number in range(MAX_BATCH):
            if self._sock.closed:
                return
            events = self._sock.get(EVENTS)
            if events & POLLOUT:
                self._wake_waiters()
            if not events & POLLIN:
                return
            try:
                self._on_message(self._receive())
            except Exception as error:
                self._loop.call_exception_handler(
                    {
                        'message': 'a received message was not handled',
                        'exception': error,
                        runtime.FATAL: True,
                    }
                )
        self._schedule()


def _wake(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(None)

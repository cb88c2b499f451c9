"""Answers to forwarded calls, kept so that they can be taken up elsewhere.

The host that serves a forwarded call keeps the bytes of its answer for a
short time. If the link to the forwarding host is lost, that host takes the
answer up from the last byte that it has, on another connection, perhaps
through a host of a third region. The call itself is run once.
"""

import asyncio
import collections.abc

import msgspec

from wrenspoke import ids
from wrenspoke.protocol import dialect as dialects

# What a call may keep; of longer streams, bytes that were sent are dropped.
ANSWER_LIMIT_BYTES = 256 * 1024
# What all calls of a host may keep; beyond it nothing that was sent is kept.
STORE_LIMIT_BYTES = 4 * 1024 * 1024
# Time from the end of an answer in which it may be taken up: the silence
# after which a host is suspected, and some attempts over other paths.
KEEP_MS = 5_000
# Time in which an answer that was taken up may be taken up again. Short, as
# its caller may have left instead.
ABANDON_MS = 400
MS_PER_S = 1000


class TakeUp(msgspec.Struct, frozen=True):
    """Request for the rest of an answer, from byte ``offset`` of its body.

    ``host`` keeps the answer. A host of a third region passes the request on
    to it, once. ``recall_age_ms`` is the time since the call was sent, if it
    may be sent elsewhere unless it has begun.
    """

    host: ids.HostId
    token: str
    offset: int
    passed_on: bool = False
    recall_age_ms: int | None = None


class AnswerHead(msgspec.Struct, frozen=True):
    """Head of an answer; the body of a whole one is known with its head."""

    status: int
    fields: dialects.Fields
    is_whole: bool


class KeptAnswer:
    """The bytes of one answer, while it is made and for a time afterwards.

    Has one reader at a time: attaching another ends the one before.
    ``size_bytes`` is what has been made, ``sent_bytes`` what the reader has
    passed on.
    """

    def __init__(self, store: 'AnswerStore', token: str):
        self._store = store
        self.token = token
        self.head: AnswerHead | None = None
        self._data = bytearray()
        self._first = 0
        self.size_bytes = 0
        self.sent_bytes = 0
        self.ended = False
        self.failed = False
        self.production: asyncio.Task | None = None
        self._reader: object | None = None
        self._changed = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait(
        self, condition: collections.abc.Callable[[], bool]
    ) -> None:
        """Wait until a condition of this answer holds."""
        while not condition():
            await self._changed.wait()

    # What the call's server does.

    def set_head(self, head: AnswerHead) -> None:
        """Set the head, before any byte of the body."""
        self.head = head
        self._notify()

    async def append(self, data: bytes) -> None:
        """Add to the body; waits while too much of it is not yet sent."""
        self._trim(len(data))
        if self._exceeds(len(data)) and self._data:
            await self.wait(lambda: self._trim(len(data)) or not self._data)
        self._data += data
        self.size_bytes += len(data)
        self._store.bytes_kept += len(data)
        self._notify()

    def _exceeds(self, added_bytes: int) -> bool:
        limit_bytes = ANSWER_LIMIT_BYTES if self._store.has_room() else 0
        return len(self._data) + added_bytes > limit_bytes

    def _trim(self, added_bytes: int) -> bool:
        """Drop sent bytes if needed; return whether there is room."""
        sent = self.sent_bytes - self._first
        if self._exceeds(added_bytes) and sent > 0:
            del self._data[:sent]
            self._first += sent
            self._store.bytes_kept -= sent
        return not self._exceeds(added_bytes)

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self._store.expire(self, KEEP_MS)
        self._notify()

    def fail(self) -> None:
        """Mark the answer as one that will never be complete."""
        if self.ended or self.failed:
            return
        self.failed = True
        self._store.expire(self, 0)
        self._notify()

    # What a reader does.

    def can_read_from(self, offset: int) -> bool:
        """Return whether the bytes from an offset on are still here."""
        return self._first <= offset <= self.size_bytes

    def attach(self, offset: int) -> object:
        """Return the mark of a new reader, and end the one before."""
        self._reader = object()
        self.sent_bytes = offset
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._notify()
        return self._reader

    def is_attached(self, reader: object) -> bool:
        """Return whether a reader is the current one."""
        return self._reader is reader

    async def next_chunk(self, reader: object) -> bytes | None:
        """Return bytes to send on, None if the reader has to stop."""
        await self.wait(
            lambda: (
                not self.is_attached(reader)
                or self.size_bytes > self.sent_bytes
                or self.ended
                or self.failed
            )
        )
        if not self.is_attached(reader):
            return None
        return bytes(self._data[self.sent_bytes - self._first :]) or None

    def mark_sent(self, reader: object, count: int) -> None:
        """Record that the reader has passed bytes on."""
        if not self.is_attached(reader):
            return
        self.sent_bytes += count
        if self.is_complete(reader) and len(self._data) > ANSWER_LIMIT_BYTES:
            self._store.expire(self, 0)
        self._notify()

    @property
    def is_unsent(self) -> bool:
        """Return whether a reader has yet to pass on what is complete."""
        return (
            self._reader is not None
            and self.ended
            and self.sent_bytes < self.size_bytes
        )

    def is_complete(self, reader: object) -> bool:
        """Return whether the reader has passed on everything."""
        return (
            self.is_attached(reader)
            and self.ended
            and self.sent_bytes == self.size_bytes
        )

    def detach(self, reader: object, delay_ms: int) -> None:
        """Cancel the call if no other reader comes within a time."""
        if not self.is_attached(reader):
            return
        self._reader = None
        if self.ended or self.failed:
            return
        if not delay_ms:
            self.abandon()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / MS_PER_S, self.abandon)

    def abandon(self) -> None:
        """Cancel the call, as nobody waits for its answer."""
        if self.production is not None:
            self.production.cancel()

    def release(self) -> None:
        """Give up the bytes."""
        self._store.bytes_kept -= len(self._data)
        self._first += len(self._data)
        self._data.clear()


class AnswerStore:
    """The answers that a host keeps, by token."""

    def __init__(self):
        self.bytes_kept = 0
        self._answers: dict[str, KeptAnswer] = {}

    def has_room(self) -> bool:
        """Return whether bytes that were sent may be kept."""
        return self.bytes_kept < STORE_LIMIT_BYTES

    def open(self, token: str | None) -> KeptAnswer | None:
        """Return a new answer to keep, None if it can't be kept."""
        if token is None or token in self._answers or not self.has_room():
            return None
        answer = self._answers[token] = KeptAnswer(self, token)
        return answer

    def find(self, token: str) -> KeptAnswer | None:
        """Return the answer of a token, None if it is not known here."""
        return self._answers.get(token)

    def expire(self, answer: KeptAnswer, delay_ms: int) -> None:
        """Forget an answer after a time."""
        loop = asyncio.get_running_loop()
        loop.call_later(delay_ms / MS_PER_S, self._forget, answer)

    def _forget(self, answer: KeptAnswer) -> None:
        if self._answers.pop(answer.token, None) is not None:
            answer.release()

    def has_unsent(self) -> bool:
        """Return whether complete answers are still being sent."""
        return any(answer.is_unsent for answer in self._answers.values())

    async def close(self) -> None:
        """Cancel the calls whose answers are being made."""
        for answer in list(self._answers.values()):
            answer.abandon()
            if answer.production is not None:
                await asyncio.wait([answer.production])

"""Typed calls between hosts, and the table of who answers which."""

import collections.abc
import typing

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke.protocol import errors
from wrenspoke.protocol import limiting
from wrenspoke.protocol import messages
from wrenspoke.protocol import quarantining
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import links

logger = structlog.get_logger(__name__)

Message = typing.Union[
    messages.Message,
    attending.Attend,
    attending.Attended,
    attending.Exchange,
    attending.Exchanged,
    attending.ConfirmIndex,
    attending.IndexConfirmed,
    attending.TellRegion,
    attending.TellSent,
    attending.Withdraw,
    attending.EndpointLeaves,
    limiting.AskShares,
    limiting.SharesGranted,
    limiting.AskAmount,
    limiting.AmountGranted,
    limiting.AskSend,
    limiting.SendAnswered,
    limiting.LimitHeard,
    quarantining.RunsEnded,
    quarantining.RunsNoted,
    quarantining.HoldOff,
    quarantining.HoldTaken,
]
Answerer = collections.abc.Callable[
    [ids.HostId, Message],
    collections.abc.Awaitable[Message | None],
]


class Peers:
    """Call other hosts with messages and answer theirs."""

    def __init__(
        self,
        identity: links.Identity,
        peers: collections.abc.Iterable[links.Peer],
        clock: clocks.Clock,
        silence: links.HeartbeatOptions = links.HeartbeatOptions(),
        noted: links.SendListener | None = None,
    ):
        self._answerers: dict[type, Answerer] = {}
        self._decoder = msgspec.msgpack.Decoder(Message)
        self._encoder = msgspec.msgpack.Encoder()
        self.links = links.Links(
            identity, peers, clock, self._handle, silence, noted
        )

    def answers(
        self, kind: type
    ) -> collections.abc.Callable[[Answerer], Answerer]:
        """Return a decorator that registers who answers a message."""

        def register(answerer: Answerer) -> Answerer:
            self._answerers[kind] = answerer
            return answerer

        return register

    async def call(
        self, host: ids.HostId, message: Message, timeout_ms: float
    ) -> Message:
        """Send a message and return the answer.

        :raises NoAnswerError: none came in time
        :raises MalformedMessageError: the answer can't be read
        """
        try:
            body = await self.links.call(
                host, self._encoder.encode(message), timeout_ms
            )
        except transport_errors.NotSentError as error:
            raise errors.NoAnswerError(host, sent=False) from error
        except transport_errors.TransportError as error:
            raise errors.NoAnswerError(host, sent=True) from error
        return self._decode(body)

    async def tell(self, host: ids.HostId, message: Message) -> int:
        """Send a message that has no answer; return the bytes sent.

        It may be lost.
        """
        return await self.links.send_oneway(
            host, self._encoder.encode(message)
        )

    def _decode(self, body: bytes) -> Message:
        try:
            return self._decoder.decode(body)
        except msgspec.DecodeError as error:
            raise errors.MalformedMessageError(str(error)) from error

    async def _handle(self, sender: ids.HostId, body: bytes) -> bytes | None:
        try:
            message = self._decode(body)
        except errors.MalformedMessageError as error:
            logger.warning('message_refused', reason=str(error), peer=sender)
            return None
        answerer = self._answerers.get(type(message))
        if answerer is None:
            answer = messages.Refusal('not answered on this host')
        else:
            answer = await answerer(sender, message)
        return None if answer is None else self._encoder.encode(answer)

"""Typed messages between hosts, and their handlers."""

import collections.abc
import typing

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke import ids
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import errors
from wrenspoke.protocol import limiting
from wrenspoke.protocol import messages
from wrenspoke.protocol import quarantining
from wrenspoke.protocol import resuming
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import links

logger = structlog.get_logger(__name__)

Message = typing.Union[
    messages.Message,
    discovery_messages.Attend,
    discovery_messages.AttendReply,
    discovery_messages.Exchange,
    discovery_messages.ExchangeReply,
    discovery_messages.ConfirmIndex,
    discovery_messages.ConfirmIndexReply,
    discovery_messages.RegionGossip,
    discovery_messages.ReportSentCalls,
    discovery_messages.WithdrawEndpoint,
    discovery_messages.ReportLeaving,
    limiting.AskShares,
    limiting.AskSharesReply,
    limiting.AskAmount,
    limiting.AskAmountReply,
    limiting.AskSend,
    limiting.AskSendReply,
    limiting.ReportLimit,
    quarantining.ReportCrashes,
    quarantining.ReportCrashesReply,
    quarantining.FindSuccesses,
    quarantining.FindSuccessesReply,
    quarantining.RequestTrial,
    quarantining.RequestTrialReply,
    quarantining.UpdateHolds,
    quarantining.UpdateHoldsReply,
    resuming.StoreBuild,
    resuming.StoreBuildReply,
    resuming.FindBuild,
    resuming.FindBuildReply,
]
MessageHandler = collections.abc.Callable[
    [ids.HostId, Message],
    collections.abc.Awaitable[Message | None],
]


class Peers:
    """Sends messages to other hosts and dispatches received ones."""

    def __init__(
        self,
        identity: links.Identity,
        peers: collections.abc.Iterable[links.Peer],
        clock: clocks.Clock,
        silence: links.HeartbeatOptions = links.HeartbeatOptions(),
        noted: links.SendListener | None = None,
    ):
        self._handlers: dict[type, MessageHandler] = {}
        self._decoder = msgspec.msgpack.Decoder(Message)
        self._encoder = msgspec.msgpack.Encoder()
        self.links = links.Links(
            identity, peers, clock, self._on_message, silence, noted
        )

    def handles(
        self, kind: type
    ) -> collections.abc.Callable[[MessageHandler], MessageHandler]:
        """Return a decorator that registers the handler of a message."""

        def register(handler: MessageHandler) -> MessageHandler:
            self._handlers[kind] = handler
            return handler

        return register

    async def call(
        self, host: ids.HostId, message: Message, timeout_ms: float
    ) -> Message:
        """Send a message and return the reply.

        :raises NoResponseError: the host did not reply in time
        :raises MalformedMessageError: the reply can't be decoded
        """
        try:
            body = await self.links.call(
                host, self._encoder.encode(message), timeout_ms
            )
        except transport_errors.NotSentError as error:
            raise errors.NoResponseError(host, sent=False) from error
        except transport_errors.TransportError as error:
            raise errors.NoResponseError(host, sent=True) from error
        return self._decode(body)

    async def send_oneway(self, host: ids.HostId, message: Message) -> int:
        """Send a message without a reply; return the bytes sent.

        The message may be lost.
        """
        return await self.links.send_oneway(
            host, self._encoder.encode(message)
        )

    def _decode(self, body: bytes) -> Message:
        try:
            return self._decoder.decode(body)
        except msgspec.DecodeError as error:
            raise errors.MalformedMessageError(str(error)) from error

    async def _on_message(
        self, sender: ids.HostId, body: bytes
    ) -> bytes | None:
        try:
            message = self._decode(body)
        except errors.MalformedMessageError as error:
            logger.warning('message_refused', reason=str(error), peer=sender)
            return None
        handler = self._handlers.get(type(message))
        if handler is None:
            answer = messages.Refusal('not answered on this host')
        else:
            answer = await handler(sender, message)
        return None if answer is None else self._encoder.encode(answer)

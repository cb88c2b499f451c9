"""Peers that answer or fail at once, as hosts near by, stopped or faulty do.

A loop that relies on its peers to take time never waits with them.
"""

import asyncio
import enum
import itertools
import random
import typing

import msgspec

from wrenspoke.coordination.agreement import bootstrap
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import errors
from wrenspoke.protocol import limiting
from wrenspoke.protocol import messages
from wrenspoke.protocol import quarantining
from wrenspoke.protocol import resuming

REPLIES = {
    messages.PullConfiguration: messages.ConfigurationDelta,
    messages.AskLeases: messages.Leases,
    messages.Ping: messages.Pong,
    messages.Prepare: messages.LedgerVote,
    messages.Accept: messages.LedgerVote,
    messages.RecoverLedger: messages.RecoverLedgerReply,
    messages.Hello: messages.HelloReply,
    messages.RequestVote: messages.VoteReply,
    messages.AppendEntries: messages.AppendReply,
    messages.InstallSnapshot: messages.AppendReply,
    discovery_messages.Attend: discovery_messages.AttendReply,
    discovery_messages.Exchange: discovery_messages.ExchangeReply,
    discovery_messages.ConfirmIndex: discovery_messages.ConfirmIndexReply,
    limiting.AskShares: limiting.AskSharesReply,
    limiting.AskAmount: limiting.AskAmountReply,
    limiting.AskSend: limiting.AskSendReply,
    quarantining.ReportCrashes: quarantining.ReportCrashesReply,
    quarantining.FindSuccesses: quarantining.FindSuccessesReply,
    quarantining.RequestTrial: quarantining.RequestTrialReply,
    quarantining.UpdateHolds: quarantining.UpdateHoldsReply,
    resuming.StoreBuild: resuming.StoreBuildReply,
    resuming.FindBuild: resuming.FindBuildReply,
}


class Replies:
    """Builds replies; ``draw`` returns whether a named field is true."""

    def __init__(self, draw):
        self._draw = draw

    def build(self, kind):
        """Return a reply: texts and lists are empty, numbers 0 or 1."""
        hints = typing.get_type_hints(kind, include_extras=True)
        return kind(
            **{
                field.name: self._value(field.name, hints[field.name])
                for field in msgspec.structs.fields(kind)
                if field.required or hints[field.name] is bool
            }
        )

    def _value(self, name, kind):
        origin = typing.get_origin(kind)
        if origin is typing.Annotated:
            return self._value(name, typing.get_args(kind)[0])
        if origin is not None and type(None) in typing.get_args(kind):
            return None
        kind = getattr(kind, '__supertype__', kind)
        kind = origin or kind
        if kind in (bool, int, float):
            return kind(self._draw(name))
        if issubclass(kind, msgspec.Struct):
            return self.build(kind)
        if issubclass(kind, enum.Enum):
            return next(iter(kind))
        return kind()


async def drop(_host, _message):
    """Send a message to nobody."""
    return 0


async def absent(host, _message, _timeout_ms):
    await asyncio.sleep(0)
    raise errors.NoResponseError(host, sent=False)


async def silent(host, _message, timeout_ms):
    await asyncio.sleep(timeout_ms / 1000)
    raise errors.NoResponseError(host, sent=True)


async def refusing(_host, _message, _timeout_ms):
    await asyncio.sleep(0)
    return messages.Refusal('not answered on this host')


def answering(draw):
    """Return calls that are answered at once."""
    replies = Replies(draw)

    async def call(host, message, timeout_ms):
        kind = REPLIES.get(type(message))
        if kind is None:
            return await refusing(host, message, timeout_ms)
        await asyncio.sleep(0)
        return replies.build(kind)

    return call


def restarting():
    """Return calls that are answered by another process each time."""
    numbers = itertools.count()
    answer = answering(lambda _name: False)

    async def call(host, message, timeout_ms):
        reply = await answer(host, message, timeout_ms)
        for name in ('life', 'incarnation'):
            if hasattr(reply, name):
                setattr(reply, name, f'{name}-{next(numbers)}')
        return reply

    return call


def drawn(seed):
    """Return calls that are answered at once with drawn values."""
    source = random.Random(seed)
    return answering(lambda _name: source.random() < 0.5)


def following(matches):
    """Return calls of control hosts that vote for this one at once.

    ``matches`` returns for each message whether they have its entries.
    """
    refuse = answering(lambda _name: False)

    async def call(host, message, timeout_ms):
        disk = bootstrap._bootstrap_incarnation(host)
        if isinstance(message, messages.RequestVote):
            return messages.VoteReply(message.term, True, disk)
        if isinstance(message, messages.AppendEntries):
            await asyncio.sleep(0)
            last = message.previous_index + len(message.added)
            return messages.AppendReply(message.term, matches(), last, disk)
        return await refuse(host, message, timeout_ms)

    return call

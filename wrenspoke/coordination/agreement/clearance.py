"""Make sure that a control host's disk is not an old copy of itself.

A disk counts its starts. Each start is told to the other control hosts,
who remember it on their own disks; a disk that comes with a number that
they have seen under another start has forgotten what it promised, and
becomes a new one. Until a majority has taken note, it gives no vote.
"""

from __future__ import annotations

import asyncio
import collections.abc
import typing

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import lead
from wrenspoke.coordination.membership import controls
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke.state import storage

if typing.TYPE_CHECKING:
    from wrenspoke import settings

logger = structlog.get_logger(__name__)

HELLO_INTERVAL_MS = 200


class Clearance:
    """Tell the others of this start, and remember theirs."""

    def __init__(
        self,
        kept: storage.Storage,
        group: controls.ControlGroup,
        peers: peer_calls.Peers,
        limits: settings.ControlSettings,
        clock: clocks.Clock,
    ):
        self._storage = kept
        self._group = group
        self._peers = peers
        self._settings = limits
        self._clock = clock
        self._start = ids.new_unique()
        self.given = False
        kept.meta.boot += 1
        kept.save_meta()
        peers.answers(messages.Hello)(self._answer_hello)

    async def _call(
        self, host: ids.HostId, message: messages.Hello
    ) -> messages.Message | None:
        try:
            return await self._peers.call(
                host, message, self._settings.election_timeout_ms / 2
            )
        except protocol_errors.ProtocolError:
            return None

    async def obtain(
        self, become_new: collections.abc.Callable[[], None]
    ) -> None:
        """Make sure that this disk is no old copy of itself.

        ``become_new`` is called if it was one, and now holds nothing.
        """
        while not self.given:
            await self._say_hello(become_new)
            if not self.given:
                await self._clock.sleep_ms(HELLO_INTERVAL_MS)

    async def _say_hello(
        self, become_new: collections.abc.Callable[[], None]
    ) -> None:
        meta = self._storage.meta
        message = messages.Hello(meta.incarnation, meta.boot, self._start)
        voters = self._storage.voters()
        others = {*self._group.others(), *voters} - {self._group.host}
        answers = await asyncio.gather(
            *(self._call(host, message) for host in others)
        )
        heard = 1 if meta.incarnation in voters.values() else 0
        for host, answer in zip(others, answers):
            if not isinstance(answer, messages.HelloReply):
                continue
            if answer.known_boot >= meta.boot:
                # Some other start of this disk had this number already.
                logger.error(
                    'old_disk',
                    boot=meta.boot,
                    known_boot=answer.known_boot,
                    told_by=host,
                )
                self._storage.forget_all()
                meta = self._storage.meta
                meta.boot = 1
                self._storage.save_meta()
                become_new()
                return
            heard += host in voters
        if not voters or heard >= lead.majority(voters):
            self.given = True
            logger.info(
                'cleared', incarnation=meta.incarnation, boot=meta.boot
            )

    async def _answer_hello(
        self, sender: ids.HostId, message: messages.Hello
    ) -> messages.HelloReply:
        self._group.hear(sender)
        boots = self._storage.meta.boots
        known = boots.get(message.incarnation, (0, ''))
        heard = (message.boot, message.start)
        if known == heard:
            return messages.HelloReply(0)
        if message.boot > known[0]:
            boots[message.incarnation] = heard
            self._storage.save_meta()
        return messages.HelloReply(known[0])

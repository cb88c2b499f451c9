"""Detection of control host disks that were restored from an old copy.

Every disk counts its starts, and each start is reported to the other control
hosts, which persist it. If they have already stored the same count for a
different start, the disk was rolled back and may have lost votes: it is
wiped and gets a new incarnation. The host grants no vote until a majority has
acknowledged its start.
"""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import typing

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import control_group
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import messages
from wrenspoke.protocol import peers as peer_calls
from wrenspoke.state import errors as state_errors
from wrenspoke.state import storage

if typing.TYPE_CHECKING:
    from wrenspoke import settings

logger = structlog.get_logger(__name__)

HELLO_INTERVAL_MS = 200


class RollbackCheck:
    """Reports this start to the other control hosts and stores theirs."""

    def __init__(
        self,
        store: storage.Storage,
        group: control_group.ControlGroup,
        peers: peer_calls.Peers,
        control_settings: settings.ControlSettings,
        clock: clocks.Clock,
    ):
        self._storage = store
        self._group = group
        self._peers = peers
        self._settings = control_settings
        self._clock = clock
        self._start_id = ids.new_random_id()
        self._start_counted = False
        self.passed = False
        with contextlib.suppress(state_errors.DiskFullError):
            self._count_start()
        peers.handles(messages.Hello)(self._handle_hello)

    async def _call(
        self, host: ids.HostId, message: messages.Hello
    ) -> messages.Message | None:
        try:
            return await self._peers.call(
                host, message, self._settings.election_timeout_ms / 2
            )
        except protocol_errors.ProtocolError:
            return None

    async def wait_until_passed(
        self, on_rollback: collections.abc.Callable[[], None]
    ) -> None:
        """Report this start until a majority has acknowledged it.

        :param on_rollback: called after the disk was found to be rolled back
            and was wiped
        """
        while not self.passed:
            # A full disk is retried until there is space.
            with contextlib.suppress(state_errors.DiskFullError):
                if not self._start_counted:
                    self._count_start()
                await self._send_hello(on_rollback)
            if not self.passed:
                await self._clock.sleep_ms(HELLO_INTERVAL_MS)

    def _count_start(self) -> None:
        """Increment the start count on the disk.

        :raises DiskFullError: the count was not persisted
        """
        self._storage.meta.boot += 1
        self._storage.save_meta()
        self._start_counted = True

    async def _send_hello(
        self, on_rollback: collections.abc.Callable[[], None]
    ) -> None:
        meta = self._storage.meta
        message = messages.Hello(meta.incarnation, meta.boot, self._start_id)
        electorate = self._storage.electorate()
        known = {*self._group.other_hosts(), *electorate.hosts}
        others = sorted(known - {self._group.host})
        answers = await asyncio.gather(
            *(self._call(host, message) for host in others)
        )
        acknowledged = set()
        for host, answer in zip(others, answers):
            if not isinstance(answer, messages.HelloReply):
                continue
            if answer.known_boot >= meta.boot:
                # The peer has stored this count for another start.
                logger.error(
                    'old_disk',
                    boot=meta.boot,
                    known_boot=answer.known_boot,
                    told_by=host,
                )
                self._storage.reset_identity()
                on_rollback()
                self._storage.meta.boot = 1
                self._storage.save_meta()
                return
            acknowledged.add(host)

        def has_acknowledged(host: ids.HostId, disk: ids.Incarnation) -> int:
            return int(host in acknowledged or disk == meta.incarnation)

        if not electorate.voters or electorate.majority_value(
            has_acknowledged
        ):
            self.passed = True
            logger.info(
                'cleared', incarnation=meta.incarnation, boot=meta.boot
            )

    async def _handle_hello(
        self, sender: ids.HostId, message: messages.Hello
    ) -> messages.HelloReply | messages.Refusal:
        self._group.record_contact(sender)
        boots = self._storage.meta.boots
        known = boots.get(message.incarnation, (0, ''))
        reported = (message.boot, message.start)
        if known == reported:
            return messages.HelloReply(0)
        if message.boot > known[0]:
            boots[message.incarnation] = reported
            try:
                self._storage.save_meta()
            except state_errors.DiskFullError as error:
                return messages.Refusal(str(error))
        return messages.HelloReply(known[0])

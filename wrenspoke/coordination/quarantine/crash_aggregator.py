"""Aggregation of crash reports and quarantine decisions on control hosts.

Every control host receives the crash reports of all entry hosts. Each one
immediately sends holds to the entry hosts of its region, and the leader to
those of all regions. The leader then commits the decision, so that it
survives power loss and reaches every host that restarts, resumes or rejoins
after a partition.
"""

import asyncio
import collections.abc
import typing

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.quarantine import crash_history
from wrenspoke.coordination.quarantine import hold_durations
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import peers as peer_calls
from wrenspoke.protocol import quarantining
from wrenspoke import runtime
from wrenspoke.state import configuration
from wrenspoke.state import entries
from wrenspoke.state import quarantine
from wrenspoke.state import replicated

logger = structlog.get_logger(__name__)

# Holds last minutes, so expired ones need not be found faster.
CHECK_INTERVAL_MS = 1_000
# Two inter-region round trips of up to 160 ms each: time for hosts that
# completed the request recently to object before it is quarantined. It is held
# meanwhile.
OBJECTION_WINDOW_MS = 350
CALL_TIMEOUT_MS = 1_000
# Without a leader provisional holds expire. The next crash then renews the
# hold on all hosts; otherwise each host would crash an endpoint.
RENOTIFY_INTERVAL_MS = hold_durations.PROVISIONAL_HOLD_MS // 2

# Returns the entry hosts of all regions (True) or of the local one (False).
ListEntryHosts = collections.abc.Callable[[bool], list[ids.HostId]]


class LocalVoter(typing.Protocol):
    """The local member of the control group, which commits entries."""

    @property
    def has_lease(self) -> bool:
        """Return whether this host is leader and holds the lease."""

    async def propose(self, entry: entries.Entry) -> replicated.ApplyResult:
        """Append an entry and return the result once it is applied.

        :raises NotLeaderError: this host is not leader, or lost leadership
        """


class CrashAggregator:
    """Counts reported crashes and quarantines the requests behind them."""

    def __init__(
        self,
        local_voter: LocalVoter,
        config_replica: replica.Replica,
        list_entry_hosts: ListEntryHosts,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._local_voter = local_voter
        self._replica = config_replica
        self._list_entry_hosts = list_entry_hosts
        self._peers = peers
        self._clock = clock
        self._instance_id = ids.new_random_id()
        self._crash_history = crash_history.CrashHistory(clock)
        # Requests over the threshold without a committed decision, with the
        # time at which entry hosts were last notified.
        self._notified_ms: dict[ids.ContentDigest, int] = {}
        # Quarantined requests that completed and are to be released.
        self._pending_releases: set[ids.ContentDigest] = set()
        # Committed decisions, with the time at which they were applied here.
        self._decided_ms: dict[quarantine.QuarantineEntry, int] = {}
        self._proposing = False
        self._tasks = runtime.Tasks()
        peers.handles(quarantining.ReportCrashes)(self._handle_runs_ended)

    def start(self) -> None:
        """Start the task that proposes quarantine decisions."""
        self._tasks.start(self._watch_decisions())

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._tasks.close()

    async def _handle_runs_ended(
        self, _sender: ids.HostId, message: quarantining.ReportCrashes
    ) -> quarantining.ReportCrashesReply:
        now_ms = self._clock.mono_ms()
        for digest in message.cleared:
            self._handle_success(digest)
        new_holds = []
        for end in message.ends:
            if self._record_crash(end, now_ms):
                new_holds.append(self._make_hold(end.digest))
        if new_holds:
            self._tasks.start(self._notify_entry_hosts(new_holds), fatal=False)
            self._tasks.start(self._propose_after_objections())
        reported = {end.digest for end in message.ends}
        return quarantining.ReportCrashesReply(
            self._instance_id,
            [self._make_hold(one) for one in reported if self._is_held(one)],
        )

    def _record_crash(
        self, end: quarantining.EndpointCrash, now_ms: int
    ) -> bool:
        """Record a crash; return whether entry hosts must be notified."""
        if quarantine.blocking_entry(self._quarantine, end.digest) is not None:
            # The request was sent before the hold reached that host.
            return False
        self._crash_history.record_crash(
            end.digest, end.endpoint, now_ms - end.age_ms
        )
        crashes = self._crash_count(end.digest)
        if crashes < crash_history.CRASH_THRESHOLD:
            return False
        notified_ms = self._notified_ms.get(end.digest)
        if (
            notified_ms is not None
            and now_ms - notified_ms < RENOTIFY_INTERVAL_MS
        ):
            return False
        logger.warning(
            'request_crashes_endpoints',
            digest=end.digest,
            ends=crashes,
            endpoint=end.endpoint,
        )
        self._notified_ms[end.digest] = now_ms
        return True

    @property
    def _quarantine(self) -> quarantine.Quarantine:
        """Return the committed decisions applied on this host."""
        return self._replica.current.quarantine

    def _crash_count(self, digest: ids.ContentDigest) -> int:
        """Return the crashes of a request, including those before a trial."""
        decided = self._quarantine.get(digest)
        earlier_crashes = 0 if decided is None else decided.ends
        return earlier_crashes + self._crash_history.crash_count(digest)

    def _is_held(self, digest: ids.ContentDigest) -> bool:
        if digest in self._notified_ms:
            return True
        return quarantine.blocking_entry(self._quarantine, digest) is not None

    def _make_hold(self, digest: ids.ContentDigest) -> quarantining.Hold:
        crashes = self._crash_count(digest)
        return quarantining.Hold(
            digest, crashes, hold_durations.hold_duration_ms(crashes)
        )

    def _handle_success(self, digest: ids.ContentDigest) -> None:
        """Clear a request that an endpoint has completed."""
        self._crash_history.clear(digest)
        if self._notified_ms.pop(digest, None) is not None:
            logger.info('request_cleared', digest=digest)
            self._tasks.start(
                self._notify_entry_hosts([], [digest]), fatal=False
            )
        if digest in self._quarantine:
            self._pending_releases.add(digest)

    # Notification of entry hosts.

    async def _notify_entry_hosts(
        self,
        new_holds: list[quarantining.Hold],
        released: collections.abc.Iterable[ids.ContentDigest] = (),
    ) -> None:
        message = quarantining.UpdateHolds(new_holds, list(released))
        hosts = self._list_entry_hosts(self._local_voter.has_lease)
        await asyncio.gather(
            *(self._notify_entry_host(host, message) for host in hosts)
        )

    async def _notify_entry_host(
        self, host: ids.HostId, message: quarantining.UpdateHolds
    ) -> None:
        try:
            answer = await self._peers.call(host, message, CALL_TIMEOUT_MS)
        except protocol_errors.ProtocolError as error:
            logger.info(
                'hold_notification_failed', peer=host, reason=str(error)
            )
            return
        if isinstance(answer, quarantining.UpdateHoldsReply):
            for digest in answer.cleared:
                self._handle_success(digest)

    # Decisions.

    async def _propose_after_objections(self) -> None:
        await self._clock.sleep_ms(OBJECTION_WINDOW_MS)
        await self._propose_if_leader()

    async def _watch_decisions(self) -> None:
        """Propose due decisions periodically and after each new one."""
        while True:
            changed = self._replica.changed
            self._sync_decisions()
            await self._propose_if_leader()
            try:
                async with clocks.timeout_ms(CHECK_INTERVAL_MS):
                    await changed.wait()
            except TimeoutError:
                continue

    def _sync_decisions(self) -> None:
        """Follow new committed decisions, and notify hosts of releases."""
        current = self._quarantine
        for decision in current.values():
            if decision not in self._decided_ms:
                self._decided_ms[decision] = self._clock.mono_ms()
            if not decision.on_probation:
                # The decision includes these; later crashes are of a trial.
                self._crash_history.clear(decision.digest)
                self._notified_ms.pop(decision.digest, None)
        released = []
        for known in list(self._decided_ms):
            if current.get(known.digest) == known:
                continue
            del self._decided_ms[known]
            if known.digest not in current:
                self._crash_history.clear(known.digest)
                released.append(known.digest)
        self._pending_releases &= current.keys()
        for digest in list(self._notified_ms):
            if self._crash_count(digest) < crash_history.CRASH_THRESHOLD:
                # Its crashes expired before a decision was committed.
                del self._notified_ms[digest]
        if released:
            self._tasks.start(
                self._notify_entry_hosts([], released), fatal=False
            )

    async def _propose_if_leader(self) -> None:
        """Commit all due decisions in one entry if this host is leader."""
        if not self._local_voter.has_lease or self._proposing:
            return
        self._proposing = True
        try:
            await self._propose_due()
        finally:
            self._proposing = False

    async def _propose_due(self) -> None:
        now_ms = self._clock.mono_ms()
        decisions = [
            quarantine.QuarantineEntry(digest, self._crash_count(digest))
            for digest, notified_ms in self._notified_ms.items()
            if now_ms - notified_ms >= OBJECTION_WINDOW_MS
        ]
        decisions += self._due_for_probation(now_ms)
        if not decisions and not self._pending_releases:
            return
        change = configuration.SetQuarantine(
            tuple(decisions), tuple(self._pending_releases)
        )
        try:
            await self._local_voter.propose(entries.SetQuarantine(change))
        except errors.NotLeaderError as error:
            logger.info('quarantine_proposal_failed', reason=str(error))
            return
        self._sync_decisions()
        for digest in change.cleared:
            logger.info('quarantine_released', digest=digest)
        for decision in decisions:
            logger.warning(
                'quarantine_changed',
                digest=decision.digest,
                ends=decision.ends,
                on_probation=decision.on_probation,
            )

    def _due_for_probation(
        self, now_ms: int
    ) -> list[quarantine.QuarantineEntry]:
        """Return expired quarantines as new decisions on probation."""
        due = []
        for decision, since_ms in self._decided_ms.items():
            if (
                decision.on_probation
                or decision.digest in self._pending_releases
            ):
                continue
            if now_ms - since_ms < hold_durations.hold_duration_ms(
                decision.ends
            ):
                continue
            due.append(msgspec.structs.replace(decision, on_probation=True))
        return due

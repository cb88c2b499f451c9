"""Aggregation of crash reports and quarantine decisions on control hosts.

Every control host receives the crash reports of all entry hosts. The leader
asks all entry hosts whether suspected content completed there, and otherwise
sends them a hold. It then commits the decision, so that it survives power loss
and reaches every host that restarts, resumes or rejoins after a partition.
Control hosts without a leader do the same for the entry hosts of their region,
but can commit nothing; those with a leader act only if it does not.
"""

import asyncio
import collections.abc
import dataclasses
import typing

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.quarantine import crash_history
from wrenspoke.coordination.quarantine import hold_durations
from wrenspoke.coordination.quarantine import recent_successes
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
# How long reports of one crash arrive from the hosts of other regions. Content
# in flight elsewhere may have more crashes.
SETTLE_MS = 120
# Time after which a leader has committed its decision.
FOLLOWER_DELAY_MS = 1_200
# One inter-region round trip of up to 160 ms. Hosts that are frozen or cut off
# delay a hold by no more than this.
SUCCESS_QUERY_TIMEOUT_MS = 250
# Two inter-region round trips: time for hosts that completed the content
# recently to object before it is quarantined. It is held meanwhile.
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

    @property
    def has_leader(self) -> bool:
        """Return whether this host leads or has contact with the leader."""

    async def propose(self, entry: entries.Entry) -> replicated.ApplyResult:
        """Append an entry and return the result once it is applied.

        :raises NotLeaderError: this host is not leader, or lost leadership
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ProvisionalHold:
    """Time of the last notification of a hold, and the crash it is for."""

    notified_ms: int
    crash: crash_history.Crash


class CrashAggregator:
    """Counts reported crashes and quarantines the content behind them."""

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
        self._crash_history = crash_history.CrashHistory(
            clock, self._earlier_crashes
        )
        # Content that completed at some entry host.
        self._recent_successes = recent_successes.RecentSuccesses(clock)
        # Crashes whose culprits are to be found, and the task that does so.
        self._unsettled: dict[crash_history.Crash, None] = {}
        self._settle_task: asyncio.Task | None = None
        # Held digests without a committed decision.
        self._provisional: dict[ids.ContentDigest, ProvisionalHold] = {}
        # Quarantined content that is to be released.
        self._pending_releases: set[ids.ContentDigest] = set()
        # Committed decisions, with the time at which they were applied here.
        self._decided_ms: dict[quarantine.QuarantineEntry, int] = {}
        self._proposing = False
        self._tasks = runtime.Tasks()
        # The request that is the trial of a digest, and until when.
        self._trials: dict[ids.ContentDigest, tuple[ids.RequestId, int]] = {}
        peers.handles(quarantining.ReportCrashes)(self._handle_runs_ended)
        peers.handles(quarantining.RequestTrial)(self._decide_trial)

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
        for end in message.ends:
            self._record_crash(end, now_ms)
        reported = {digest for end in message.ends for digest in end.digests}
        return quarantining.ReportCrashesReply(
            self._instance_id,
            [self._make_hold(one) for one in reported if self._is_held(one)],
        )

    def _record_crash(
        self, end: quarantining.EndpointCrash, now_ms: int
    ) -> None:
        """Record a crash, and look for its culprits once it has settled."""
        suspects = self._recent_successes.without_recent(end.digests)
        if not suspects:
            return
        crash = self._crash_history.record_crash(
            suspects, end.endpoint, now_ms - end.age_ms
        )
        if crash in self._unsettled or not (
            self._crash_history.may_have_culprit(suspects)
            and self._new_culprits(crash)
        ):
            return
        self._unsettled[crash] = None
        if self._settle_task is None or self._settle_task.done():
            self._settle_task = self._tasks.start(
                self._hold_culprits(), fatal=False
            )

    def _new_culprits(
        self, crash: crash_history.Crash
    ) -> list[ids.ContentDigest]:
        """Return the culprits of a crash that entry hosts do not hold yet."""
        now_ms = self._clock.mono_ms()
        found = []
        for digest in self._crash_history.find_culprits(crash):
            if quarantine.blocking_entry(self._quarantine, digest) is not None:
                # The request was sent before the hold reached that host.
                continue
            held = self._provisional.get(digest)
            if (
                held is not None
                and now_ms - held.notified_ms < RENOTIFY_INTERVAL_MS
            ):
                continue
            found.append(digest)
        return found

    async def _hold_culprits(self) -> None:
        """Hold the culprits of crashes once all hosts have reported them."""
        while self._unsettled:
            if self._local_voter.has_leader and (
                not self._local_voter.has_lease
            ):
                await self._clock.sleep_ms(FOLLOWER_DELAY_MS)
            crashes, self._unsettled = self._unsettled, {}
            await self._clear_completed(crashes)
            await self._hold_culprits_of(crashes)

    async def _clear_completed(
        self, crashes: collections.abc.Collection[crash_history.Crash]
    ) -> None:
        """Clear possible culprits that completed on some entry host.

        Once the content that was asked about is cleared, other content may
        have the most crashes.
        """
        asked = self._leading_digests(crashes)
        await asyncio.gather(
            self._find_successes(asked), self._clock.sleep_ms(SETTLE_MS)
        )
        while unasked := self._leading_digests(crashes) - asked:
            asked |= unasked
            await self._find_successes(unasked)

    def _leading_digests(
        self, crashes: collections.abc.Iterable[crash_history.Crash]
    ) -> set[ids.ContentDigest]:
        """Return the digests with the most crashes that are not held yet."""
        return {
            digest
            for crash in crashes
            for digest in self._crash_history.leading_digests(crash)
            if not self._is_held(digest)
        }

    async def _hold_culprits_of(
        self, crashes: collections.abc.Iterable[crash_history.Crash]
    ) -> None:
        now_ms = self._clock.mono_ms()
        culprits = []
        for crash in crashes:
            for digest in self._new_culprits(crash):
                logger.warning(
                    'request_crashes_endpoints',
                    digest=digest,
                    ends=self._crash_history.crash_count(digest),
                    endpoint=crash.endpoint,
                )
                self._provisional[digest] = ProvisionalHold(now_ms, crash)
                self._crash_history.mark_culprit(digest)
                culprits.append(digest)
        if not culprits:
            return
        self._tasks.start(self._decide_after_objections())
        await self._notify_entry_hosts(
            [self._make_hold(digest) for digest in culprits],
            self._release_acquitted(),
        )

    def _release_acquitted(self) -> list[ids.ContentDigest]:
        """Release held content whose crashes are explained by others."""
        released = self._crash_history.acquitted()
        for digest in released:
            logger.info('request_acquitted', digest=digest)
            self._provisional.pop(digest, None)
            if digest in self._quarantine:
                self._pending_releases.add(digest)
        return released

    async def _find_successes(
        self,
        digests: collections.abc.Collection[ids.ContentDigest],
        everywhere: bool = False,
    ) -> None:
        """Ask entry hosts which content completed there, and clear it."""
        if not digests:
            return
        message = quarantining.FindSuccesses(sorted(digests))
        await asyncio.gather(
            *(
                self._find_successes_at(host, message)
                for host in self._list_entry_hosts(
                    everywhere or self._local_voter.has_lease
                )
            )
        )

    async def _find_successes_at(
        self, host: ids.HostId, message: quarantining.FindSuccesses
    ) -> None:
        try:
            answer = await self._peers.call(
                host, message, SUCCESS_QUERY_TIMEOUT_MS
            )
        except protocol_errors.ProtocolError as error:
            logger.info('success_query_failed', peer=host, reason=str(error))
            return
        if isinstance(answer, quarantining.FindSuccessesReply):
            for digest in answer.cleared:
                self._handle_success(digest)

    @property
    def _quarantine(self) -> quarantine.Quarantine:
        """Return the committed decisions applied on this host."""
        return self._replica.current.quarantine

    def _earlier_crashes(self, digest: ids.ContentDigest) -> int:
        return quarantine.decided_crashes(self._quarantine, digest)

    def _is_held(self, digest: ids.ContentDigest) -> bool:
        if digest in self._provisional:
            return True
        return quarantine.blocking_entry(self._quarantine, digest) is not None

    def _make_hold(self, digest: ids.ContentDigest) -> quarantining.Hold:
        crashes = self._crash_history.crash_count(digest)
        return quarantining.Hold(
            digest, crashes, hold_durations.hold_duration_ms(crashes)
        )

    def _handle_success(self, digest: ids.ContentDigest) -> None:
        """Clear content that an endpoint has completed."""
        self._recent_successes.add_success(digest)
        self._crash_history.clear(digest)
        if self._provisional.pop(digest, None) is not None:
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

    async def _decide_after_objections(self) -> None:
        await self._clock.sleep_ms(OBJECTION_WINDOW_MS)
        await self._release_unconfirmed()
        await self._propose_if_leader()

    async def _release_unconfirmed(self) -> None:
        """Release provisional holds that later reports do not confirm."""
        released = [
            digest
            for digest, held in self._provisional.items()
            if digest not in self._crash_history.find_culprits(held.crash)
        ]
        for digest in released:
            logger.info('request_acquitted', digest=digest)
            del self._provisional[digest]
            self._crash_history.unmark_culprit(digest)
        if released:
            await self._notify_entry_hosts([], released)

    async def _watch_decisions(self) -> None:
        """Propose due decisions periodically and after each new one."""
        while True:
            changed = self._replica.changed
            self._sync_decisions()
            await self._clear_provisional()
            await self._propose_if_leader()
            try:
                async with clocks.timeout_ms(CHECK_INTERVAL_MS):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _clear_provisional(self) -> None:
        """Clear held content that completes where it is not held."""
        await self._find_successes(self._provisional, everywhere=True)

    def _sync_decisions(self) -> None:
        """Follow new committed decisions, and notify hosts of releases."""
        current = self._quarantine
        for decision in current.values():
            if decision not in self._decided_ms:
                self._decided_ms[decision] = self._clock.mono_ms()
            if not decision.on_probation:
                # The decision includes these; later crashes are of a trial.
                self._crash_history.mark_decided(decision.digest)
                self._provisional.pop(decision.digest, None)
        released = []
        for known in list(self._decided_ms):
            if current.get(known.digest) == known:
                continue
            del self._decided_ms[known]
            if known.digest not in current:
                self._crash_history.clear(known.digest)
                released.append(known.digest)
        self._pending_releases &= current.keys()
        for digest in list(self._trials):
            if digest not in current or not current[digest].on_probation:
                del self._trials[digest]
        for digest in list(self._provisional):
            if (
                self._crash_history.crash_count(digest)
                < crash_history.CRASH_THRESHOLD
            ):
                # Its crashes expired before a decision was committed.
                del self._provisional[digest]
                self._crash_history.clear(digest)
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
            quarantine.QuarantineEntry(
                digest, self._crash_history.crash_count(digest)
            )
            for digest, held in self._provisional.items()
            if now_ms - held.notified_ms >= OBJECTION_WINDOW_MS
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

    async def _decide_trial(
        self, _sender: ids.HostId, message: quarantining.RequestTrial
    ) -> quarantining.RequestTrialReply:
        """Grant one trial at a time of content on probation, as leader."""
        entry = self._quarantine.get(message.digest)
        if entry is None or not entry.on_probation:
            return quarantining.RequestTrialReply(False)
        if not self._local_voter.has_lease:
            return quarantining.RequestTrialReply(False)
        now_ms = self._clock.mono_ms()
        request, until_ms = self._trials.get(message.digest, (None, 0))
        if now_ms < until_ms:
            # The host that a trial was forwarded to asks again.
            return quarantining.RequestTrialReply(request == message.request)
        self._trials[message.digest] = (
            message.request,
            now_ms + hold_durations.TRIAL_MS,
        )
        return quarantining.RequestTrialReply(True)

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

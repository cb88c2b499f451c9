"""Check before each send that a request is not quarantined.

A request that repeatedly crashes endpoints is held for some time, and so is
every request with a prompt part that does. Both are identified by digests of
their content, because each resend may have another request id and reach
another host. Committed decisions of the control hosts apply on all hosts;
until one is committed, provisional holds set by a control host apply, or by
this host if no control host has its reports.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.quarantine import crash_history
from wrenspoke.coordination.quarantine import crash_reporter as reporters
from wrenspoke.coordination.quarantine import hold_durations
from wrenspoke.coordination.quarantine import recent_successes
from wrenspoke.coordination.quarantine import run_tracker
from wrenspoke import ids
from wrenspoke.protocol import fingerprints
from wrenspoke.protocol import peers as peer_calls
from wrenspoke.protocol import quarantining
from wrenspoke import runtime
from wrenspoke.state import quarantine
from wrenspoke.transport import errors as transport_errors
from wrenspoke.transport import port_probe
from wrenspoke.transport import web

logger = structlog.get_logger(__name__)

# How long a broken call waits for the liveness probe before it is retried.
PROBE_WAIT_MS = 50
# How long reports of one crash arrive from other hosts.
SETTLE_MS = 120
# Bound on the size of a report.
MAX_REPORTED_PARTS = 256
# Lower bound of the retry delay sent to callers.
MIN_HOLD_RETRY_MS = 1_000
MS_PER_S = 1_000
OK = 200
SUCCESS_STATUSES = range(200, 300)
SERVER_ERROR = 500
# Bound on the tracked holds, for provisional and committed ones each.
MAX_HOLDS = quarantine.MAX_QUARANTINED

IsDraining = collections.abc.Callable[[ids.EndpointId], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveHold:
    """Hold that applies to a request, by its own digest or a part's."""

    digest: ids.ContentDigest
    left_ms: int


class Guard:
    """Tracks crashes during runs on this host, and holds their causes."""

    def __init__(
        self,
        config_replica: replica.Replica,
        reporter: reporters.CrashReporter,
        peers: peer_calls.Peers,
        is_draining: IsDraining,
        clock: clocks.Clock,
        probe: run_tracker.Probe = port_probe.is_connection_refused,
        has_control_hosts: bool = True,
    ):
        self._has_control_hosts = has_control_hosts
        self._replica = config_replica
        self._reporter = reporter
        self._is_draining = is_draining
        self._clock = clock
        self._run_tracker = run_tracker.RunTracker(clock, probe)
        self._crash_history = crash_history.CrashHistory(
            clock, self._earlier_crashes
        )
        # Crashes whose culprits are to be found, with the time by which other
        # hosts have reported them too.
        self._settling: dict[crash_history.Crash, int] = {}
        self._recent_successes = recent_successes.RecentSuccesses(clock)
        # Successes reported to all control hosts because one asked.
        self._reported_successes = recent_successes.RecentSuccesses(clock)
        # End of each provisional hold.
        self._provisional_until_ms: collections.OrderedDict[
            ids.ContentDigest, int
        ] = collections.OrderedDict()
        # When this host first saw each committed decision.
        self._decision_seen_ms: dict[quarantine.QuarantineEntry, int] = {}
        # The request that is the trial of a digest, and until when.
        self._trials: dict[
            ids.ContentDigest, tuple[ids.ContentDigest, int]
        ] = {}
        self._instance_id = ids.new_random_id()
        self._tasks = runtime.Tasks()
        self.refused_count = 0
        reporter.set_callbacks(self._hold_provisionally, self._handle_cleared)
        peers.handles(quarantining.UpdateHolds)(self._handle_hold_off)
        peers.handles(quarantining.FindSuccesses)(self._find_successes)
        peers.handles(quarantining.ReportCrashes)(self._collect_crash_reports)

    async def close(self) -> None:
        """Cancel all tasks, including those of the reporter."""
        await self._tasks.close()
        await self._reporter.close()

    # Holds.

    def find_hold(
        self, fingerprint: fingerprints.Fingerprint
    ) -> ActiveHold | None:
        """Return the longest hold on a request, None if it may be sent."""
        self._hold_culprits()
        if not self._provisional_until_ms and (
            not self._replica.current.quarantine
        ):
            return None
        longest = None
        for digest in fingerprint.digests:
            left_ms = self._remaining_hold_ms(digest, fingerprint.request)
            if left_ms is None:
                continue
            if longest is None or left_ms > longest.left_ms:
                longest = ActiveHold(digest, left_ms)
        return longest

    def remaining_hold_ms(
        self, fingerprint: fingerprints.Fingerprint
    ) -> int | None:
        """Return how long a request stays held, None if it may be sent."""
        hold = self.find_hold(fingerprint)
        return None if hold is None else hold.left_ms

    async def request_trials(
        self, fingerprint: fingerprints.Fingerprint, request: ids.RequestId
    ) -> None:
        """Ask to send a request whose content is on probation."""
        decided = self._replica.current.quarantine
        if not decided:
            return
        now_ms = self._clock.mono_ms()
        for digest in fingerprint.digests:
            entry = decided.get(digest)
            if entry is None or not entry.on_probation:
                continue
            if self._is_on_trial(digest, fingerprint.request):
                continue
            if not await self._reporter.request_trial(digest, request):
                return
            logger.info('trial_granted', digest=digest, request=request)
            self._evict_ended_trials()
            self._trials[digest] = (
                fingerprint.request,
                now_ms + hold_durations.TRIAL_MS,
            )

    def _evict_ended_trials(self) -> None:
        now_ms = self._clock.mono_ms()
        for digest, (_request, until_ms) in list(self._trials.items()):
            if until_ms <= now_ms:
                del self._trials[digest]

    def _is_on_trial(
        self, digest: ids.ContentDigest, request: ids.ContentDigest
    ) -> bool:
        """Return whether a request is the trial of content on probation."""
        granted, until_ms = self._trials.get(digest, (None, 0))
        return granted == request and self._clock.mono_ms() < until_ms

    def refuse_if_held(
        self, fingerprint: fingerprints.Fingerprint
    ) -> ActiveHold | None:
        """Return the hold on a request, and count the refusal.

        Returns None, and counts nothing, if it may be sent.
        """
        hold = self.find_hold(fingerprint)
        if hold is not None:
            self.refused_count += 1
        return hold

    def _remaining_hold_ms(
        self,
        digest: ids.ContentDigest,
        request: ids.ContentDigest | None = None,
    ) -> int | None:
        """Return how long content stays held, None if it may be sent.

        ``request`` is the request that is to be sent.
        """
        now_ms = self._clock.mono_ms()
        decided = quarantine.blocking_entry(
            self._replica.current.quarantine, digest
        )
        if decided is not None:
            # The content stays held past the expected end, until another
            # committed decision releases it.
            left_ms = self._decided_hold_end_ms(decided) - now_ms
            return max(left_ms, MIN_HOLD_RETRY_MS)
        left_ms = self._provisional_until_ms.get(digest, 0) - now_ms
        if left_ms > 0:
            return max(left_ms, MIN_HOLD_RETRY_MS)
        if digest not in self._replica.current.quarantine:
            return None
        # On probation.
        if request is not None and self._is_on_trial(digest, request):
            return None
        return MIN_HOLD_RETRY_MS

    def _decided_hold_end_ms(self, decided: quarantine.QuarantineEntry) -> int:
        if len(self._decision_seen_ms) > MAX_HOLDS:
            self._decision_seen_ms.clear()
        decision_seen_ms = self._decision_seen_ms.setdefault(
            decided, self._clock.mono_ms()
        )
        return decision_seen_ms + hold_durations.hold_duration_ms(decided.ends)

    # Runs.

    @contextlib.asynccontextmanager
    async def track_run(
        self,
        fingerprint: fingerprints.Fingerprint,
        endpoint: ids.EndpointId,
        address: str,
    ) -> collections.abc.AsyncIterator[run_tracker.Run]:
        """Track a run for the duration of the block.

        If the run breaks, its endpoint is probed before the error propagates.
        """
        run = self.start_run(fingerprint, endpoint, address)
        try:
            yield run
        except (errors.MaybeSentError, transport_errors.MaybeSentError):
            await self.handle_broken_run(run)
            raise
        finally:
            self.end_run(run)

    def start_run(
        self,
        fingerprint: fingerprints.Fingerprint,
        endpoint: ids.EndpointId,
        address: str,
    ) -> run_tracker.Run:
        """Return the run of a request that is being sent."""
        return self._run_tracker.start_run(fingerprint, endpoint, address)

    def end_run(self, run: run_tracker.Run) -> None:
        """Record that a run is no longer in flight."""
        self._run_tracker.end_run(run)

    def mark_writing(self, run: run_tracker.Run) -> None:
        """Record that the first byte of a run's response body arrived."""
        self._run_tracker.mark_writing(run)

    def finish_run(
        self, run: run_tracker.Run, status: int, framing: web.BodyFraming
    ) -> None:
        """Record a run whose response ended.

        A response that only its connection delimits also ends if the
        endpoint crashes, so the endpoint is probed first.
        """
        if framing is web.BodyFraming.CONNECTION:
            self._tasks.start(
                self._finish_unframed_run(run, status), fatal=False
            )
        else:
            self.mark_succeeded(run, status)

    async def _finish_unframed_run(
        self, run: run_tracker.Run, status: int
    ) -> None:
        if not await self._record_if_crashed(run):
            self.mark_succeeded(run, status)

    def mark_succeeded(self, run: run_tracker.Run, status: int = OK) -> None:
        """Record a completed run, and clear the crashes of its content.

        A response of another status than 2xx shows nothing about the parts of
        the prompt, and a server error nothing at all.
        """
        if status >= SERVER_ERROR:
            return
        digests = run.fingerprint.digests
        if status not in SUCCESS_STATUSES:
            digests = digests[:1]
        for digest in digests:
            self._recent_successes.add_success(digest)
            was_held = self._release(digest)
            was_suspect = self._crash_history.clear(digest)
            if (
                was_held
                or was_suspect
                or digest in self._replica.current.quarantine
            ):
                self._reporter.report_success(digest)

    def _release(self, digest: ids.ContentDigest) -> bool:
        """End a provisional hold; return whether there was one."""
        return self._provisional_until_ms.pop(digest, None) is not None

    async def handle_broken_run(self, run: run_tracker.Run) -> None:
        """Check whether a broken run crashed its endpoint.

        Waits up to ``PROBE_WAIT_MS``; the check continues in the background
        after that, or if the caller disconnects.
        """
        checking = self._tasks.start(self._record_if_crashed(run), fatal=False)
        await asyncio.wait([checking], timeout=PROBE_WAIT_MS / MS_PER_S)

    async def _record_if_crashed(self, run: run_tracker.Run) -> bool:
        """Return whether a run's endpoint crashed, and record its content.

        Nothing is recorded of content that completed recently on this host,
        or if the endpoint was draining.
        """
        if not await self._run_tracker.check_crashed(run):
            return False
        if self._run_tracker.is_past_begin(run):
            self._clear_parts(run)
        suspects = self._suspects_of(run)
        if suspects and not self._is_draining(run.endpoint):
            self._reporter.report_crash(suspects, run.endpoint)
            self._count_crash(suspects, run.endpoint, self._clock.mono_ms())
        return True

    def _clear_parts(self, run: run_tracker.Run) -> None:
        """Clear the parts of a run that has been writing for long."""
        for part in run.fingerprint.parts:
            self._recent_successes.add_success(part)

    def _suspects_of(self, run: run_tracker.Run) -> crash_history.Digests:
        """Return the digests of a run that may have crashed its endpoint."""
        request, *parts = run.fingerprint.digests
        if not request or self._recent_successes.has_recent(request):
            return ()
        suspects = self._recent_successes.without_recent(parts)
        return (request, *suspects[:MAX_REPORTED_PARTS])

    def _earlier_crashes(self, digest: ids.ContentDigest) -> int:
        return quarantine.decided_crashes(
            self._replica.current.quarantine, digest
        )

    def _count_crash(
        self,
        suspects: crash_history.Digests,
        endpoint: ids.EndpointId,
        crashed_ms: int,
    ) -> None:
        now_ms = self._clock.mono_ms()
        crash = self._crash_history.record_crash(
            suspects, endpoint, crashed_ms
        )
        self._settling.setdefault(crash, now_ms + SETTLE_MS)

    def _hold_culprits(self) -> None:
        """Hold the culprits of settled crashes, unless control hosts do."""
        if not self._settling:
            return
        now_ms = self._clock.mono_ms()
        for crash, settled_ms in list(self._settling.items()):
            if now_ms < settled_ms:
                continue
            del self._settling[crash]
            if self._has_control_hosts and self._reporter.has_reached_host(
                settled_ms - SETTLE_MS
            ):
                continue
            for digest in self._crash_history.find_culprits(crash):
                hold = quarantining.Hold(
                    digest,
                    self._crash_history.crash_count(digest),
                    hold_durations.PROVISIONAL_HOLD_MS,
                )
                self._hold_provisionally(hold, settled_ms)
            for digest in self._crash_history.acquitted():
                self._handle_cleared(digest)

    # Messages from other hosts.

    def _hold_provisionally(
        self, hold: quarantining.Hold, since_ms: int | None = None
    ) -> None:
        """Hold content, by default from now, until a decision is committed.

        The hold expires after ``PROVISIONAL_HOLD_MS`` at the latest.
        """
        if since_ms is None:
            since_ms = self._clock.mono_ms()
        if self._recent_successes.has_recent(hold.digest):
            return
        if hold.digest not in self._provisional_until_ms:
            logger.warning('request_held', digest=hold.digest, ends=hold.ends)
        self._crash_history.mark_culprit(hold.digest)
        self._provisional_until_ms[hold.digest] = since_ms + min(
            hold.for_ms, hold_durations.PROVISIONAL_HOLD_MS
        )
        self._provisional_until_ms.move_to_end(hold.digest)
        if len(self._provisional_until_ms) > MAX_HOLDS:
            self._provisional_until_ms.popitem(last=False)

    def _handle_cleared(self, digest: ids.ContentDigest) -> None:
        """Release content that completed elsewhere or caused no crash."""
        self._release(digest)
        self._crash_history.clear(digest)

    async def _handle_hold_off(
        self, _sender: ids.HostId, message: quarantining.UpdateHolds
    ) -> quarantining.UpdateHoldsReply:
        for digest in message.released:
            self._handle_cleared(digest)
        for hold in message.holds:
            self._hold_provisionally(hold)
        return quarantining.UpdateHoldsReply(
            self._completed(hold.digest for hold in message.holds)
        )

    async def _find_successes(
        self, _sender: ids.HostId, message: quarantining.FindSuccesses
    ) -> quarantining.FindSuccessesReply:
        completed = self._completed(message.digests)
        for digest in completed:
            if self._reported_successes.has_recent(digest):
                continue
            # The control hosts of other regions may suspect it, too.
            self._reported_successes.add_success(digest)
            self._reporter.report_success(digest)
        return quarantining.FindSuccessesReply(completed)

    def _completed(
        self, digests: collections.abc.Iterable[ids.ContentDigest]
    ) -> list[ids.ContentDigest]:
        """Return the digests that completed recently on this host.

        Those of runs in flight that have been writing for long count too.
        """
        for run in self._run_tracker.runs_past_begin():
            self._clear_parts(run)
        return self._recent_successes.recent(digests)

    async def _collect_crash_reports(
        self, _sender: ids.HostId, message: quarantining.ReportCrashes
    ) -> quarantining.ReportCrashesReply:
        """Aggregate crash reports in deployments without control hosts."""
        now_ms = self._clock.mono_ms()
        for digest in message.cleared:
            self._handle_cleared(digest)
        reported: dict[ids.ContentDigest, None] = {}
        for end in message.ends:
            reported.update(dict.fromkeys(end.digests))
            suspects = self._recent_successes.without_recent(end.digests)
            if suspects:
                self._count_crash(suspects, end.endpoint, now_ms - end.age_ms)
        return quarantining.ReportCrashesReply(
            self._instance_id,
            [
                quarantining.Hold(
                    digest,
                    self._crash_history.crash_count(digest),
                    hold_durations.PROVISIONAL_HOLD_MS,
                )
                for digest in reported
                if self._remaining_hold_ms(digest) is not None
            ],
            self._completed(reported),
        )

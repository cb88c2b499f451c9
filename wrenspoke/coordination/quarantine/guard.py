"""Check before each send that a request is not quarantined.

A request that repeatedly crashes endpoints is held for some time. Requests
are identified by a digest of their content, because each resend may have
another request id and reach another host. Committed decisions of the control
hosts apply on all hosts; until one is committed, provisional holds set by
this host or by a control host apply.
"""

import asyncio
import collections
import collections.abc
import contextlib

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

logger = structlog.get_logger(__name__)

# How long a broken call waits for the liveness probe before it is retried.
PROBE_WAIT_MS = 50
# Lower bound of the retry delay sent to callers.
MIN_HOLD_RETRY_MS = 1_000
MS_PER_S = 1_000
# Bound on the tracked holds, for provisional and committed ones each.
MAX_HOLDS = quarantine.MAX_QUARANTINED

IsDraining = collections.abc.Callable[[ids.EndpointId], bool]


class Guard:
    """Tracks crashes during runs on this host and holds their requests."""

    def __init__(
        self,
        config_replica: replica.Replica,
        reporter: reporters.CrashReporter,
        peers: peer_calls.Peers,
        is_draining: IsDraining,
        clock: clocks.Clock,
        probe: run_tracker.Probe = port_probe.is_connection_refused,
    ):
        self._replica = config_replica
        self._reporter = reporter
        self._is_draining = is_draining
        self._clock = clock
        self._run_tracker = run_tracker.RunTracker(clock, probe)
        self._crash_history = crash_history.CrashHistory(clock)
        self._recent_successes = recent_successes.RecentSuccesses(clock)
        # End of each provisional hold.
        self._provisional_until_ms: collections.OrderedDict[
            ids.ContentDigest, int
        ] = collections.OrderedDict()
        # When this host first saw each committed decision.
        self._decision_seen_ms: dict[quarantine.QuarantineEntry, int] = {}
        self._instance_id = ids.new_random_id()
        self._tasks = runtime.Tasks()
        self.refused_count = 0
        reporter.set_hold_callback(self._hold_provisionally)
        peers.handles(quarantining.UpdateHolds)(self._handle_hold_off)
        peers.handles(quarantining.ReportCrashes)(self._collect_crash_reports)

    async def close(self) -> None:
        """Cancel all tasks, including those of the reporter."""
        await self._tasks.close()
        await self._reporter.close()

    # Holds.

    def remaining_hold_ms(
        self, fingerprint: fingerprints.Fingerprint
    ) -> int | None:
        """Return how long a request stays held, None if it may be sent."""
        digest = fingerprint.request
        now_ms = self._clock.mono_ms()
        decided = quarantine.blocking_entry(
            self._replica.current.quarantine, digest
        )
        if decided is not None:
            # The request stays held past the expected end, until another
            # committed decision releases it.
            left_ms = self._decided_hold_end_ms(decided) - now_ms
            return max(left_ms, MIN_HOLD_RETRY_MS)
        left_ms = self._provisional_until_ms.get(digest, 0) - now_ms
        return max(left_ms, MIN_HOLD_RETRY_MS) if left_ms > 0 else None

    def refuse_if_held(
        self, fingerprint: fingerprints.Fingerprint
    ) -> int | None:
        """Return how long a request stays held, and count the refusal.

        Returns None, and counts nothing, if it may be sent.
        """
        held_ms = self.remaining_hold_ms(fingerprint)
        if held_ms is not None:
            self.refused_count += 1
        return held_ms

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

    def start_run(
        self,
        fingerprint: fingerprints.Fingerprint,
        endpoint: ids.EndpointId,
        address: str,
    ) -> run_tracker.Run:
        """Return the run of a request that is being sent."""
        return self._run_tracker.start_run(fingerprint, endpoint, address)

    def mark_writing(self, run: run_tracker.Run) -> None:
        """Record that the first byte of a run's response body arrived."""
        self._run_tracker.mark_writing(run)

    def mark_succeeded(self, run: run_tracker.Run) -> None:
        """Record a completed run, and clear the crashes of its request."""
        digest = run.fingerprint.request
        self._recent_successes.add_success(digest)
        was_suspect = self._crash_history.clear(digest)
        was_suspect |= self._provisional_until_ms.pop(digest, None) is not None
        if was_suspect or digest in self._replica.current.quarantine:
            self._reporter.report_success(digest)

    async def handle_broken_run(self, run: run_tracker.Run) -> None:
        """Check whether a broken run crashed its endpoint.

        Waits up to ``PROBE_WAIT_MS``; the check continues in the background
        after that, or if the caller disconnects.
        """
        checking = self._tasks.start(self._record_if_crashed(run), fatal=False)
        await asyncio.wait([checking], timeout=PROBE_WAIT_MS / MS_PER_S)

    async def _record_if_crashed(self, run: run_tracker.Run) -> None:
        """Record a crash against the request if its endpoint crashed.

        Nothing is recorded if the request completed recently on this host,
        or if the endpoint was draining.
        """
        digest = run.fingerprint.request
        if not await self._run_tracker.check_crashed(run) or not digest:
            return
        if self._recent_successes.has_recent(digest) or self._is_draining(
            run.endpoint
        ):
            return
        self._reporter.report_crash(digest, run.endpoint)
        self._count_crash(digest, run.endpoint, self._clock.mono_ms())

    def _count_crash(
        self,
        digest: ids.ContentDigest,
        endpoint: ids.EndpointId,
        crashed_ms: int,
    ) -> None:
        crashes = self._crash_history.record_crash(
            digest, endpoint, crashed_ms
        )
        decided = self._replica.current.quarantine.get(digest)
        if decided is not None:
            crashes += decided.ends
        if crashes >= crash_history.CRASH_THRESHOLD:
            hold = quarantining.Hold(
                digest, crashes, hold_durations.PROVISIONAL_HOLD_MS
            )
            self._hold_provisionally(hold)

    # Messages from other hosts.

    def _hold_provisionally(self, hold: quarantining.Hold) -> None:
        """Hold a request until a decision on it is committed.

        The hold expires after ``PROVISIONAL_HOLD_MS`` at the latest.
        """
        if self._recent_successes.has_recent(hold.digest):
            return
        if hold.digest not in self._provisional_until_ms:
            logger.warning('request_held', digest=hold.digest, ends=hold.ends)
        self._provisional_until_ms[hold.digest] = self._clock.mono_ms() + min(
            hold.for_ms, hold_durations.PROVISIONAL_HOLD_MS
        )
        self._provisional_until_ms.move_to_end(hold.digest)
        if len(self._provisional_until_ms) > MAX_HOLDS:
            self._provisional_until_ms.popitem(last=False)

    async def _handle_hold_off(
        self, _sender: ids.HostId, message: quarantining.UpdateHolds
    ) -> quarantining.UpdateHoldsReply:
        for digest in message.released:
            self._provisional_until_ms.pop(digest, None)
            self._crash_history.clear(digest)
        for hold in message.holds:
            self._hold_provisionally(hold)
        return quarantining.UpdateHoldsReply(
            [
                hold.digest
                for hold in message.holds
                if self._recent_successes.has_recent(hold.digest)
            ]
        )

    async def _collect_crash_reports(
        self, _sender: ids.HostId, message: quarantining.ReportCrashes
    ) -> quarantining.ReportCrashesReply:
        """Aggregate crash reports in deployments without control hosts."""
        now_ms = self._clock.mono_ms()
        for digest in message.cleared:
            self._crash_history.clear(digest)
            self._provisional_until_ms.pop(digest, None)
        for end in message.ends:
            if not self._recent_successes.has_recent(end.digest):
                self._count_crash(
                    end.digest, end.endpoint, now_ms - end.age_ms
                )
        reported = {end.digest for end in message.ends}
        return quarantining.ReportCrashesReply(
            self._instance_id,
            [
                quarantining.Hold(
                    digest,
                    self._crash_history.crash_count(digest),
                    hold_durations.PROVISIONAL_HOLD_MS,
                )
                for digest in reported
                if self.remaining_hold_ms(fingerprints.Fingerprint(digest))
                is not None
            ],
        )

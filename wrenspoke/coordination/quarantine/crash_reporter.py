"""Reporting of endpoint crashes to the hosts that aggregate them.

Reports go to every control host, so that a new leader has the reports of
all regions. The number of recipients does not grow with the entry hosts.
"""

import asyncio
import collections
import collections.abc

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.quarantine import crash_history
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import peers as peer_calls
from wrenspoke.protocol import quarantining
from wrenspoke import runtime

logger = structlog.get_logger(__name__)

# Collects the reports of all calls that one crash breaks into one message.
BATCH_DELAY_MS = 4
# Several inter-region round trips.
CALL_TIMEOUT_MS = 1_000
# One inter-region round trip; the request waits meanwhile.
TRIAL_REQUEST_TIMEOUT_MS = 400
# Delay before a failed report is sent again: short after a partition heals,
# and cheap while it lasts.
RETRY_INTERVAL_MS = 500
# Crashes kept for a control host that is unreachable or has restarted.
MAX_QUEUED_CRASHES = 1_000

ListAggregators = collections.abc.Callable[[], list[ids.HostId]]
HoldCallback = collections.abc.Callable[[quarantining.Hold], None]
ClearedCallback = collections.abc.Callable[[ids.ContentDigest], None]
LocalCrash = tuple[crash_history.Digests, ids.EndpointId, int]


class _ReportQueue:
    """Reports that one aggregating host has not acknowledged."""

    def __init__(self):
        self.crashes: collections.deque[LocalCrash] = collections.deque(
            maxlen=MAX_QUEUED_CRASHES
        )
        self.cleared: dict[ids.ContentDigest, None] = {}
        self.instance_id = ''
        self.task: asyncio.Task | None = None

    @property
    def is_empty(self) -> bool:
        return not self.crashes and not self.cleared


class CrashReporter:
    """Reports crashes and successes to each host, with retries."""

    def __init__(
        self,
        list_aggregators: ListAggregators,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._list_aggregators = list_aggregators
        self._peers = peers
        self._clock = clock
        self._local_crashes: collections.deque[LocalCrash] = collections.deque(
            maxlen=MAX_QUEUED_CRASHES
        )
        self._queues: dict[ids.HostId, _ReportQueue] = {}
        self._hold_callback: HoldCallback | None = None
        self._cleared_callback: ClearedCallback | None = None
        self._acknowledged_ms: int | None = None
        self._tasks = runtime.Tasks()

    def set_callbacks(
        self, on_hold: HoldCallback, on_cleared: ClearedCallback
    ) -> None:
        """Set the functions called with what a host's answer contains."""
        self._hold_callback = on_hold
        self._cleared_callback = on_cleared

    def has_reached_host(self, since_ms: int) -> bool:
        """Return whether a host acknowledged a report after a time."""
        return self._acknowledged_ms is not None and (
            self._acknowledged_ms >= since_ms
        )

    async def close(self) -> None:
        """Stop reporting."""
        await self._tasks.close()

    def report_crash(
        self, request: crash_history.Digests, endpoint: ids.EndpointId
    ) -> None:
        """Queue a report that an endpoint crashed during a request."""
        crash = (request, endpoint, self._clock.mono_ms())
        self._local_crashes.append(crash)
        for queue in self._active_queues():
            queue.crashes.append(crash)

    def report_success(self, digest: ids.ContentDigest) -> None:
        """Queue a report that an endpoint completed a request or part."""
        for queue in self._active_queues():
            queue.cleared[digest] = None

    async def request_trial(
        self, digest: ids.ContentDigest, request: ids.RequestId
    ) -> bool:
        """Ask for the trial of content by a request; return if granted."""
        message = quarantining.RequestTrial(digest, request)
        granted = await asyncio.gather(
            *(
                self._request_trial_from(host, message)
                for host in self._list_aggregators()
            )
        )
        return any(granted)

    async def _request_trial_from(
        self, host: ids.HostId, message: quarantining.RequestTrial
    ) -> bool:
        try:
            answer = await self._peers.call(
                host, message, TRIAL_REQUEST_TIMEOUT_MS
            )
        except protocol_errors.ProtocolError as error:
            logger.info('trial_request_failed', peer=host, reason=str(error))
            return False
        return (
            isinstance(answer, quarantining.RequestTrialReply)
            and answer.granted
        )

    def _active_queues(self) -> list[_ReportQueue]:
        """Return the queues of all aggregating hosts and start sending."""
        aggregators = self._list_aggregators()
        for host in set(self._queues).difference(aggregators):
            del self._queues[host]
        for host in aggregators:
            queue = self._queues.setdefault(host, _ReportQueue())
            if queue.task is None or queue.task.done():
                queue.task = self._tasks.start(
                    self._send_queue(host, queue), fatal=False
                )
        return list(self._queues.values())

    async def _send_queue(self, host: ids.HostId, queue: _ReportQueue) -> None:
        while not queue.is_empty and self._queues.get(host) is queue:
            await self._clock.sleep_ms(BATCH_DELAY_MS)
            if not await self._send_batch(host, queue):
                await self._clock.sleep_ms(RETRY_INTERVAL_MS)

    async def _send_batch(self, host: ids.HostId, queue: _ReportQueue) -> bool:
        crashes, cleared = self._unexpired(queue.crashes), list(queue.cleared)
        queue.crashes.clear()
        queue.cleared.clear()
        answer = await self._send_report(host, crashes, cleared)
        if answer is None:
            queue.crashes.extendleft(reversed(crashes))
            queue.cleared.update(dict.fromkeys(cleared))
            return False
        self._acknowledged_ms = self._clock.mono_ms()
        for hold in answer.holds:
            if self._hold_callback is not None:
                self._hold_callback(hold)
        for digest in answer.cleared:
            if self._cleared_callback is not None:
                self._cleared_callback(digest)
        if answer.life != queue.instance_id:
            # The host restarted and lost the earlier reports.
            queue.instance_id = answer.life
            older = set(self._unexpired(self._local_crashes)).difference(
                crashes
            )
            queue.crashes.extend(sorted(older, key=_crashed_ms))
        return True

    async def _send_report(
        self,
        host: ids.HostId,
        crashes: list[LocalCrash],
        cleared: list[ids.ContentDigest],
    ) -> quarantining.ReportCrashesReply | None:
        now_ms = self._clock.mono_ms()
        run_ends = [
            quarantining.EndpointCrash(
                request[0], endpoint, now_ms - ended_ms, request[1:]
            )
            for request, endpoint, ended_ms in crashes
        ]
        message = quarantining.ReportCrashes(run_ends, cleared)
        try:
            answer = await self._peers.call(host, message, CALL_TIMEOUT_MS)
        except protocol_errors.ProtocolError as error:
            logger.info('crash_report_failed', peer=host, reason=str(error))
            return None
        if not isinstance(answer, quarantining.ReportCrashesReply):
            logger.info('crash_report_failed', peer=host, reason=repr(answer))
            return None
        return answer

    def _unexpired(
        self, crashes: collections.abc.Iterable[LocalCrash]
    ) -> list[LocalCrash]:
        oldest_ms = self._clock.mono_ms() - crash_history.RETENTION_MS
        return [end for end in crashes if _crashed_ms(end) > oldest_ms]


def _crashed_ms(crash: LocalCrash) -> int:
    return crash[2]

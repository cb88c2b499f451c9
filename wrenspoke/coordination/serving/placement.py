"""Schedule requests onto the endpoints of this region.

A request gets a concurrency slot at an endpoint, waits in the queue of its
service, or is rejected.
"""

import asyncio
import collections.abc
import dataclasses
import random
import typing

import sortedcontainers

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.limiting import endpoint_gate
from wrenspoke.coordination.membership import loads
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.serving import concurrency_limits
from wrenspoke.coordination.serving import decisions
from wrenspoke.coordination.serving import retry_schedule
from wrenspoke.coordination.serving import routing
from wrenspoke import ids
from wrenspoke.protocol import limiting
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import requests
from wrenspoke import settings
from wrenspoke.state import configuration

RECHECK_MS = 250
INFINITE_MS = float('inf')
MS_PER_S = 1_000


class Slot:
    """Concurrency slot at one endpoint, held until it is released."""

    def __init__(
        self,
        endpoint: configuration.Endpoint,
        limit: concurrency_limits.AdaptiveLimit,
        has_queue: collections.abc.Callable[[ids.EndpointId], bool],
        wake_next_waiter: collections.abc.Callable[[], None],
    ):
        self.endpoint = endpoint
        self.open = True
        self._limit = limit
        self._has_queue = has_queue
        self._wake_next_waiter = wake_next_waiter
        limit.acquire()

    def release(
        self, succeeded: bool = False, overloaded: bool = False
    ) -> None:
        """Return the slot; later calls have no effect.

        :param succeeded: the response may raise the limit
        :param overloaded: the endpoint rejected the request
        """
        if not self.open:
            return
        self.open = False
        has_queue = self._has_queue(self.endpoint.endpoint)
        self._limit.release(succeeded, overloaded, has_queue)
        self._wake_next_waiter()


@dataclasses.dataclass(order=True)
class _Waiter:
    rank: int
    deadline_ms: int
    sequence: int
    woken: asyncio.Future = dataclasses.field(compare=False)


class Queue:
    """Bounded priority queue of the waiting requests of one service."""

    def __init__(self, limit: int):
        self._limit = limit
        self._waiters = sortedcontainers.SortedList()
        self._next_sequence = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def count_ahead(self, head: requests.RequestHead) -> int:
        """Return how many waiting requests precede a new one."""
        return sum(waiter.rank <= -head.priority for waiter in self._waiters)

    def enqueue(self, head: requests.RequestHead) -> _Waiter | None:
        """Add a request; return None if the queue has no room for it.

        A full queue evicts its last waiter if that one has a lower priority.
        """
        self._next_sequence += 1
        waiter = _Waiter(
            -head.priority,
            head.deadline_ms,
            self._next_sequence,
            asyncio.get_running_loop().create_future(),
        )
        if len(self._waiters) >= self._limit:
            last = self._waiters[-1]
            if last.rank <= waiter.rank:
                return None
            self.dequeue(last)
            if not last.woken.done():
                last.woken.set_result(False)
        self._waiters.add(waiter)
        return waiter

    def dequeue(self, waiter: _Waiter) -> None:
        """Remove a waiter; one that has left already is ignored."""
        self._waiters.discard(waiter)

    def wake_next(self) -> None:
        """Wake the first waiter that has not been woken yet."""
        for waiter in self._waiters:
            if waiter.woken.done():
                continue
            waiter.woken.set_result(True)
            return


class EndpointScheduler:
    """Assigns requests to endpoints of this region."""

    def __init__(
        self,
        region: ids.RegionId,
        limits_settings: settings.EntrySettings,
        config_replica: replica.Replica,
        load_table: loads.LoadTable,
        limit_table: concurrency_limits.ConcurrencyLimits,
        gate: endpoint_gate.EndpointGate,
        decision_log: decisions.DecisionLog,
        clock: clocks.Clock,
    ):
        self._region = region
        self._settings = limits_settings
        self._replica = config_replica
        self._loads = load_table
        self._limits = limit_table
        self._gate = gate
        self._decisions = decision_log
        self._clock = clock
        self._queues: dict[ids.ServiceId, Queue] = {}
        self._random = random.Random()
        self.sessions = routing.SessionAffinity()

    async def acquire_slot(
        self,
        head: requests.RequestHead,
        excluded: collections.abc.Set[ids.EndpointId] = frozenset(),
    ) -> Slot:
        """Acquire a slot at an endpoint, queueing the request if necessary.

        :raises RequestEndedError: no endpoint serves the request, or none
            has a free slot before its deadline
        """
        queue = self._queue_for(head.service)
        waiter = None
        try:
            while True:
                ranked = self._rank(head, excluded)
                slot = self._acquire_first_free(head, ranked, queue, waiter)
                if slot is not None:
                    return slot
                self._reject_if_all_back_off(
                    head, [item.endpoint for item in ranked]
                )
                if waiter is None:
                    self._reject_if_too_late(head, ranked, queue)
                else:
                    queue.dequeue(waiter)
                waiter = queue.enqueue(head)
                if waiter is None:
                    raise self._overload_error(
                        ranked, queue, 'queue of the service is full'
                    )
                await self._wait_in_queue(head, waiter, ranked, queue)
        finally:
            if waiter is not None:
                queue.dequeue(waiter)

    def eligible_endpoints(
        self, head: requests.RequestHead
    ) -> set[ids.EndpointId]:
        """Return the endpoints of this region that can serve a request."""
        return {item.endpoint for item in self._candidates(head)}

    def _candidates(
        self, head: requests.RequestHead
    ) -> list[configuration.Endpoint]:
        return [
            endpoint
            for endpoint in self._replica.active_endpoints(
                head.service, self._region
            )
            if (head.model is None or head.model in endpoint.models)
            and not self._loads.is_down(endpoint.endpoint)
            and not self._is_draining(endpoint.endpoint)
        ]

    def acquire_slot_at(self, endpoint: ids.EndpointId) -> Slot | None:
        """Acquire a slot for work that an endpoint has already begun.

        The slot is granted even above the limit; None for an unknown endpoint.
        """
        found = self._replica.current.endpoints.get(endpoint)
        if found is None:
            return None
        limit = self._limits.limit_for(endpoint, found.slots)
        return Slot(
            found,
            limit,
            self._loads.has_queue,
            self._queue_for(found.service).wake_next,
        )

    def estimate_response_ms(self, head: requests.RequestHead) -> float:
        """Estimate the time to first token in this region, in ms.

        Infinite if no endpoint can serve the request.
        """
        candidates = self._candidates(head)
        if not candidates:
            return INFINITE_MS
        view = self._ranking_context(head)
        best_ms = min(
            routing.estimate_first_ms(endpoint, view, 0.0)
            for endpoint in candidates
        )
        waiting = len(self._queue_for(head.service))
        return best_ms + self._wait_ms(candidates, waiting)

    def _ranking_context(
        self, head: requests.RequestHead
    ) -> routing.RankingContext:
        return routing.RankingContext(
            loads=self._loads,
            limits=self._limits,
            sessions=self.sessions,
            service=self._replica.current.services[head.service],
            random=self._random,
        )

    def _rank(
        self,
        head: requests.RequestHead,
        excluded: collections.abc.Set[ids.EndpointId],
    ) -> list[routing.Ranked]:
        eligible = self._candidates(head)
        candidates = [
            endpoint
            for endpoint in eligible
            if endpoint.endpoint not in excluded
        ]
        if eligible and not candidates:
            self._reject_if_all_back_off(head, eligible)
        if not candidates:
            raise errors.RequestEndedError(
                outcomes.Ending(
                    outcomes.Outcome.NOT_RUN,
                    outcomes.Reason.NO_ENDPOINT,
                    f'no endpoint of {head.service} in {self._region} '
                    'takes this request',
                    self._settings.retry_after_ms,
                )
            )
        rank = routing.POLICIES[self._settings.policy]
        ranked = rank(head, candidates, self._ranking_context(head))
        return sorted(ranked, key=lambda item: item.score)

    def _acquire_first_free(
        self,
        head: requests.RequestHead,
        ranked: typing.Sequence[routing.Ranked],
        queue: Queue,
        waiter: _Waiter | None,
    ) -> Slot | None:
        if waiter is None and len(queue):
            return None
        for position, item in enumerate(ranked):
            endpoint = item.endpoint
            limit = self._limits.limit_for(endpoint.endpoint, endpoint.slots)
            if not limit.has_capacity or self._blocked_ms(endpoint.endpoint):
                continue
            self._decisions.record(
                'placed',
                head.request,
                endpoint=endpoint.endpoint,
                policy=self._settings.policy,
                score=round(item.score, 1),
                place=position,
                candidates=len(ranked),
                in_flight=limit.in_flight,
                limit=round(limit.limit, 1),
            )
            return Slot(
                endpoint, limit, self._loads.has_queue, queue.wake_next
            )
        return None

    def _reject_if_too_late(
        self,
        head: requests.RequestHead,
        ranked: typing.Sequence[routing.Ranked],
        queue: Queue,
    ) -> None:
        left_ms = head.deadline_ms - self._clock.mono_ms()
        endpoints = [item.endpoint for item in ranked]
        wait_ms = self._wait_ms(endpoints, queue.count_ahead(head) + 1)
        if wait_ms <= left_ms:
            return
        # HIGH priority queues despite a late estimate, unless every endpoint
        # advertises a rate limit, which makes the estimate reliable.
        urgent = head.priority is requests.Priority.HIGH
        if urgent and not all(map(self._is_limited, endpoints)):
            return
        raise self._overload_error(
            ranked, queue, 'would wait past its deadline'
        )

    def _reject_if_all_back_off(
        self,
        head: requests.RequestHead,
        endpoints: typing.Sequence[configuration.Endpoint],
    ) -> None:
        """Reject a request immediately if every endpoint is backing off.

        It queues instead if a backoff ends within the recheck interval. The
        Retry-After is longer for lower priorities.

        :raises RequestEndedError: all endpoints are backing off
        """
        if self._gate.backoffs.is_idle:
            return
        soonest_ms = min(
            self._gate.backoffs.remaining_ms(_life_of(endpoint.endpoint))
            for endpoint in endpoints
        )
        left_ms = head.deadline_ms - self._clock.mono_ms()
        if soonest_ms <= min(RECHECK_MS, left_ms):
            return
        urgency = requests.Priority.HIGH - head.priority
        raise errors.RequestEndedError(
            outcomes.Ending(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.OVERLOAD,
                'every endpoint is in backoff',
                retry_schedule.jittered_ms(soonest_ms, urgency),
            )
        )

    def _wait_ms(
        self,
        endpoints: typing.Sequence[configuration.Endpoint],
        waiting: int,
    ) -> float:
        total_per_ms = 0.0
        for endpoint in endpoints:
            limit = self._limits.limit_for(endpoint.endpoint, endpoint.slots)
            hold_ms = self._loads.latency(endpoint.endpoint).occupancy_ms
            own_per_ms = limit.limit / max(hold_ms, 1.0)
            stated_per_s = self._gate.limits.share_per_s(
                _life_of(endpoint.endpoint)
            )
            if stated_per_s is not None:
                own_per_ms = min(own_per_ms, stated_per_s / MS_PER_S)
            total_per_ms += own_per_ms
        return waiting / total_per_ms if total_per_ms else 0.0

    def _is_limited(self, endpoint: configuration.Endpoint) -> bool:
        life = _life_of(endpoint.endpoint)
        return self._gate.limits.rate_per_s(life) is not None

    def _blocked_ms(self, endpoint: ids.EndpointId) -> int:
        """Return the remaining backoff of an endpoint, in ms."""
        if self._gate.is_idle:
            return 0
        return self._gate.remaining_ms(_life_of(endpoint))

    def _is_draining(self, endpoint: ids.EndpointId) -> bool:
        """Return whether a response of an endpoint announced draining."""
        leaving = self._gate.leaving
        return not leaving.is_idle and leaving.is_leaving(_life_of(endpoint))

    def _overload_error(
        self,
        ranked: typing.Sequence[routing.Ranked],
        queue: Queue,
        detail: str,
    ) -> errors.RequestEndedError:
        endpoints = [item.endpoint for item in ranked]
        wait_ms = int(self._wait_ms(endpoints, len(queue)))
        return errors.RequestEndedError(
            outcomes.Ending(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.OVERLOAD,
                detail,
                max(wait_ms, self._settings.retry_after_ms),
            )
        )

    async def _wait_in_queue(
        self,
        head: requests.RequestHead,
        waiter: _Waiter,
        ranked: typing.Sequence[routing.Ranked],
        queue: Queue,
    ) -> None:
        left_ms = head.deadline_ms - self._clock.mono_ms()
        if left_ms <= 0:
            raise self._overload_error(
                ranked, queue, 'deadline exceeded while queued'
            )
        blocked_ms = [
            self._blocked_ms(item.endpoint.endpoint) for item in ranked
        ]
        soonest_ms = min(
            (wait_ms for wait_ms in blocked_ms if wait_ms), default=0
        )
        recheck_ms = min(left_ms, soonest_ms or RECHECK_MS, RECHECK_MS)
        try:
            async with clocks.timeout_ms(recheck_ms):
                still_queued = await asyncio.shield(waiter.woken)
        except TimeoutError:
            return
        if not still_queued:
            raise self._overload_error(
                ranked,
                queue,
                'evicted from the queue by a higher-priority request',
            )

    def _queue_for(self, service: ids.ServiceId) -> Queue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = Queue(self._settings.queue_limit)
        return queue


def _life_of(endpoint: ids.EndpointId) -> limiting.EndpointInstance:
    """Return the instance of a configured endpoint, which has only one."""
    return limiting.EndpointInstance(endpoint)

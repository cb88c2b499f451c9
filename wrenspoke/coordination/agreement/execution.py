"""Execution of confirmed plans: orders to engines, and waits.

Only the leader executes plans, and only while it holds its lease. Each order
is authorized by a committed entry whose index is the order's fencing number,
so engines that check it reject orders of a deposed leader. For engines that
do not check it, a new leader first waits until the lease and any order of
its predecessor must have ended.
"""

import asyncio
import dataclasses

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import voter
from wrenspoke.coordination import errors
from wrenspoke.coordination.serving import dispatch
from wrenspoke import ids
from wrenspoke.protocol import headers
from wrenspoke.protocol import messages
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke.state import configuration
from wrenspoke.state import entries
from wrenspoke.state import plans

logger = structlog.get_logger(__name__)

ORDERS_PATH = '/orders'
STATE_PATH = '/state'
ANSWER_LIMIT_BYTES = 64 * 1024
OK = 200
STALE_FENCE_STATUS = 409
ORDER_ATTEMPTS = 5
ORDER_RETRY_INTERVAL_MS = 500
MS_PER_MINUTE = 60_000
STATUS_MAX_AGE_MS = 5_000


class EngineState(msgspec.Struct):
    """Response of an engine to ``GET /state``."""

    models: list[str] = []
    adapters: list[str] = []
    role: str = ''
    fence: int = 0
    running: int = 0
    waiting: int = 0


@dataclasses.dataclass
class ReceivedStatus:
    """The last status received from a data centre, and when."""

    status: messages.DataCentreStatus
    received_ms: int


class OrderFailedError(errors.CoordinationError):
    """An order failed or did not take effect."""


class Executor:
    """Executes the steps of confirmed plans while this host is leader."""

    def __init__(
        self,
        host: ids.HostId,
        deployment: settings.Deployment,
        local_voter: voter.Voter,
        dispatcher: dispatch.Dispatcher,
        clock: clocks.Clock,
    ):
        self._host = host
        self._settings = deployment.control
        self._data_centres: dict[str, set[str]] = {}
        for entry in deployment.with_role('entry'):
            known = self._data_centres.setdefault(entry.region, set())
            known.add(entry.data_centre)
        self._voter = local_voter
        self._dispatcher = dispatcher
        self._clock = clock
        self._standings: dict[ids.DataCentreId, ReceivedStatus] = {}
        self._step_tasks: dict[ids.PlanId, asyncio.Task] = {}
        self._tasks = runtime.Tasks()
        self.wait_reasons: dict[ids.PlanId, str] = {}

    def start(self) -> None:
        """Start the task that executes plans."""
        self._tasks.start(self._run_plans())

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._tasks.close()

    def update_status(self, standing: messages.DataCentreStatus) -> None:
        """Record the status that a data centre has reported."""
        self._standings[standing.data_centre] = ReceivedStatus(
            standing, self._clock.mono_ms()
        )

    def load_wait_ms(self) -> int:
        """Return how long a load planned now would wait for its turn.

        The weight store limits the number of loads per minute.
        """
        pending_loads = sum(
            1
            for plan in self._voter.state.running_plans()
            if isinstance(plan.current, plans.Order) and plan.current.loads
        )
        free_ms = self._next_load_ms() - self._clock.wall_ms()
        return max(0, free_ms) + pending_loads * self._load_interval_ms()

    def _load_interval_ms(self) -> int:
        return MS_PER_MINUTE // self._settings.weight_loads_per_minute

    def _next_load_ms(self) -> int:
        return self._voter.state.last_load_ms + self._load_interval_ms()

    async def _run_plans(self) -> None:
        while True:
            await self._clock.sleep_ms(self._settings.drain_poll_interval_ms)
            if not self._voter.has_lease:
                continue
            for plan in self._voter.state.running_plans():
                if plan.plan in self._step_tasks:
                    continue
                task = self._tasks.start(self._execute_step(plan), fatal=False)
                self._step_tasks[plan.plan] = task
                task.add_done_callback(
                    lambda _task, name=plan.plan: self._step_tasks.pop(name)
                )

    async def _execute_step(self, plan: plans.Plan) -> None:
        step = plan.current
        try:
            if isinstance(step, plans.WaitIdle):
                detail = await self._wait_until_idle(plan, step)
            else:
                detail = await self._execute_order(plan, step)
            succeeded = True
        except OrderFailedError as error:
            succeeded, detail = False, str(error)
        except errors.NotLeaderError:
            return
        finally:
            self.wait_reasons.pop(plan.plan, None)
        logger.info(
            'step_ended',
            plan=plan.plan,
            step=plan.reached,
            succeeded=succeeded,
            detail=detail,
        )
        end = entries.EndStep(
            plan.plan,
            plan.reached,
            succeeded,
            detail,
            self._clock.wall_ms(),
        )
        try:
            await self._voter.propose(end)
        except errors.NotLeaderError:
            return

    def _check_leadership(self) -> None:
        if not self._voter.has_lease:
            raise errors.NotLeaderError(None, may_be_accepted=False)

    async def _poll_pause(self) -> None:
        await self._clock.sleep_ms(self._settings.drain_poll_interval_ms)
        self._check_leadership()

    # Waiting for an idle endpoint.

    async def _wait_until_idle(
        self, plan: plans.Plan, step: plans.WaitIdle
    ) -> str:
        """Wait until an endpoint has no requests, and return the detail.

        Only entry hosts of the endpoint's region send to it, so only the
        data centres of that region must have applied the change.
        """
        while True:
            self._check_leadership()
            endpoint = self._voter.state.configuration.endpoints.get(
                step.endpoint
            )
            if endpoint is None:
                return 'endpoint is gone'
            reason = self._in_flight_reason(plan, endpoint)
            if not reason:
                reason = await self._engine_busy_reason(endpoint)
            if not reason:
                return 'idle'
            self.wait_reasons[plan.plan] = reason
            await self._poll_pause()

    def _in_flight_reason(
        self, plan: plans.Plan, endpoint: configuration.Endpoint
    ) -> str:
        now_ms = self._clock.mono_ms()
        for data_centre in self._data_centres.get(endpoint.region, ()):
            received = self._standings.get(data_centre)
            if (
                received is None
                or now_ms - received.received_ms > STATUS_MAX_AGE_MS
            ):
                return f'{data_centre} is not heard from'
            if received.status.low_index < plan.reached_index:
                return f'{data_centre} has not got the change'
            for busy in received.status.busy:
                if busy.endpoint == endpoint.endpoint:
                    return f'{busy.in_flight} requests in flight'
        return ''

    async def _engine_busy_reason(
        self, endpoint: configuration.Endpoint
    ) -> str:
        services = self._voter.state.configuration.services
        kind = services[endpoint.service].kind
        if kind is not configuration.ServiceKind.ENGINE:
            return ''
        try:
            state = await self._read_engine_state(endpoint.endpoint)
        except OrderFailedError:
            # An engine that does not answer has no requests to finish.
            return ''
        if state.running or state.waiting:
            return f'engine has {state.running + state.waiting} requests'
        return ''

    # Orders.

    async def _execute_order(self, plan: plans.Plan, step: plans.Order) -> str:
        await self._wait_out_old_leader(plan, step)
        await self._wait_for_load_slot(plan, step)
        problem = ''
        for _try in range(ORDER_ATTEMPTS):
            self._check_leadership()
            number = await self._commit_order(plan)
            try:
                await self._send_order(step, number)
                await self._verify_order(step)
                return f'order {number} took effect'
            except OrderFailedError as error:
                problem = str(error)
                logger.warning(
                    'order_failed',
                    endpoint=step.endpoint,
                    number=number,
                    error=problem,
                )
            await self._clock.sleep_ms(ORDER_RETRY_INTERVAL_MS)
        raise OrderFailedError(problem)

    async def _wait_out_old_leader(
        self, plan: plans.Plan, step: plans.Order
    ) -> None:
        """Wait until no order of the old leader can arrive any more.

        Engines that check fencing numbers need no wait.
        """
        endpoint = self._voter.state.configuration.endpoint(step.endpoint)
        if endpoint.fenced:
            return
        due_ms = (
            self._voter.leader_since_ms
            + self._settings.election_timeout_ms
            + self._settings.order_timeout_ms
        )
        while self._clock.mono_ms() < due_ms:
            self.wait_reasons[plan.plan] = "the old leader's orders"
            await self._poll_pause()

    async def _wait_for_load_slot(
        self, plan: plans.Plan, step: plans.Order
    ) -> None:
        while step.loads and self._clock.wall_ms() < self._next_load_ms():
            self.wait_reasons[plan.plan] = 'the weight store'
            await self._poll_pause()

    async def _commit_order(self, plan: plans.Plan) -> int:
        """Commit the authorization of an order; return its fencing number.

        :raises NotLeaderError: the plan has moved on under another leader
        """
        await self._voter.propose(
            entries.IssueOrder(
                plan.plan, plan.reached, self._host, self._clock.wall_ms()
            )
        )
        current_plan = self._voter.state.plans[plan.plan]
        if (
            current_plan.reached != plan.reached
            or not current_plan.issued_index
        ):
            raise errors.NotLeaderError(None, may_be_accepted=False)
        return current_plan.issued_index

    async def _send_order(self, step: plans.Order, number: int) -> None:
        body = {'kind': step.kind}
        for field in ('model', 'adapter', 'role'):
            value = getattr(step, field)
            if value:
                body[field] = value
        send = dispatch.Send(
            dispatch.Purpose.ORDER,
            step.endpoint,
            'POST',
            ORDERS_PATH,
            msgspec.json.encode(body),
            extra_headers={headers.FENCING_NUMBER: str(number)},
        )
        # Checked last, right before sending: the rest of the lease bounds how
        # late the order can arrive.
        self._check_leadership()
        logger.info(
            'order_sent', endpoint=step.endpoint, number=number, **body
        )
        status = await self._send_request(send, None)
        if status == STALE_FENCE_STATUS:
            raise OrderFailedError(f'engine rejected stale fence {number}')
        if status != OK:
            raise OrderFailedError(f'engine answered {status}')

    async def _send_request(
        self, send: dispatch.Send, bodies: list[bytes] | None
    ) -> int:
        try:
            async with clocks.timeout_ms(self._settings.order_timeout_ms):
                async with self._dispatcher.send(send) as answer:
                    body = await answer.read_all(ANSWER_LIMIT_BYTES)
        except (errors.CoordinationError, TimeoutError) as error:
            raise OrderFailedError(repr(error)) from error
        if bodies is not None:
            bodies.append(body)
        return answer.status

    async def _read_engine_state(
        self, endpoint: ids.EndpointId
    ) -> EngineState:
        send = dispatch.Send(
            dispatch.Purpose.ORDER, endpoint, 'GET', STATE_PATH
        )
        bodies: list[bytes] = []
        status = await self._send_request(send, bodies)
        if status != OK:
            raise OrderFailedError(f'engine answered {status}')
        try:
            return msgspec.json.decode(bodies[0], type=EngineState)
        except msgspec.DecodeError as error:
            raise OrderFailedError(str(error)) from error

    async def _verify_order(self, step: plans.Order) -> None:
        """Check that the engine's state shows the order's effect.

        :raises OrderFailedError: it does not
        """
        state = await self._read_engine_state(step.endpoint)
        if step.kind == 'role':
            matches = state.role == step.role
        elif step.adapter:
            matches = (step.adapter in state.adapters) == (step.kind == 'load')
        else:
            matches = (step.model in state.models) == (step.kind == 'load')
        if not matches:
            raise OrderFailedError('engine does not show what was ordered')

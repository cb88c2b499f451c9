"""Control host services for operators and entry hosts."""

import hashlib

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import execution
from wrenspoke.coordination.agreement import voter
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import replica
from wrenspoke import ids
from wrenspoke.protocol import messages
from wrenspoke.protocol import operator_api
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke import settings
from wrenspoke.state import entries
from wrenspoke.state import errors as state_errors
from wrenspoke.state import plans
from wrenspoke.state import replicated

logger = structlog.get_logger(__name__)

RELAY_EXPIRY_MS = 60_000
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503
VERDICT_STATUSES = {
    replicated.Verdict.ACCEPTED: OK,
    replicated.Verdict.CONFLICT: CONFLICT,
    replicated.Verdict.STALE_BASE: CONFLICT,
    replicated.Verdict.UNKNOWN: NOT_FOUND,
    replicated.Verdict.TOO_OLD: CONFLICT,
}


class ControlService:
    """Handles operator requests and configuration pulls by entry hosts."""

    def __init__(
        self,
        deployment: settings.Deployment,
        local_voter: voter.Voter,
        executor: execution.Executor,
        config_replica: replica.Replica,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
    ):
        self._operator_urls = {
            host.host: f'http://{host.ip}:{host.operator_port}'
            for host in deployment.with_role('control')
        }
        self._voter = local_voter
        self._executor = executor
        self._replica = config_replica
        self._clock = clock
        self._peers = peers
        self._relays: dict[ids.HostId, int] = {}
        self._tasks = runtime.Tasks()
        peers.handles(messages.PullConfiguration)(self._serve_pull)
        peers.handles(messages.ForwardStatus)(self._handle_status)

    def start(self) -> None:
        """Start notifying relays of configuration changes."""
        self._tasks.start(self._notify_relays())

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._tasks.close()

    async def _notify_relays(self) -> None:
        """Notify the relays that pull from this host of each change."""
        notified_index = 0
        while True:
            changed = self._replica.changed
            index = self._replica.current.index
            if index <= notified_index:
                await changed.wait()
                continue
            notified_index = index
            now_ms = self._clock.mono_ms()
            for host, pulled_ms in list(self._relays.items()):
                if now_ms - pulled_ms > RELAY_EXPIRY_MS:
                    del self._relays[host]
                    continue
                await self._peers.send_oneway(
                    host, messages.UpdateAvailable(index)
                )

    async def _serve_pull(
        self, sender: ids.HostId, message: messages.PullConfiguration
    ) -> messages.ConfigurationDelta:
        if message.standing is not None:
            await self._forward_status(message.standing)
            self._relays[sender] = self._clock.mono_ms()
        delta = self._replica.delta_since(message.after)
        delta.confirmed = self._voter.has_lease
        delta.leader = self._voter.leader
        return delta

    async def _forward_status(
        self, standing: messages.DataCentreStatus
    ) -> None:
        """Forward a data centre's status to the leader if plans run."""
        local_voter = self._voter
        if local_voter.role is voter.Role.LEADER:
            self._executor.update_status(standing)
            return
        if local_voter.leader is None or not local_voter.state.running_plans():
            return
        await self._peers.send_oneway(
            local_voter.leader, messages.ForwardStatus(standing)
        )

    async def _handle_status(
        self, _sender: ids.HostId, message: messages.ForwardStatus
    ) -> None:
        self._executor.update_status(message.standing)

    async def plan(
        self, operator: ids.OperatorId, request: operator_api.PlanRequest
    ) -> operator_api.OperatorResponse:
        """Create a plan; a repeated request gets the same answer."""
        digest = _request_digest('plan', request)
        known = self._known_answer(operator, request.number, digest)
        if known is not None:
            return known
        try:
            plan = plans.build_plan(
                ids.PlanId(f'{operator}-{request.number}'),
                operator,
                request.intent,
                self._voter.state.configuration,
                self._clock.wall_ms(),
                self._executor.load_wait_ms(),
            )
        except state_errors.StateError as error:
            return _error_answer(BAD_REQUEST, f'intent: {error}')
        entry = entries.MakePlan(operator, request.number, digest, plan)
        return await self._propose(entry)

    async def confirm(
        self,
        operator: ids.OperatorId,
        plan: ids.PlanId,
        request: operator_api.ConfirmRequest,
    ) -> operator_api.OperatorResponse:
        """Confirm a plan; a repeated request gets the same answer."""
        digest = _request_digest(f'confirm {plan}', request)
        known = self._known_answer(operator, request.number, digest)
        if known is not None:
            return known
        return await self._propose(
            entries.ConfirmPlan(
                operator,
                request.number,
                digest,
                plan,
                self._clock.wall_ms(),
            )
        )

    def _known_answer(
        self, operator: ids.OperatorId, number: int, digest: str
    ) -> operator_api.OperatorResponse | None:
        if not self._voter.has_lease:
            return self._not_leader_answer(may_be_accepted=False)
        answer = self._voter.state.find_answer(operator, number, digest)
        return None if answer is None else self._answer_for(answer)

    async def _propose(
        self, entry: entries.MakePlan | entries.ConfirmPlan
    ) -> operator_api.OperatorResponse:
        try:
            applied = await self._voter.propose(entry)
        except errors.NotLeaderError as error:
            return self._not_leader_answer(error.may_be_accepted)
        logger.info(
            'operator_decision',
            operator=entry.operator,
            number=entry.number,
            verdict=applied.answer.verdict,
            plan=applied.answer.plan,
            detail=applied.answer.detail,
        )
        return self._answer_for(applied.answer)

    def _answer_for(
        self, answer: replicated.Answer
    ) -> operator_api.OperatorResponse:
        body = {'answer': answer}
        plan = self._voter.state.plans.get(answer.plan)
        if plan is not None:
            body['plan'] = plan
        return operator_api.OperatorResponse(
            VERDICT_STATUSES[answer.verdict], body
        )

    def _not_leader_answer(
        self, may_be_accepted: bool
    ) -> operator_api.OperatorResponse:
        leader = self._voter.leader
        body = {
            'error': {
                'message': 'this control host does not lead',
                'leader': self._operator_urls.get(leader),
                'may_be_accepted': may_be_accepted,
            }
        }
        known = leader is not None and leader in self._operator_urls
        status = operator_api.MISDIRECTED if known else UNAVAILABLE
        return operator_api.OperatorResponse(status, body)

    def show_plan(self, plan: ids.PlanId) -> operator_api.OperatorResponse:
        """Return a plan, its progress and what it waits for."""
        plan_record = self._voter.state.plans.get(plan)
        if plan_record is None:
            return _error_answer(NOT_FOUND, f'no plan {plan}')
        body = {
            'plan': plan_record,
            'waits_for': self._executor.wait_reasons.get(plan, ''),
        }
        return operator_api.OperatorResponse(OK, body)

    def list_plans(self) -> operator_api.OperatorResponse:
        """Return summaries of the retained plans, oldest first."""
        listed = [
            {
                'plan': plan.plan,
                'operator': plan.operator,
                'state': plan.state,
                'summary': plan.summary,
            }
            for plan in self._voter.state.plans.values()
        ]
        return operator_api.OperatorResponse(OK, {'plans': listed})

    def show_configuration(self) -> operator_api.OperatorResponse:
        """Return the configuration applied on this host."""
        return operator_api.OperatorResponse(
            OK, self._voter.state.configuration
        )

    def show_status(self) -> operator_api.OperatorResponse:
        """Return this host's role and view of the control group."""
        local_voter = self._voter
        electorate = local_voter.committed_electorate
        body = {
            'role': local_voter.role,
            'term': local_voter.term,
            'leader': local_voter.leader,
            'has_lease': local_voter.has_lease,
            'incarnation': local_voter.incarnation,
            'voters': electorate.voters,
            'voters_before': electorate.before,
            'commit_index': local_voter.commit_index,
            'configuration_index': local_voter.state.configuration.index,
        }
        return operator_api.OperatorResponse(OK, body)


def _request_digest(kind: str, request: msgspec.Struct) -> str:
    body = kind.encode() + msgspec.json.encode(request)
    return hashlib.sha256(body).hexdigest()


def _error_answer(status: int, message: str) -> operator_api.OperatorResponse:
    return operator_api.OperatorResponse(
        status, {'error': {'message': message}}
    )

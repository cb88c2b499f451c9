"""What a control host does for operators and for entry hosts."""

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
from wrenspoke.protocol import operators
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
    """Plan, confirm and explain; hand the configuration to entry hosts."""

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
        peers.answers(messages.PullConfiguration)(self._serve_pull)
        peers.answers(messages.PassStanding)(self._handle_status)

    def start(self) -> None:
        """Begin to tell relays of changes."""
        self._tasks.start(self._notify_relays())

    async def close(self) -> None:
        """End the task."""
        await self._tasks.close()

    async def _notify_relays(self) -> None:
        """Tell the relays that pull here of each change, at once."""
        told = 0
        while True:
            changed = self._replica.changed
            index = self._replica.current.index
            if index <= told:
                await changed.wait()
                continue
            told = index
            now_ms = self._clock.mono_ms()
            for host, pulled_ms in list(self._relays.items()):
                if now_ms - pulled_ms > RELAY_EXPIRY_MS:
                    del self._relays[host]
                    continue
                await self._peers.tell(host, messages.News(index))

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

    async def _forward_status(self, standing: messages.Standing) -> None:
        """Bring a standing to the leader, if a plan waits for it."""
        elected = self._voter
        if elected.role is voter.Role.LEADER:
            self._executor.update_status(standing)
            return
        if elected.leader is None or not elected.state.running_plans():
            return
        await self._peers.tell(elected.leader, messages.PassStanding(standing))

    async def _handle_status(
        self, _sender: ids.HostId, message: messages.PassStanding
    ) -> None:
        self._executor.update_status(message.standing)

    async def plan(
        self, operator: ids.OperatorId, request: operators.PlanRequest
    ) -> operators.OperatorAnswer:
        """Make a plan; the same request again gets the same answer."""
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
        request: operators.ConfirmRequest,
    ) -> operators.OperatorAnswer:
        """Put a plan in force; the same again gets the same answer."""
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
    ) -> operators.OperatorAnswer | None:
        if not self._voter.has_lease:
            return self._not_leader_answer(may_be_accepted=False)
        answer = self._voter.state.find_answer(operator, number, digest)
        return None if answer is None else self._answer_for(answer)

    async def _propose(
        self, entry: entries.MakePlan | entries.ConfirmPlan
    ) -> operators.OperatorAnswer:
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
    ) -> operators.OperatorAnswer:
        body = {'answer': answer}
        plan = self._voter.state.plans.get(answer.plan)
        if plan is not None:
            body['plan'] = plan
        return operators.OperatorAnswer(VERDICT_STATUSES[answer.verdict], body)

    def _not_leader_answer(
        self, may_be_accepted: bool
    ) -> operators.OperatorAnswer:
        leader = self._voter.leader
        body = {
            'error': {
                'message': 'this control host does not lead',
                'leader': self._operator_urls.get(leader),
                'may_be_accepted': may_be_accepted,
            }
        }
        known = leader is not None and leader in self._operator_urls
        status = operators.MISDIRECTED if known else UNAVAILABLE
        return operators.OperatorAnswer(status, body)

    def show_plan(self, plan: ids.PlanId) -> operators.OperatorAnswer:
        """Tell what a plan is, how far it has come and why."""
        found = self._voter.state.plans.get(plan)
        if found is None:
            return _error_answer(NOT_FOUND, f'no plan {plan}')
        body = {
            'plan': found,
            'waits_for': self._executor.wait_reasons.get(plan, ''),
        }
        return operators.OperatorAnswer(OK, body)

    def list_plans(self) -> operators.OperatorAnswer:
        """List the plans that are kept, oldest first."""
        listed = [
            {
                'plan': plan.plan,
                'operator': plan.operator,
                'state': plan.state,
                'summary': plan.summary,
            }
            for plan in self._voter.state.plans.values()
        ]
        return operators.OperatorAnswer(OK, {'plans': listed})

    def show_configuration(self) -> operators.OperatorAnswer:
        """Return the configuration as this host has it."""
        return operators.OperatorAnswer(OK, self._voter.state.configuration)

    def show_status(self) -> operators.OperatorAnswer:
        """Tell what this control host knows of the group."""
        elected = self._voter
        deciding = elected.committed_electorate
        body = {
            'role': elected.role,
            'term': elected.term,
            'leader': elected.leader,
            'has_lease': elected.has_lease,
            'incarnation': elected.incarnation,
            'voters': deciding.voters,
            'voters_before': deciding.before,
            'commit_index': elected.commit_index,
            'configuration_index': elected.state.configuration.index,
        }
        return operators.OperatorAnswer(OK, body)


def _request_digest(what: str, request: msgspec.Struct) -> str:
    body = what.encode() + msgspec.json.encode(request)
    return hashlib.sha256(body).hexdigest()


def _error_answer(status: int, message: str) -> operators.OperatorAnswer:
    return operators.OperatorAnswer(status, {'error': {'message': message}})

"""State machine of the replicated log, the same on every voter."""

import enum

import msgspec

from wrenspoke import ids
from wrenspoke.state import configuration
from wrenspoke.state import entries
from wrenspoke.state import errors
from wrenspoke.state import plans
from wrenspoke.state import routes

# Aliases: fields of ReplicatedState shadow the modules of the same names.
Change = configuration.Change
Configuration = configuration.Configuration
Plan = plans.Plan
StepResult = plans.StepResult
Plans = dict[ids.PlanId, plans.Plan]

MAX_STORED_ANSWERS = 1_000
MAX_STORED_PLANS = 5_000


class Verdict(enum.Enum):
    """Outcome of an operator's request."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    STALE_BASE = 'moved_on'
    UNKNOWN = 'unknown'
    TOO_OLD = 'too_old'


class Answer(msgspec.Struct, frozen=True):
    """Answer to an operator's request; resends get the same answer."""

    verdict: Verdict
    plan: ids.PlanId
    index: int
    detail: str = ''


class StoredAnswer(msgspec.Struct, frozen=True):
    """An answer with the digest of its request."""

    digest: str
    answer: Answer


class ApplyResult(msgspec.Struct, frozen=True):
    """Result of applying an entry."""

    answer: Answer | None = None
    change: configuration.Change | None = None


class ReplicatedState(msgspec.Struct):
    """Configuration, plans and stored answers."""

    index: int = 0
    configuration: Configuration = Configuration()
    plans: Plans = {}
    answers: dict[ids.OperatorId, dict[int, StoredAnswer]] = {}
    last_load_ms: int = 0
    lenders: tuple[ids.HostId, ...] = ()

    def apply(self, index: int, entry: entries.Entry) -> ApplyResult:
        """Apply the entry at ``index``; deterministic."""
        self.index = index
        applier = _APPLIERS.get(type(entry))
        return (
            ApplyResult() if applier is None else applier(self, index, entry)
        )

    def find_answer(
        self, operator: ids.OperatorId, number: int, digest: str
    ) -> Answer | None:
        """Return the stored answer to a resent request, or None."""
        kept = self.answers.get(operator, {})
        found = kept.get(number)
        if found is None:
            if len(kept) >= MAX_STORED_ANSWERS and number < min(kept):
                return self._reject(
                    Verdict.TOO_OLD, f'number {number} is not kept any more'
                )
            return None
        if found.digest != digest:
            return self._reject(
                Verdict.CONFLICT,
                f'number {number} was used for something else',
            )
        return found.answer

    def _reject(self, verdict: Verdict, detail: str) -> Answer:
        return Answer(verdict, ids.PlanId(''), self.index, detail)

    def store_answer(
        self,
        operator: ids.OperatorId,
        number: int,
        digest: str,
        answer: Answer,
    ) -> ApplyResult:
        """Store an answer for resends and return it as a result."""
        kept = self.answers.setdefault(operator, {})
        kept[number] = StoredAnswer(digest, answer)
        while len(kept) > MAX_STORED_ANSWERS:
            del kept[min(kept)]
        return ApplyResult(answer=answer)

    def advance_plan(
        self,
        plan: Plan,
        index: int,
        reached: int,
        ends: tuple[StepResult, ...],
    ) -> Change | None:
        """Advance a plan to ``reached`` and apply the changes from there.

        Return the applied changes, or None if there are none.
        """
        changes = []
        current = self.configuration
        while reached < len(plan.steps):
            step = plan.steps[reached]
            if not isinstance(step, plans.Change):
                break
            current = configuration.apply(current, step.change, index)
            changes.append(step.change)
            reached += 1
        self.configuration = current
        done = reached == len(plan.steps)
        self.plans[plan.plan] = msgspec.structs.replace(
            plan,
            state=plans.PlanState.DONE if done else plans.PlanState.RUNNING,
            reached=reached,
            reached_index=index,
            issued_index=0,
            ends=ends,
        )
        if not changes:
            return None
        if len(changes) == 1:
            return changes[0]
        return configuration.ChangeBatch(tuple(changes))

    def running_plans(self) -> list[Plan]:
        """Return the plans that have a step to execute."""
        return [
            plan for plan in self.plans.values() if plan.current is not None
        ]


_APPLIERS = {}


def _register_applier(kind: type):
    def register(function):
        _APPLIERS[kind] = function
        return function

    return register


@_register_applier(entries.Bootstrap)
def _bootstrap(state: ReplicatedState, index: int, entry: entries.Bootstrap):
    change = configuration.SetAll(entry.configuration)
    state.configuration = configuration.apply(
        state.configuration, change, index
    )
    return ApplyResult(change=change)


@_register_applier(entries.MakePlan)
def _make_plan(state: ReplicatedState, index: int, entry: entries.MakePlan):
    known = state.find_answer(entry.operator, entry.number, entry.digest)
    if known is not None:
        return ApplyResult(answer=known)
    plan = entry.plan
    state.plans[plan.plan] = plan
    _evict_old_plans(state)
    answer = Answer(Verdict.ACCEPTED, plan.plan, index, plan.summary)
    return state.store_answer(
        entry.operator, entry.number, entry.digest, answer
    )


def _evict_old_plans(state: ReplicatedState) -> None:
    if len(state.plans) <= MAX_STORED_PLANS:
        return
    for name, plan in list(state.plans.items()):
        if plan.state is plans.PlanState.RUNNING:
            continue
        del state.plans[name]
        if len(state.plans) <= MAX_STORED_PLANS:
            return


@_register_applier(entries.ConfirmPlan)
def _confirm_plan(
    state: ReplicatedState, index: int, entry: entries.ConfirmPlan
):
    known = state.find_answer(entry.operator, entry.number, entry.digest)
    if known is not None:
        return ApplyResult(answer=known)
    change = None
    plan = state.plans.get(entry.plan)
    if plan is None:
        verdict, detail = Verdict.UNKNOWN, f'no plan {entry.plan}'
    elif plan.state is not plans.PlanState.PROPOSED:
        verdict = Verdict.CONFLICT
        detail = f'plan {entry.plan} was confirmed before'
    elif plan.base_index != state.configuration.index:
        verdict = Verdict.STALE_BASE
        detail = (
            f'made on index {plan.base_index}, the configuration is at '
            f'{state.configuration.index}; plan again'
        )
    else:
        verdict, detail = Verdict.ACCEPTED, plan.summary
        confirmed = msgspec.structs.replace(plan, confirmed_index=index)
        change = state.advance_plan(confirmed, index, 0, ())
        if change is None:
            # A plan that starts with an order changes nothing yet. Raise
            # the index to invalidate other plans with the same base.
            change = configuration.ChangeBatch(())
            state.configuration = configuration.apply(
                state.configuration, change, index
            )
    answer = Answer(verdict, entry.plan, index, detail)
    state.store_answer(entry.operator, entry.number, entry.digest, answer)
    return ApplyResult(answer=answer, change=change)


@_register_applier(entries.IssueOrder)
def _issue_order(
    state: ReplicatedState, index: int, entry: entries.IssueOrder
):
    plan = state.plans.get(entry.plan)
    if plan is None or plan.reached != entry.step:
        return ApplyResult()
    if not isinstance(plan.current, plans.Order):
        return ApplyResult()
    state.plans[entry.plan] = msgspec.structs.replace(plan, issued_index=index)
    if plan.current.loads:
        state.last_load_ms = max(state.last_load_ms, entry.at_ms)
    return ApplyResult()


@_register_applier(entries.EndStep)
def _end_step(state: ReplicatedState, index: int, entry: entries.EndStep):
    plan = state.plans.get(entry.plan)
    if plan is None or plan.current is None or plan.reached != entry.step:
        return ApplyResult()
    end = plans.StepResult(
        entry.step, entry.succeeded, entry.detail, entry.at_ms
    )
    ends = (*plan.ends, end)
    if not entry.succeeded:
        state.plans[entry.plan] = msgspec.structs.replace(
            plan, state=plans.PlanState.FAILED, ends=ends
        )
        return ApplyResult()
    try:
        change = state.advance_plan(plan, index, plan.reached + 1, ends)
    except errors.StateError as error:
        # Another plan changed what this one is based on.
        failed = msgspec.structs.replace(end, detail=str(error))
        state.plans[entry.plan] = msgspec.structs.replace(
            plan, state=plans.PlanState.FAILED, ends=(*plan.ends, failed)
        )
        return ApplyResult()
    return ApplyResult(change=change)


NO_PLAN = ids.PlanId('')


@_register_applier(entries.ReplaceRoutes)
def _replace_routes(
    state: ReplicatedState, index: int, entry: entries.ReplaceRoutes
):
    held = state.configuration.routes
    verdict = routes_verdict(held, entry.table)
    if verdict is not Verdict.ACCEPTED or entry.table.version <= held.version:
        detail = f'version {held.version} is in force'
        return ApplyResult(answer=Answer(verdict, NO_PLAN, index, detail))
    change = configuration.SetRoutes(entry.table)
    return _apply_change(state, index, change)


def routes_verdict(
    held: routes.RouteTable, offered: routes.RouteTable
) -> Verdict:
    """Return the verdict on a route table.

    An older version is accepted but not applied.
    """
    if offered.version == held.version and offered.digest != held.digest:
        return Verdict.CONFLICT
    return Verdict.ACCEPTED


@_register_applier(entries.Evacuate)
def _evacuate(state: ReplicatedState, index: int, entry: entries.Evacuate):
    held = entry.data_centre in state.configuration.evacuated
    if held == entry.evacuated:
        answer = Answer(Verdict.ACCEPTED, NO_PLAN, index, 'is so already')
        return ApplyResult(answer=answer)
    change = configuration.SetEvacuation(entry.data_centre, entry.evacuated)
    return _apply_change(state, index, change)


@_register_applier(entries.SetShareHolders)
def _set_share_holders(state: ReplicatedState, _index: int, entry):
    state.lenders = entry.hosts
    return ApplyResult()


@_register_applier(entries.SetQuarantine)
def _set_quarantine(
    state: ReplicatedState, index: int, entry: entries.SetQuarantine
):
    return _apply_change(state, index, entry.change)


def _apply_change(state: ReplicatedState, index: int, change: Change):
    state.configuration = configuration.apply(
        state.configuration, change, index
    )
    answer = Answer(Verdict.ACCEPTED, NO_PLAN, index)
    return ApplyResult(answer=answer, change=change)

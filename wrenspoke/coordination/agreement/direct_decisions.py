"""Operator decisions that need no plan: route tables and evacuations.

Each decision is one log entry. A decision that was already accepted is
acknowledged again; one that is older than the decision in force is rejected.
"""

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.agreement import voter
from wrenspoke.coordination import errors
from wrenspoke import ids
from wrenspoke.state import entries
from wrenspoke.state import replicated
from wrenspoke.state import routes

logger = structlog.get_logger(__name__)

# Part of the operator's one-second timeout that a host waits until a leader
# is known.
LEADER_WAIT_MS = 600
LEADER_POLL_INTERVAL_MS = 50


class DirectDecisions:
    """Commits operator decisions on a control host."""

    def __init__(self, local_voter: voter.Voter, clock: clocks.Clock):
        self._voter = local_voter
        self._clock = clock

    async def replace_routes(
        self, table: routes.RouteTable
    ) -> replicated.Answer:
        """Commit a route table unless a newer one is in force.

        :raises InvalidChangeError: the table is invalid
        :raises NotLeaderError: this host is not leader, or lost leadership
        """
        routes.check(table)
        await self._wait_for_leadership()
        current = self._voter.state.configuration.routes
        if replicated.routes_verdict(current, table) is (
            replicated.Verdict.CONFLICT
        ):
            return replicated.Answer(
                replicated.Verdict.CONFLICT,
                replicated.NO_PLAN,
                self._voter.commit_index,
                f'version {table.version} says something else',
            )
        return await self._propose_entry(entries.ReplaceRoutes(table))

    async def set_evacuation(
        self, data_centre: ids.DataCentreId, evacuated: bool
    ) -> replicated.Answer:
        """Set whether requests avoid the endpoints of a data centre.

        :raises NotLeaderError: this host is not leader, or lost leadership
        """
        await self._wait_for_leadership()
        return await self._propose_entry(
            entries.Evacuate(data_centre, evacuated)
        )

    async def _propose_entry(self, entry: entries.Entry) -> replicated.Answer:
        applied = await self._voter.propose(entry)
        logger.info(
            'operator_decision',
            kind=type(entry).__name__,
            verdict=applied.answer.verdict,
            index=applied.answer.index,
            detail=applied.answer.detail,
        )
        return applied.answer

    async def _wait_for_leadership(self) -> None:
        """Wait until this host is leader and holds the lease.

        :raises NotLeaderError: another host leads, or there is no leader
            after ``LEADER_WAIT_MS``
        """
        end_ms = self._clock.mono_ms() + LEADER_WAIT_MS
        while not self._voter.has_lease:
            leader = self._voter.leader
            if leader is not None and leader != self._voter.host:
                raise errors.NotLeaderError(leader, may_be_accepted=False)
            if self._clock.mono_ms() >= end_ms:
                logger.warning(
                    'no_leader_found',
                    role=self._voter.role,
                    term=self._voter.term,
                    has_vote=self._voter.is_voter,
                )
                raise errors.NotLeaderError(None, may_be_accepted=False)
            await self._clock.sleep_ms(LEADER_POLL_INTERVAL_MS)

    async def read_routes(self) -> routes.RouteTable:
        """Return the newest accepted route table (a linearizable read).

        :raises NotLeaderError: the commit index could not be confirmed, or
            was not applied here within ``LEADER_WAIT_MS``
        """
        index = await self._voter.confirmed_index()
        end_ms = self._clock.mono_ms() + LEADER_WAIT_MS
        while index is not None and self._voter.commit_index < index:
            if self._clock.mono_ms() >= end_ms:
                logger.warning(
                    'read_behind',
                    confirmed_index=index,
                    commit_index=self._voter.commit_index,
                )
                index = None
                break
            await self._clock.sleep_ms(LEADER_POLL_INTERVAL_MS)
        if index is None:
            raise errors.NotLeaderError(
                self._voter.leader, may_be_accepted=False
            )
        return self._voter.state.configuration.routes

"""How an entry host finds the others and learns what is in force.

It attends at two control hosts at a time, its own data centre's and
region's first. Each call tells that it lives and brings what is new.
When one gives no answer, or the second knows of no leader, the next is
tried; the last known ones are kept while none does.
"""

import asyncio
import dataclasses
import itertools
import random

import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination.membership import control_group
from wrenspoke.coordination.membership import lease as leases
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.membership import roster
from wrenspoke import ids
from wrenspoke.protocol import attending
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke.state import locations
from wrenspoke.state import registry

logger = structlog.get_logger(__name__)

# Two, so that one that is lost or cut off delays nothing.
SESSION_COUNT = 2
# Renews the lease of 2.5 s three times, so that two may be lost.
ATTEND_WAIT_MS = 700
# A host without a lease on its configuration serves nothing under keys; it
# asks so often whether a leader was found.
UNLEASED_WAIT_MS = 100
# The wait, a far region's round trip and a busy host's delay.
CALL_TIMEOUT_MS = 1_500
# Between two tries at control hosts that do not answer.
RETRY_DELAY_MS = 100
# A control host that was given up is tried after all others for so long:
# about as long as a stop and a start take.
FAILED_HOST_TTL_MS = 10_000
# A host that had no processor time for so long looks before it sends.
PAUSE_THRESHOLD_MS = 1_500
# Often enough to notice a stop within a fraction of it.
TICK_MS = 250
# How long a fresh start waits for a leader's word that nothing is newer, or
# for the other session's answer: a round trip to a far region of 160 ms.
# Where there is no leader, the best of both is served.
CONFIRMATION_WAIT_MS = 200
# What control hosts tell of others is not expired here.
NO_EXPIRY_MS = 10**9
# A control host without a leader for so long may be cut off from the others
# that decide. Longer than an election (2.0 s in the median, 2.5 s in 99 of
# 100): every host that moves is told all hosts and endpoints anew. One
# session looks elsewhere then; the other stays where it is.
LEADERLESS_MS = 4_000


@dataclasses.dataclass
class _Session:
    """Hold how far this host has come at one control host."""

    host: ids.HostId | None = None
    instance_id: str = ''
    endpoints_revision: int = 0
    hosts_revision: int = 0
    # The entry hosts that this control host knows.
    hosts: set[ids.HostId] = dataclasses.field(default_factory=set)
    leader_seen_ms: int = 0

    def reset(self, host: ids.HostId | None, now_ms: int) -> None:
        """Begin anew at a control host, or at none."""
        self.host = host
        self.instance_id = ''
        self.hosts = set()
        self.leader_seen_ms = now_ms


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderInfo:
    """Name a lead by its host and term, and who is asked for it here.

    Leads are the same whoever is asked.
    """

    host: ids.HostId
    term: int
    via_host: ids.HostId = dataclasses.field(compare=False)


class DiscoveryClient:
    """Attend at control hosts, and hold what they told."""

    def __init__(
        self,
        record: attending.HostRecord,
        group: control_group.ControlGroup,
        config_replica: replica.Replica,
        peers: peer_calls.Peers,
        clock: clocks.Clock,
        lease: leases.ConfigurationLease | None = None,
    ):
        self._record = record
        self._group = group
        self._replica = config_replica
        self._peers = peers
        self._clock = clock
        self.lease = lease or leases.ConfigurationLease(None, clock)
        self._record_numbers = itertools.count(1)
        self._tasks = runtime.Tasks()
        self._sessions = [_Session() for _number in range(SESSION_COUNT)]
        self._ticked_ms = clock.mono_ms()
        # When control hosts were given up.
        self._failed_ms: dict[ids.HostId, int] = {}
        # Control hosts that are known to stand in this region.
        self._local_controls: set[ids.HostId] = set()
        self._unconfirmed_start: asyncio.Task | None = None
        self.draining = False
        # The control host that leads, as told last.
        self.leader: LeaderInfo | None = None
        self.registry = registry.Registry(clock)
        self.roster = roster.Roster(NO_EXPIRY_MS, clock)
        config_replica.refreshable = True

    def start(self) -> None:
        """Begin to attend."""
        for session in self._sessions:
            self._tasks.start(self._run_session(session))
        self._tasks.start(self._tick())

    async def close(self) -> None:
        """End every task."""
        await self._tasks.close()

    def host_location(self, host: ids.HostId) -> locations.Location | None:
        """Return where a host stands, None if unknown.

        Of control hosts it is known which stand in this region.
        """
        if host in self._local_controls:
            return locations.Location(
                self._record.region, ids.DataCentreId(host)
            )
        return self.roster.location_of(host)

    @property
    def recently_ran(self) -> bool:
        """Tell whether this process has been running of late.

        One that was stopped for long may hold what has been left behind
        since, and must look before it sends anything.
        """
        age_ms = self._clock.mono_ms() - self._ticked_ms
        return age_ms <= PAUSE_THRESHOLD_MS

    async def _tick(self) -> None:
        while True:
            if not self.recently_ran:
                logger.warning('was_stopped', cause='no_processor_time')
                self._suspend_serving()
            self._ticked_ms = self._clock.mono_ms()
            await self._clock.sleep_ms(TICK_MS)

    def _suspend_serving(self) -> None:
        """Serve nothing before a control host was heard again."""
        self._replica.suspend_serving()
        if self._unconfirmed_start is not None:
            self._unconfirmed_start.cancel()
            self._unconfirmed_start = None

    async def push_status(self) -> None:
        """Tell every session's control host of a change here at once."""
        calls = [
            self._send_attend(session, session.host, 0)
            for session in self._sessions
            if session.host is not None
        ]
        await asyncio.gather(*calls)

    def withdraw(self, endpoint: ids.EndpointId, born_ms: int) -> None:
        """Take an endpoint for gone, and tell the control hosts so.

        ``born_ms`` names the life that was found to have ended.
        """
        gone = self.registry.final_registration(endpoint, born_ms)
        if not self.registry.merge_registration(gone):
            return
        logger.info('endpoint_gone', endpoint=endpoint)
        self._notify_control_hosts(attending.Withdraw(endpoint, born_ms))

    def mark_leaving(self, endpoint: ids.EndpointId, born_ms: int) -> None:
        """Take an endpoint for leaving, and tell the control hosts so."""
        if self.registry.mark_leaving(endpoint, born_ms):
            self._notify_control_hosts(
                attending.EndpointLeaves(endpoint, born_ms)
            )

    def _notify_control_hosts(
        self, message: attending.Withdraw | attending.EndpointLeaves
    ) -> None:
        """Tell the control hosts that this host attends at."""
        for session in self._sessions:
            if session.host is None:
                continue
            self._tasks.start(
                self._peers.tell(session.host, message), fatal=False
            )

    async def _run_session(self, session: _Session) -> None:
        while True:
            if session.host is None:
                session.reset(self._choose_host(), self._clock.mono_ms())
            if session.host is None:
                await self._clock.sleep_ms(RETRY_DELAY_MS)
                continue
            wait_ms = ATTEND_WAIT_MS if self.lease.held else UNLEASED_WAIT_MS
            if not await self._send_attend(session, session.host, wait_ms):
                logger.warning('control_host_lost', peer=session.host)
            elif self._is_leaderless(session):
                logger.info('control_host_left', peer=session.host)
            elif self._has_nearer_host(session.host):
                # Where control hosts stand is known after the first answer.
                session.reset(self._choose_host(), self._clock.mono_ms())
                continue
            else:
                continue
            self._failed_ms[session.host] = self._clock.mono_ms()
            session.reset(None, self._clock.mono_ms())
            await self._clock.sleep_ms(RETRY_DELAY_MS)

    def _is_leaderless(self, session: _Session) -> bool:
        """Tell whether a session should look for a leader elsewhere."""
        if session is self._sessions[0]:
            return False
        return self._clock.mono_ms() - session.leader_seen_ms > LEADERLESS_MS

    def _choose_host(self) -> ids.HostId | None:
        """Return a control host that no other session attends at."""
        taken = {session.host for session in self._sessions}
        free = [
            host for host in self._group.other_hosts() if host not in taken
        ]
        random.shuffle(free)
        return min(free, key=self._rank_host, default=None)

    def _has_nearer_host(self, host: ids.HostId) -> bool:
        """Tell whether a control host of this region is free, unlike one."""
        if host in self._local_controls:
            return False
        free = self._local_controls - {
            session.host for session in self._sessions
        }
        return any(not self._recent_failure_ms(one) for one in free)

    def _recent_failure_ms(self, host: ids.HostId) -> int:
        """Return when a control host was given up, 0 if not of late."""
        failed_ms = self._failed_ms.get(host)
        if failed_ms is None:
            return 0
        age_ms = self._clock.mono_ms() - failed_ms
        return failed_ms if age_ms < FAILED_HOST_TTL_MS else 0

    def _rank_host(self, host: ids.HostId) -> tuple[int, bool, bool]:
        """Rank control hosts: own data centre, own region, any other.

        Those that were given up of late go last.
        """
        own_ip = self._record.host.rpartition(':')[0]
        return (
            self._recent_failure_ms(host),
            not _same_subnet(host, own_ip),
            host not in self._local_controls,
        )

    async def _send_attend(
        self, session: _Session, host: ids.HostId, wait_ms: int
    ) -> bool:
        record = attending.HostRecord(
            self._record.host,
            self._record.region,
            self._record.data_centre,
            self._record.callers_address,
            self._record.passing_address,
            self._record.start,
            next(self._record_numbers),
            self.draining,
        )
        message = attending.Attend(
            record,
            self._replica.current.index,
            session.instance_id,
            session.endpoints_revision,
            session.hosts_revision,
            wait_ms,
        )
        asked_ms = self._clock.mono_ms()
        try:
            answer = await self._peers.call(host, message, CALL_TIMEOUT_MS)
        except protocol_errors.ProtocolError:
            return False
        if not isinstance(answer, attending.Attended):
            return False
        if session.host == host:
            try:
                self._apply_answer(session, answer)
                self._renew_lease(answer, asked_ms)
            except protocol_errors.ProtocolError as error:
                logger.warning('answer_refused', peer=host, reason=str(error))
                return False
        return True

    def _apply_answer(
        self, session: _Session, answer: attending.Attended
    ) -> None:
        self._group.record_contact(session.host)
        self._group.add_contacts(answer.controls)
        if answer.news:
            self._replica.apply_delta(attending.unpack(answer.news))
        for said in answer.endpoints:
            self.registry.merge_registration(said)
        if answer.hosts is not None:
            self._apply_host_changes(session, answer.hosts)
        self._local_controls.update(answer.near)
        if answer.led:
            session.leader_seen_ms = self._clock.mono_ms()
            self._update_leader(session.host, answer)
        session.instance_id = answer.life
        self._serve_if_ready(answer)
        session.endpoints_revision = answer.endpoints_revision
        session.hosts_revision = answer.hosts_revision

    def _renew_lease(self, answer: attending.Attended, asked_ms: int) -> None:
        """Renew the lease by what an answer proves, and no more.

        It was given no sooner than it was asked for and held back.
        """
        age_ms = answer.confirmed_age_ms
        if age_ms is None or self._replica.current.index < answer.index:
            return
        self.lease.confirm(asked_ms + answer.held_ms - age_ms)

    def _update_leader(
        self, via_host: ids.HostId, answer: attending.Attended
    ) -> None:
        """Note who leads; a control host that lags may name the one before."""
        if answer.leader is None:
            return
        if self.leader is None or answer.term >= self.leader.term:
            self.leader = LeaderInfo(answer.leader, answer.term, via_host)

    def _apply_host_changes(
        self, session: _Session, changes: attending.HostChanges
    ) -> None:
        """Take what changed; a host is lost once no session knows it."""
        lost = {*changes.lost}
        for record in changes.found:
            self.roster.merge_record(record)
        named = {record.host for record in changes.found}
        if changes.whole:
            lost = self.roster.hosts() - named
            session.hosts = named
        session.hosts |= named
        session.hosts -= lost
        for host in lost:
            if not any(host in one.hosts for one in self._sessions):
                self.roster.remove_host(host)

    def _serve_if_ready(self, answer: attending.Attended) -> None:
        """Serve by what a leader confirmed, or, after a wait, by the best.

        A region that is cut off has no leader and serves all the same.
        """
        if self._replica.serving or not self._replica.current.index:
            return
        if answer.confirmed:
            self._start_serving(confirmed=True)
            return
        if all(session.instance_id for session in self._sessions):
            # Whom to wait for has answered.
            self._start_serving(confirmed=False)
            return
        if self._unconfirmed_start is None:
            self._unconfirmed_start = self._tasks.start(
                self._serve_unconfirmed(), fatal=False
            )

    async def _serve_unconfirmed(self) -> None:
        await self._clock.sleep_ms(CONFIRMATION_WAIT_MS)
        self._unconfirmed_start = None
        if not self._replica.serving:
            self._start_serving(confirmed=False)

    def _start_serving(self, confirmed: bool) -> None:
        self._replica.start_serving()
        logger.info(
            'serving', index=self._replica.current.index, confirmed=confirmed
        )


def _same_subnet(host: ids.HostId, own_ip: str) -> bool:
    """Guess by the number whether a host stands in the same place."""
    return host.rpartition('.')[0] == own_ip.rpartition('.')[0]

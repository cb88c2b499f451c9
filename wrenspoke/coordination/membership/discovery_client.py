"""Discovery client of an entry host: configuration, registry and roster.

The host keeps long-poll sessions with two control hosts, preferring those
of its own data centre and region. Each call renews the host's lease and
returns the changes. If a control host does not answer, or that of the
second session has no leader, the session moves to another; while none
answers, the last known state stays in use.
"""

import asyncio
import collections.abc
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
from wrenspoke.protocol import discovery_messages
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import peers as peer_calls
from wrenspoke import runtime
from wrenspoke.state import locations
from wrenspoke.state import registry

logger = structlog.get_logger(__name__)

# The loss of one control host must not delay updates.
SESSION_COUNT = 2
# Renews the roster lease of 2.5 s three times, so that two may be lost.
ATTEND_WAIT_MS = 700
# Without a configuration lease all calls under keys are rejected, so the
# host polls faster.
UNLEASED_WAIT_MS = 100
# The wait, an inter-region round trip and a busy host's delay.
CALL_TIMEOUT_MS = 1_500
RETRY_DELAY_MS = 100
# Control hosts reply to a poll at once if they have something new.
MIN_POLL_INTERVAL_MS = 20
# A failed control host is tried last for this long, about the duration of
# a restart.
FAILED_HOST_TTL_MS = 10_000
# After a pause this long the state is revalidated before anything is sent.
PAUSE_THRESHOLD_MS = 1_500
# Has to be a fraction of PAUSE_THRESHOLD_MS.
TICK_MS = 250
# How long a starting host waits for a leader's confirmation or the other
# session's answer: an inter-region round trip of up to 160 ms. Without a
# leader the newest configuration of both sessions is served.
CONFIRMATION_WAIT_MS = 200
# Leases are expired by the control hosts alone.
NO_EXPIRY_MS = 10**9
# A few missed answers. Longer than ATTEND_WAIT_MS, the interval of answers
# without changes.
CURRENT_TTL_MS = 2_500
# Longer than ATTEND_WAIT_MS, much shorter than the lease of the roster.
ISOLATED_AFTER_MS = 1_000
# A control host without a leader for this long may be partitioned from the
# majority; the second session then moves, the first one stays. Has to
# exceed an election, since a move transfers the whole state again.
LEADERLESS_MS = 4_000


RenewalListener = collections.abc.Callable[[registry.Registration], None]


@dataclasses.dataclass
class _Session:
    """Tracks the progress of the session with one control host."""

    host: ids.HostId | None = None
    instance_id: str = ''
    endpoints_revision: int = 0
    hosts_revision: int = 0
    # Entry hosts in the roster of this control host.
    hosts: set[ids.HostId] = dataclasses.field(default_factory=set)
    leader_seen_ms: int = 0
    # The control host is stopping.
    host_leaving: bool = False

    def reset(self, host: ids.HostId | None, now_ms: int) -> None:
        """Start over with a control host, or with none."""
        self.host = host
        self.instance_id = ''
        self.hosts = set()
        self.leader_seen_ms = now_ms
        self.host_leaving = False


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderInfo:
    """Identifies a leader by its host and term.

    ``via_host`` is the control host that reported it; it is left out of
    comparisons.
    """

    host: ids.HostId
    term: int
    via_host: ids.HostId = dataclasses.field(compare=False)


class DiscoveryClient:
    """Keeps sessions with control hosts, and the state they report."""

    def __init__(
        self,
        record: discovery_messages.HostRecord,
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
        self._renewal_listeners: list[RenewalListener] = []
        self._tasks = runtime.Tasks()
        self._sessions = [_Session() for _number in range(SESSION_COUNT)]
        self._ticked_ms = clock.mono_ms()
        # When a control host last answered that is in contact with a leader
        # and has a complete registry.
        self._complete_ms: int | None = None
        # Time of the last failure of each control host.
        self._failed_ms: dict[ids.HostId, int] = {}
        # Control hosts known to be in this region.
        self._local_controls: set[ids.HostId] = set()
        self._unconfirmed_start: asyncio.Task | None = None
        self.draining = False
        # The last reported leader.
        self.leader: LeaderInfo | None = None
        self.registry = registry.Registry(clock)
        self.roster = roster.Roster(NO_EXPIRY_MS, clock)
        config_replica.refreshable = True

    def add_renewal_listener(self, listener: RenewalListener) -> None:
        """Call a listener with each registration that changed."""
        self._renewal_listeners.append(listener)

    def start(self) -> None:
        """Start the sessions and the pause detection."""
        for session in self._sessions:
            self._tasks.start(self._run_session(session))
        self._tasks.start(self._tick())

    async def close(self) -> None:
        """Cancel all tasks."""
        await self._tasks.close()

    def host_location(self, host: ids.HostId) -> locations.Location | None:
        """Return the location of a host, None if unknown.

        Control hosts of other regions are unknown.
        """
        if host in self._local_controls:
            return locations.Location(
                self._record.region, ids.DataCentreId(host)
            )
        return self.roster.location_of(host)

    @property
    def recently_ran(self) -> bool:
        """Return whether this process has had CPU time recently.

        After a long pause its state may be outdated and has to be
        revalidated before anything is sent.
        """
        age_ms = self._clock.mono_ms() - self._ticked_ms
        return age_ms <= PAUSE_THRESHOLD_MS

    @property
    def is_current(self) -> bool:
        """Return whether the registry has the registrations of all regions.

        That is while control hosts answer that are in contact with a leader
        and have a complete registry.
        """
        if self._complete_ms is None or not self.recently_ran:
            return False
        return self._clock.mono_ms() - self._complete_ms <= CURRENT_TTL_MS

    @property
    def is_isolated(self) -> bool:
        """Return whether no control host answers, with a leader or not."""
        return not self._group.seen_within(ISOLATED_AFTER_MS)

    async def _tick(self) -> None:
        while True:
            if not self.recently_ran:
                logger.warning('process_paused', cause='no_processor_time')
                self._suspend_serving()
            self._ticked_ms = self._clock.mono_ms()
            await self._clock.sleep_ms(TICK_MS)

    def _suspend_serving(self) -> None:
        """Stop serving until a control host has answered again."""
        self._replica.suspend_serving()
        if self._unconfirmed_start is not None:
            self._unconfirmed_start.cancel()
            self._unconfirmed_start = None

    async def push_status(self) -> None:
        """Send this host's record to the sessions' control hosts at once."""
        calls = [
            self._send_attend(session, session.host, 0)
            for session in self._sessions
            if session.host is not None
        ]
        await asyncio.gather(*calls)

    def withdraw(self, endpoint: ids.EndpointId, born_ms: int) -> None:
        """Mark an endpoint as gone, and report it to the control hosts.

        ``born_ms`` identifies the instance of the endpoint that has ended.
        """
        gone = self.registry.final_registration(endpoint, born_ms)
        if not self.registry.merge_registration(gone):
            return
        logger.info('endpoint_gone', endpoint=endpoint)
        self._notify_control_hosts(
            discovery_messages.WithdrawEndpoint(endpoint, born_ms)
        )

    def mark_leaving(self, endpoint: ids.EndpointId, born_ms: int) -> None:
        """Mark an endpoint as leaving, and report it to the control hosts."""
        if self.registry.mark_leaving(endpoint, born_ms):
            self._notify_control_hosts(
                discovery_messages.ReportLeaving(endpoint, born_ms)
            )

    def _notify_control_hosts(
        self,
        message: discovery_messages.WithdrawEndpoint
        | discovery_messages.ReportLeaving,
    ) -> None:
        """Send a message to the control hosts of all sessions."""
        for session in self._sessions:
            if session.host is None:
                continue
            self._tasks.start(
                self._peers.send_oneway(session.host, message), fatal=False
            )

    async def _run_session(self, session: _Session) -> None:
        pacer = clocks.Pacer(MIN_POLL_INTERVAL_MS, self._clock)
        while True:
            await pacer.wait()
            if session.host is None:
                session.reset(self._choose_host(), self._clock.mono_ms())
            if session.host is None:
                await self._clock.sleep_ms(RETRY_DELAY_MS)
                continue
            wait_ms = ATTEND_WAIT_MS if self.lease.held else UNLEASED_WAIT_MS
            if not await self._send_attend(session, session.host, wait_ms):
                logger.warning('control_host_lost', peer=session.host)
            elif session.host_leaving:
                logger.info('control_host_leaving', peer=session.host)
            elif self._is_leaderless(session):
                logger.info('control_host_leaderless', peer=session.host)
            elif self._has_nearer_host(session.host):
                # The first answer names the control hosts of this region.
                session.reset(self._choose_host(), self._clock.mono_ms())
                continue
            else:
                continue
            self._failed_ms[session.host] = self._clock.mono_ms()
            session.reset(None, self._clock.mono_ms())
            await self._clock.sleep_ms(RETRY_DELAY_MS)

    def _is_leaderless(self, session: _Session) -> bool:
        """Return whether a session should move to find a leader."""
        if session is self._sessions[0]:
            return False
        return self._clock.mono_ms() - session.leader_seen_ms > LEADERLESS_MS

    def _choose_host(self) -> ids.HostId | None:
        """Return a control host without a session, None if there is none."""
        taken = {session.host for session in self._sessions}
        free = [
            host for host in self._group.other_hosts() if host not in taken
        ]
        random.shuffle(free)
        return min(free, key=self._rank_host, default=None)

    def _has_nearer_host(self, host: ids.HostId) -> bool:
        """Return whether a free control host is nearer than ``host``."""
        if host in self._local_controls:
            return False
        free = self._local_controls - {
            session.host for session in self._sessions
        }
        return any(not self._recent_failure_ms(one) for one in free)

    def _recent_failure_ms(self, host: ids.HostId) -> int:
        """Return when a control host last failed, 0 if not recently."""
        failed_ms = self._failed_ms.get(host)
        if failed_ms is None:
            return 0
        age_ms = self._clock.mono_ms() - failed_ms
        return failed_ms if age_ms < FAILED_HOST_TTL_MS else 0

    def _rank_host(self, host: ids.HostId) -> tuple[int, bool, bool]:
        """Return a sort key: own data centre, own region, any other.

        Recently failed control hosts sort last.
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
        record = discovery_messages.HostRecord(
            self._record.host,
            self._record.region,
            self._record.data_centre,
            self._record.callers_address,
            self._record.passing_address,
            self._record.start,
            next(self._record_numbers),
            self.draining,
        )
        message = discovery_messages.Attend(
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
        if not isinstance(answer, discovery_messages.AttendReply):
            return False
        if session.host == host:
            try:
                self._apply_answer(session, answer)
                self._renew_lease(answer, asked_ms)
            except protocol_errors.ProtocolError as error:
                logger.warning('answer_rejected', peer=host, reason=str(error))
                return False
        return True

    def _apply_answer(
        self, session: _Session, answer: discovery_messages.AttendReply
    ) -> None:
        self._group.record_contact(session.host)
        self._group.add_contacts(answer.controls)
        if answer.news:
            self._replica.apply_delta(
                discovery_messages.unpack_delta(answer.news)
            )
        for said in answer.endpoints:
            self.registry.merge_registration(said)
            for listener in self._renewal_listeners:
                listener(said)
        if answer.hosts is not None:
            self._apply_host_changes(session, answer.hosts)
        self._local_controls.update(answer.near)
        if answer.led:
            session.leader_seen_ms = self._clock.mono_ms()
            if answer.complete:
                self._complete_ms = session.leader_seen_ms
            self._update_leader(session.host, answer)
        session.instance_id = answer.life
        session.host_leaving = answer.leaving
        self._serve_if_ready(answer)
        session.endpoints_revision = answer.endpoints_revision
        session.hosts_revision = answer.hosts_revision

    def _renew_lease(
        self, answer: discovery_messages.AttendReply, asked_ms: int
    ) -> None:
        """Renew the lease by as much as an answer proves.

        The answer was sent no earlier than the request plus the time for
        which the control host held it.
        """
        age_ms = answer.confirmed_age_ms
        if age_ms is None or self._replica.current.index < answer.index:
            return
        self.lease.confirm(asked_ms + answer.held_ms - age_ms)

    def _update_leader(
        self, via_host: ids.HostId, answer: discovery_messages.AttendReply
    ) -> None:
        """Store the leader, unless a lagging host reports an older term."""
        if answer.leader is None:
            return
        if self.leader is None or answer.term >= self.leader.term:
            self.leader = LeaderInfo(answer.leader, answer.term, via_host)

    def _apply_host_changes(
        self, session: _Session, changes: discovery_messages.HostChanges
    ) -> None:
        """Apply roster changes; remove a host once no session lists it."""
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

    def _serve_if_ready(self, answer: discovery_messages.AttendReply) -> None:
        """Start serving once a leader has confirmed, or after a wait.

        A partitioned region has no leader and still has to serve.
        """
        if self._replica.serving or not self._replica.current.index:
            return
        if answer.confirmed:
            self._start_serving(confirmed=True)
            return
        if all(session.instance_id for session in self._sessions):
            # Both sessions have answered, nothing newer will arrive.
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
    """Return whether two addresses share a /24, taken for a data centre."""
    return host.rpartition('.')[0] == own_ip.rpartition('.')[0]

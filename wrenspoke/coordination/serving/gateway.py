"""Entry point for requests of callers on an entry host.

The gateway authenticates a request, applies rules, limits and quarantine,
selects the region that serves it, and reports how it ended.
"""

import asyncio
import typing

import msgspec
import structlog

from wrenspoke import clock as clocks
from wrenspoke.coordination import errors
from wrenspoke.coordination.membership import members
from wrenspoke.coordination.membership import replica
from wrenspoke.coordination.quarantine import guard as guards
from wrenspoke.coordination.serving import decisions
from wrenspoke.coordination.serving import forwarding
from wrenspoke.coordination.serving import ledger
from wrenspoke.coordination.serving import local_server
from wrenspoke.coordination.serving import once
from wrenspoke.coordination.serving import placement
from wrenspoke.coordination.serving import streams
from wrenspoke.coordination.serving import team_rate_limits
from wrenspoke import ids
from wrenspoke.protocol import errors as protocol_errors
from wrenspoke.protocol import fingerprints
from wrenspoke.protocol import headers
from wrenspoke.protocol import outcomes
from wrenspoke.protocol import replies
from wrenspoke.protocol import requests
from wrenspoke import settings
from wrenspoke.state import configuration
from wrenspoke.state import teams

logger = structlog.get_logger(__name__)

# The outcome of these also holds for resends: the ledger determined it, or
# the request is invalid and no attempt can have run.
DEFINITIVE_REASONS = frozenset(
    [
        outcomes.Reason.CLAIM_REFUSED,
        outcomes.Reason.LEDGER_UNREACHABLE,
        outcomes.Reason.BAD_REQUEST,
    ]
)

# Reasons for which a request may fail over to another region.
FAILOVER_REASONS = frozenset(
    [
        outcomes.Reason.NO_ENDPOINT,
        outcomes.Reason.OVERLOAD,
        outcomes.Reason.ENDPOINT_FAILED,
    ]
)


class Gateway:
    """Serves callers on one entry host."""

    def __init__(
        self,
        deployment: settings.Deployment,
        host: settings.HostSettings,
        config_replica: replica.Replica,
        host_members: members.Members,
        scheduler: placement.EndpointScheduler,
        server: local_server.LocalServer,
        streamer: streams.StreamServer,
        once_server: once.OnceServer,
        forwarder: forwarding.Forwarder,
        team_limiter: team_rate_limits.TeamRateLimiter,
        once_ledger: ledger.Ledger,
        decision_log: decisions.DecisionLog,
        guard: guards.Guard,
        clock: clocks.Clock,
    ):
        self._deployment = deployment
        self._settings = deployment.entry
        self._host = host
        self._replica = config_replica
        self._members = host_members
        self._scheduler = scheduler
        self._server = server
        self._streams = streamer
        self._once = once_server
        self._forwarder = forwarder
        self._team_limiter = team_limiter
        self._ledger = once_ledger
        self._decisions = decision_log
        self._guard = guard
        self._clock = clock
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._closing = False
        self.outcome_counts: dict[str, int] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of requests in progress."""
        return self._in_flight

    async def drain(self, timeout_ms: int) -> bool:
        """Reject new requests and wait until none is in flight.

        Return False if some are left after ``timeout_ms``.
        """
        self._closing = True
        try:
            async with clocks.timeout_ms(timeout_ms):
                await self._idle.wait()
                await self._once.close()
            return True
        except TimeoutError:
            return False

    async def serve(
        self, head: requests.RequestHead, body: bytes, reply: replies.Reply
    ) -> None:
        """Serve one request; reply with its ending if it gets no response."""
        self._in_flight += 1
        self._idle.clear()
        started_ms = self._clock.mono_ms()
        try:
            await self._route(head, body, reply)
            self._record_outcome(head, 'whole', started_ms)
        except errors.RequestEndedError as error:
            ending = _adjust_for_resend(head, error.ending)
            self._record_outcome(head, ending, started_ms)
            await reply.send_ending(ending)
        finally:
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()

    def _record_outcome(
        self,
        head: requests.RequestHead,
        ending: outcomes.Ending | str,
        started_ms: int,
    ) -> None:
        whole = isinstance(ending, str)
        outcome = ending if whole else ending.outcome.value
        self.outcome_counts[outcome] = self.outcome_counts.get(outcome, 0) + 1
        self._decisions.record(
            'ended',
            head.request,
            outcome=outcome,
            reason='' if whole else ending.reason,
            taken_ms=self._clock.mono_ms() - started_ms,
        )

    async def _route(
        self, head: requests.RequestHead, body: bytes, reply: replies.Reply
    ) -> None:
        if not self._replica.serving:
            raise self._not_run_error(
                outcomes.Reason.NO_CONFIGURATION,
                'this host has no current configuration; use another host',
            )
        if self._closing:
            raise self._not_run_error(
                outcomes.Reason.DRAINING,
                'this host is draining; get another host from the directory',
            )
        if head.service not in self._replica.current.services:
            raise self._bad_request_error(
                'service', f'{head.service!r} is unknown here'
            )
        head = _with_digest(self._authenticate(head), body)
        await self._check_quarantine(head)
        self._check_team_limit(head)
        head, key = self._apply_rules(head)
        reply.request_id = head.request
        region = self._select_region(head, key)
        self._decisions.record(
            'routed',
            head.request,
            service=head.service,
            region=region,
            home=head.home,
            bound=head.bound,
            once=head.once,
            hops=len(head.path_of_hosts),
        )
        if region != self._host.region:
            if head.forwarded:
                raise self._not_run_error(
                    outcomes.Reason.HOP_LIMIT,
                    f'was forwarded already and has to be served in {region}',
                )
            await self._forwarder.forward(head, body, region, reply)
            return
        try:
            await self._serve_locally(head, key, body, reply)
        except errors.RequestEndedError as error:
            failover_region = self._failover_region(head, error.ending, reply)
            if failover_region is None:
                raise
            self._decisions.record(
                'sent_away',
                head.request,
                region=failover_region,
                reason=error.ending.reason,
            )
            await self._forwarder.forward(head, body, failover_region, reply)

    def _failover_region(
        self,
        head: requests.RequestHead,
        ending: outcomes.Ending,
        reply: replies.Reply,
    ) -> ids.RegionId | None:
        """Return a region to forward a failed request to, None without one.

        Only requests that were not run and that are neither bound, once-only
        nor low priority fail over.
        """
        if ending.outcome is not outcomes.Outcome.NOT_RUN or reply.started:
            return None
        if ending.reason not in FAILOVER_REASONS:
            return None
        if head.bound or head.once or head.forwarded:
            return None
        if head.priority is requests.Priority.LOW:
            return None
        return self._nearest_region_serving(head)

    def _authenticate(
        self, head: requests.RequestHead
    ) -> requests.RequestHead:
        """Return a request with the team of its key, and without the key.

        Until the first key is issued the team header is trusted. The first
        host has authenticated a forwarded request.

        :raises RequestEndedError: the key is missing or unknown
        """
        current = self._replica.current
        if not current.proved or head.forwarded:
            return head
        secret = teams.derive_secret(self._deployment.cluster)
        team = current.keys.get(teams.digest_of(head.key, secret).hex())
        if not head.key or team is None:
            raise errors.RequestEndedError(
                outcomes.Ending(
                    outcomes.Outcome.NOT_RUN,
                    outcomes.Reason.UNKNOWN_KEY,
                    'the key is missing or held by no team',
                )
            )
        return msgspec.structs.replace(head, team=team, key='')

    async def _check_quarantine(self, head: requests.RequestHead) -> None:
        """Reject a quarantined request.

        :raises RequestEndedError: it is quarantined
        """
        await self._guard.request_trials(head.fingerprint, head.request)
        hold = self._guard.refuse_if_held(head.fingerprint)
        if hold is not None:
            raise errors.RequestEndedError(
                outcomes.Ending(
                    outcomes.Outcome.NOT_RUN,
                    outcomes.Reason.QUARANTINED,
                    'endpoints crashed running this request or others with '
                    f'a part of its prompt ({hold.digest})',
                    hold.left_ms,
                )
            )

    def _check_team_limit(self, head: requests.RequestHead) -> None:
        """Reject a request that exceeds its team's rate limit.

        The first host counts a request; forwarded ones are not counted again.

        :raises RequestEndedError: the team is over its limit
        """
        if head.forwarded:
            return
        wait_ms = self._team_limiter.admit(head.team)
        if wait_ms:
            raise errors.RequestEndedError(
                outcomes.Ending(
                    outcomes.Outcome.NOT_RUN,
                    outcomes.Reason.TEAM_LIMIT,
                    f'team {head.team} is over its limit',
                    wait_ms,
                )
            )

    async def _serve_locally(
        self,
        head: requests.RequestHead,
        key: requests.OnceKey | None,
        body: bytes,
        reply: replies.Reply,
    ) -> None:
        if key is not None:
            await self._once.serve(head, key, body, reply)
            return
        if head.stream:
            await self._streams.serve(head, body, reply)
            return
        answer = await self._server.serve(head, body)
        await reply.send_response(
            answer.status, answer.headers, answer.body, answer.outcome
        )

    def _apply_rules(
        self, head: requests.RequestHead
    ) -> tuple[requests.RequestHead, requests.OnceKey | None]:
        """Return a request with the operators' rules applied, and its key.

        Rules may add ``bound`` and ``once`` but never remove them.

        :raises RequestEndedError: the home region or key is invalid
        """
        bound, is_once = head.bound, head.once
        for rule in self._replica.current.rules.values():
            if not rule.matches(head.service, head.method, head.path):
                continue
            bound |= rule.bound
            is_once |= rule.once
        regions = {host.region for host in self._deployment.hosts}
        if bound and head.home is None:
            raise self._bad_request_error(
                headers.HOME,
                'required: this request must stay in its home region',
            )
        if head.home is not None and head.home not in regions:
            raise self._bad_request_error(
                headers.HOME,
                f'found {head.home!r}; one of {sorted(regions)} is allowed',
            )
        key = self._once_key(head, bound) if is_once else None
        changed = msgspec.structs.replace(
            head,
            bound=bound,
            once=is_once,
            request=head.request if key is None else str(key),
            stream=head.stream and not is_once,
        )
        return changed, key

    def _once_key(
        self, head: requests.RequestHead, bound: bool
    ) -> requests.OnceKey:
        if head.minted:
            region = head.home if bound else self._host.region
            return requests.new_once_key(region, self._clock.wall_ms())
        try:
            key = requests.parse_once_key(head.request)
        except protocol_errors.BadRequestError as error:
            raise self._bad_request_error(
                error.field, error.problem
            ) from error
        regions = {host.region for host in self._deployment.hosts}
        if key.region not in regions:
            raise self._bad_request_error(
                headers.REQUEST,
                f'found region {key.region!r}; one of {sorted(regions)} '
                'is allowed',
            )
        if bound and key.region != head.home:
            raise self._bad_request_error(
                headers.REQUEST,
                f'found region {key.region!r}; a request bound to '
                f'{head.home} needs a key of that region',
            )
        return key

    def _select_region(
        self, head: requests.RequestHead, key: requests.OnceKey | None
    ) -> ids.RegionId:
        if head.bound:
            return head.home
        if key is not None:
            return key.region
        own = ids.RegionId(self._host.region)
        if head.forwarded:
            return own
        left_ms = head.deadline_ms - self._clock.mono_ms()
        if self._scheduler.estimate_response_ms(head) <= left_ms:
            return own
        return self._nearest_region_serving(head) or own

    def _nearest_region_serving(
        self, head: requests.RequestHead
    ) -> ids.RegionId | None:
        """Return the nearest other region that can serve, None without one."""
        own = self._host.region
        regions = {
            endpoint.region
            for endpoint in self._replica.current.endpoints.values()
            if endpoint.service == head.service
            and endpoint.region != own
            and self._replica.takes_work(endpoint)
            and (head.model is None or head.model in endpoint.models)
        }
        reachable = [
            region
            for region in regions
            if any(
                self._members.usable(host)
                for host in self._members.entry_hosts_in(region)
            )
        ]
        return min(
            reachable,
            key=lambda region: (
                self._deployment.one_way_ms(own, region),
                region,
            ),
            default=None,
        )

    def _not_run_error(
        self, reason: outcomes.Reason, detail: str
    ) -> errors.RequestEndedError:
        return errors.RequestEndedError(
            outcomes.Ending(
                outcomes.Outcome.NOT_RUN,
                reason,
                detail,
                self._settings.retry_after_ms,
            )
        )

    def _bad_request_error(
        self, field: str, problem: str
    ) -> errors.RequestEndedError:
        return errors.RequestEndedError(
            outcomes.Ending(
                outcomes.Outcome.NOT_RUN,
                outcomes.Reason.BAD_REQUEST,
                f'{field}: {problem}',
            )
        )

    def directory(self, region: str | None) -> dict[str, typing.Any]:
        """Return the usable entry hosts as JSON data, nearest first."""
        return {
            'region': region or self._host.region,
            'ttl_ms': self._settings.directory_ttl_ms,
            'hosts': [
                {
                    'host': entry.host,
                    'region': entry.region,
                    'data_centre': entry.data_centre,
                    'url': f'http://{entry.ip}:{entry.http_port}',
                }
                for entry in self._members.usable_by_distance(region)
            ],
        }

    def models(self) -> list[str]:
        """Return the served model versions, sorted."""
        found = set()
        for endpoint in self._replica.current.endpoints.values():
            if self._replica.takes_work(endpoint):
                found.update(endpoint.models)
        return sorted(found)

    def explain(self, request: str) -> list[dict[str, typing.Any]]:
        """Return the recorded decisions on one request, oldest first."""
        return self._decisions.explain(request)

    def status(self) -> dict[str, typing.Any]:
        """Return the status of this host and its peers as JSON data."""
        return {
            'host': self._host.host,
            'region': self._host.region,
            'data_centre': self._host.data_centre,
            'index': self._replica.current.index,
            'serving': self._replica.serving,
            'draining': self._members.draining,
            'in_flight': self._in_flight,
            'ended': self.outcome_counts,
            'ledger_keys': self._ledger.key_count,
            'sent_to_endpoints': self._server.dispatcher.sent,
            'retries_spent': self._server.budget.spent,
            'retries_denied': self._server.budget.denied,
            'quarantine_refused': self._guard.refused_count,
            'in_quarantine': len(self._replica.current.quarantine),
            'peers': {
                host: self._members.usable(host)
                for host in self._members.local_peers
            },
        }

    def service_of_model(self, model: str | None) -> str | None:
        """Return the engine service of a model, None for an unknown model.

        Empty while this host has no current configuration.
        """
        current = self._replica.current
        if not self._replica.serving:
            return ''
        for endpoint in current.endpoints.values():
            service = current.services[endpoint.service]
            if service.kind is not configuration.ServiceKind.ENGINE:
                continue
            if model is None or model in endpoint.models:
                return endpoint.service
        return None


def _adjust_for_resend(
    head: requests.RequestHead, ending: outcomes.Ending
) -> outcomes.Ending:
    """Return an ending, as unknown for a resend that was not run.

    An earlier attempt may have been run. Only the ledger can exclude that,
    for once-only requests.
    """
    if ending.outcome is not outcomes.Outcome.NOT_RUN or not head.resend:
        return ending
    if ending.reason in DEFINITIVE_REASONS:
        return ending
    return msgspec.structs.replace(ending, outcome=outcomes.Outcome.UNKNOWN)


def _with_digest(
    head: requests.RequestHead, body: bytes
) -> requests.RequestHead:
    """Return a request with its digest; a forwarded one has it already.

    The digest of the first host is kept, as resuming a stream changes the
    body.
    """
    if head.fingerprint.request:
        return head
    digest = fingerprints.request_digest(
        head.team, head.method, head.service, head.path, body
    )
    return msgspec.structs.replace(
        head,
        fingerprint=msgspec.structs.replace(head.fingerprint, request=digest),
    )

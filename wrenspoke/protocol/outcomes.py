"""Outcomes of requests, and their HTTP status codes."""

import enum

import msgspec


class Outcome(enum.Enum):
    """How a request ended."""

    WHOLE = 'whole'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


class Reason(enum.Enum):
    """Reason why a request did not get a complete response."""

    BAD_REQUEST = 'bad_request'
    CLAIM_EXISTS = 'claim_exists'
    CLAIM_REFUSED = 'claim_refused'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    ENDPOINT_FAILED = 'endpoint_failed'
    HOME_UNREACHABLE = 'home_unreachable'
    HOP_LIMIT = 'hop_limit'
    KEY_EXPIRED = 'key_expired'
    LEDGER_UNREACHABLE = 'ledger_unreachable'
    NO_CONFIGURATION = 'no_configuration'
    NO_ENDPOINT = 'no_endpoint'
    OVERLOAD = 'overload'
    QUARANTINED = 'quarantined'
    REGION_UNREACHABLE = 'region_unreachable'
    STREAM_BROKEN = 'stream_broken'
    TEAM_LIMIT = 'team_limit'
    UNKNOWN_KEY = 'unknown_key'


class Ending(msgspec.Struct, frozen=True):
    """Outcome that is sent to a caller in place of a response."""

    outcome: Outcome
    reason: Reason
    detail: str = ''
    retry_after_ms: int = 0
    retry_owned: bool = False


STATUSES = {
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 502,
    Outcome.FAILED: 502,
}
REASON_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.CLAIM_EXISTS: 409,
    Reason.CLAIM_REFUSED: 409,
    Reason.KEY_EXPIRED: 410,
    Reason.TEAM_LIMIT: 429,
    Reason.UNKNOWN_KEY: 401,
}


def http_status(ending: Ending) -> int:
    """Return the HTTP status code for an ending."""
    found = REASON_STATUSES.get(ending.reason)
    if found is not None:
        return found
    if ending.reason is Reason.DEADLINE:
        return 504
    return STATUSES[ending.outcome]

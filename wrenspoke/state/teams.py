"""Teams: API keys, priorities, home regions and rate limits of callers.

A team authenticates with one of its API keys. Only keyed digests of keys
are stored, so hosts, log entries and disks contain nothing that could be
used to call, and digests made with one secret are useless with another.
"""

import enum
import hashlib
import math
import secrets

import msgspec

from wrenspoke import ids
from wrenspoke.state import errors

DIGEST_BYTES = 16
SECRET_BYTES = 16
KEY_BYTES = 24


class LimitUnit(enum.Enum):
    """Unit of a team's limit."""

    CALLS = 'calls'
    TOKENS = 'tokens'


class TeamLimit(msgspec.Struct, frozen=True):
    """Rate limit of a team, over all hosts together.

    ``rate_per_s`` and ``burst`` are in calls or tokens. A call that states
    no number of tokens costs ``plain_amount``.
    """

    rate_per_s: float
    burst: float = 0.0
    unit: LimitUnit = LimitUnit.CALLS
    plain_amount: float = 1.0

    def amount(self, tokens: int) -> float:
        """Return the cost of a call that needs ``tokens`` tokens."""
        if self.unit is LimitUnit.CALLS:
            return 1.0
        return float(tokens) if tokens > 0 else self.plain_amount


class Team(msgspec.Struct, frozen=True):
    """A team of callers.

    ``keys`` holds digests. Priority 0 is the most urgent. Without ``homes``
    every region may serve the team; without ``limit`` it is not limited.
    """

    team: ids.TeamId
    keys: tuple[bytes, ...] = ()
    priority: int | None = None
    homes: tuple[ids.RegionId, ...] = ()
    limit: TeamLimit | None = None


class TeamTable(msgspec.Struct, frozen=True):
    """All teams, and the secret of the digests of their keys."""

    secret: bytes
    teams: tuple[Team, ...] = ()


def new_secret() -> bytes:
    """Return a random secret for key digests."""
    return secrets.token_bytes(SECRET_BYTES)


def derive_secret(cluster: str) -> bytes:
    """Return the digest secret of a deployment that uses ``new_key``.

    Such keys cannot be guessed; the secret only makes the digests of one
    deployment useless in another.
    """
    return hashlib.blake2b(cluster.encode(), digest_size=SECRET_BYTES).digest()


def new_key() -> str:
    """Return a new random API key."""
    return secrets.token_urlsafe(KEY_BYTES)


def digest_of(key: str, secret: bytes) -> bytes:
    """Return the keyed digest of an API key."""
    return hashlib.blake2b(
        key.encode('utf-8', 'surrogateescape'),
        digest_size=DIGEST_BYTES,
        key=secret,
    ).digest()


def check(table: TeamTable) -> None:
    """Validate a team table: unique names and keys, valid limits.

    :raises InvalidChangeError: the message names the teams and the field
    """
    names: set[ids.TeamId] = set()
    holders: dict[bytes, ids.TeamId] = {}
    for team in table.teams:
        where = f'teams.{team.team}'
        if team.team in names:
            raise errors.InvalidChangeError(f'{where}: duplicate team')
        names.add(team.team)
        for key in team.keys:
            holder = holders.setdefault(key, team.team)
            if holder != team.team:
                raise errors.InvalidChangeError(
                    f'{where}: shares a key with teams.{holder}'
                )
        _check_limit(where, team.limit)


def _check_limit(where: str, limit: TeamLimit | None) -> None:
    if limit is None:
        return
    for field in ('rate_per_s', 'burst', 'plain_amount'):
        value = getattr(limit, field)
        if not math.isfinite(value) or value < 0:
            raise errors.InvalidChangeError(
                f'{where}.limit.{field}: found {value}; must be 0 or more'
            )


class TeamIndex:
    """Looks up teams by API key or name."""

    def __init__(self, table: TeamTable):
        self.table = table
        self._by_key = {key: team for team in table.teams for key in team.keys}
        self._by_name = {team.team: team for team in table.teams}

    def find(self, key: str) -> Team | None:
        """Return the team that holds an API key, or None."""
        if not key:
            return None
        return self._by_key.get(digest_of(key, self.table.secret))

    def find_by_name(self, team: ids.TeamId) -> Team | None:
        """Return the team with a name, or None."""
        return self._by_name.get(team)

"""Teams: who may call, by which keys, how urgently, where and how much.

A team proves itself by one of its keys. Only keyed digests of keys are
held: what a host, a log entry or a disk knows of a key can't be used to
call, and digests made under one secret say nothing under another.
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
    """Say what a team's limit counts."""

    CALLS = 'calls'
    TOKENS = 'tokens'


class TeamLimit(msgspec.Struct, frozen=True):
    """Bound what a team may ask for, over all hosts together.

    Calls or tokens, ``rate_per_s`` of them and ``burst`` on top. A call
    that does not say how many tokens it needs counts ``plain_amount``.
    """

    rate_per_s: float
    burst: float = 0.0
    unit: LimitUnit = LimitUnit.CALLS
    plain_amount: float = 1.0

    def amount(self, tokens: int) -> float:
        """Return how much a call counts that needs so many tokens."""
        if self.unit is LimitUnit.CALLS:
            return 1.0
        return float(tokens) if tokens > 0 else self.plain_amount


class Team(msgspec.Struct, frozen=True):
    """Describe a team.

    ``keys`` are digests. Priority 0 is the most urgent. Without ``homes``
    every region may serve it, without ``limit`` it may ask for any amount.
    """

    team: ids.TeamId
    keys: tuple[bytes, ...] = ()
    priority: int | None = None
    homes: tuple[ids.RegionId, ...] = ()
    limit: TeamLimit | None = None


class TeamTable(msgspec.Struct, frozen=True):
    """Hold all teams, and the secret that their keys' digests are made by."""

    secret: bytes
    teams: tuple[Team, ...] = ()


def new_secret() -> bytes:
    """Return a secret to make digests by."""
    return secrets.token_bytes(SECRET_BYTES)


def derive_secret(cluster: str) -> bytes:
    """Return the secret of a deployment whose keys are drawn by ``new_key``.

    Such keys can't be guessed; the secret keeps digests of one deployment
    from saying anything in another.
    """
    return hashlib.blake2b(cluster.encode(), digest_size=SECRET_BYTES).digest()


def new_key() -> str:
    """Return a key that nobody has."""
    return secrets.token_urlsafe(KEY_BYTES)


def digest_of(key: str, secret: bytes) -> bytes:
    """Return what is held in place of a key."""
    return hashlib.blake2b(
        key.encode('utf-8', 'surrogateescape'),
        digest_size=DIGEST_BYTES,
        key=secret,
    ).digest()


def check(table: TeamTable) -> None:
    """Refuse teams that can't be told apart, or whose fields are wrong.

    :raises InvalidChangeError: naming the teams and the field
    """
    names: set[ids.TeamId] = set()
    holders: dict[bytes, ids.TeamId] = {}
    for team in table.teams:
        where = f'teams.{team.team}'
        if team.team in names:
            raise errors.InvalidChangeError(f'{where}: there are two of it')
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
    """Find the team that holds a key."""

    def __init__(self, table: TeamTable):
        self.table = table
        self._by_key = {key: team for team in table.teams for key in team.keys}
        self._by_name = {team.team: team for team in table.teams}

    def find(self, key: str) -> Team | None:
        """Return the team that holds a key, None if none does."""
        if not key:
            return None
        return self._by_key.get(digest_of(key, self.table.secret))

    def find_by_name(self, team: ids.TeamId) -> Team | None:
        """Return a team by its name, None if there is none."""
        return self._by_name.get(team)

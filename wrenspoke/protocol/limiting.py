"""The messages by which teams' limits are parted and spent."""

import msgspec

from wrenspoke import ids


class ShareRequest(msgspec.Struct, array_like=True, frozen=True):
    """Ask for a share of one team's limit.

    The lender goes on with ``held`` of it and could use ``wanted``.
    Amounts are milliseconds of the limit's whole rate: ``returned_ms``
    comes back with what is held no longer, and all levels of the team
    together hold ``depth_ms`` at the most.
    """

    team: ids.TeamId
    held: float
    wanted: float
    returned_ms: float
    depth_ms: float


class ShareGrant(msgspec.Struct, array_like=True, frozen=True):
    """Grant a share of a team's limit, with the level that goes with it."""

    team: ids.TeamId
    share: float
    level_ms: float = 0.0


class AskShares(msgspec.Struct, tag='ask_shares'):
    """Ask for shares of teams' limits.

    A control host that does not lead passes it on to the one that does,
    with the name of the ``lender``. ``number`` rises within one ``life`` of
    the lender: a question that was held up on its way says what the lender
    held then.
    """

    shares: list[ShareRequest]
    life: str = ''
    number: int = 0
    lender: ids.HostId | None = None


class AskSharesReply(msgspec.Struct, tag='shares_granted'):
    """Answer with what is held from now on, for as long as a lease.

    For ``unsettled_ms`` shares that older leaders granted may still be
    held, and less than the whole can be parted.
    """

    granted: list[ShareGrant]
    unsettled_ms: int = 0


class AskAmount(msgspec.Struct, tag='ask_amount'):
    """Ask a team's lender in this region for what one call needs."""

    team: ids.TeamId
    amount: float


class AskAmountReply(msgspec.Struct, tag='amount_granted'):
    """Answer whether a call may go on, after ``wait_ms``.

    One that may not should come back after that time.
    """

    granted: bool
    wait_ms: int


class EndpointInstance(msgspec.Struct, array_like=True, frozen=True):
    """Name one life of an endpoint; ``born_ms`` is 0 where it has but one."""

    endpoint: ids.EndpointId
    born_ms: int = 0


class EndpointLimit(msgspec.Struct, array_like=True, frozen=True):
    """Tell how many requests a second an endpoint takes, by its own word.

    ``rate_per_s`` is None where it takes what comes. Of two of one life the
    higher ``version`` is newer.
    """

    life: EndpointInstance
    version: int = 0
    rate_per_s: float | None = None


class EndpointBackoff(msgspec.Struct, array_like=True, frozen=True):
    """Gossip that an endpoint refused a host's request, or serves again.

    ``left_ms`` is the rest of the time that it named; 0 if it has served a
    request of the host since.
    """

    life: EndpointInstance
    host: ids.HostId
    left_ms: int


class GrantId(msgspec.Struct, array_like=True, frozen=True):
    """Name a leave to send: the lender, its life, and a rising number."""

    lender: ids.HostId
    life: str
    number: int


class AskSend(msgspec.Struct, tag='ask_send'):
    """Ask who lends an endpoint's limit whether a request may be sent.

    ``known`` is what the asking host knows of the limit. The lowest
    ``rank`` goes first.
    """

    known: EndpointLimit
    rank: int


class AskSendReply(msgspec.Struct, tag='send_answered'):
    """Answer whether it may, with what is known of the limit.

    ``grant`` is None where it may not, nor is worth asking again before
    ``wait_ms``, and where there is no limit any more.
    """

    known: EndpointLimit
    grant: GrantId | None = None
    wait_ms: int = 0


class ReportLimit(msgspec.Struct, tag='limit_heard'):
    """Tell a lender which rate an endpoint's answer named, None if none.

    ``known`` is what the host knows of the limit after it, ``grant`` the
    leave under which the request was sent; None if that was without.
    """

    known: EndpointLimit
    rate_per_s: float | None
    grant: GrantId | None = None

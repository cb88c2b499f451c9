"""Messages for the rate limits of teams and endpoints."""

import msgspec

from wrenspoke import ids


class ShareRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request for a share of one team's limit.

    The holder keeps ``held`` of the limit and could use ``wanted``. Token
    amounts are in milliseconds of the full rate: ``returned_ms`` are returned
    with the share that is given up, and ``depth_ms`` is the capacity of all
    the team's buckets together.
    """

    team: ids.TeamId
    held: float
    wanted: float
    returned_ms: float
    depth_ms: float


class ShareGrant(msgspec.Struct, array_like=True, frozen=True):
    """Granted share of a team's limit, with the tokens of that share.

    ``unallocated`` is the part of the limit that no host holds after this
    grant, ``unallocated_ms`` its tokens; None from older hosts.
    """

    team: ids.TeamId
    share: float
    level_ms: float = 0.0
    unallocated: float | None = None
    unallocated_ms: float = 0.0


class AskShares(msgspec.Struct, tag='ask_shares'):
    """Request shares of teams' limits for a holder.

    A follower forwards it to the leader with the name of the holder in
    ``lender``. ``number`` increases within one instance of the holder,
    ``life``, so that delayed requests with outdated shares can be rejected.
    """

    shares: list[ShareRequest]
    life: str = ''
    number: int = 0
    lender: ids.HostId | None = None


class AskSharesReply(msgspec.Struct, tag='shares_granted'):
    """Reply with the shares that the holder holds for one lease.

    For ``unsettled_ms`` shares granted by previous leaders may still be
    leased, so that less than the full limit can be allocated.
    """

    granted: list[ShareGrant]
    unsettled_ms: int = 0


class AskAmount(msgspec.Struct, tag='ask_amount'):
    """Request tokens for one call from a team's bucket owner."""

    team: ids.TeamId
    amount: float


class AskAmountReply(msgspec.Struct, tag='amount_granted'):
    """Reply whether a call is admitted, after a delay of ``wait_ms``.

    A call that is not admitted can be retried after that time.
    """

    granted: bool
    wait_ms: int


class EndpointInstance(msgspec.Struct, array_like=True, frozen=True):
    """Instance of an endpoint; ``born_ms`` is 0 if it has only one."""

    endpoint: ids.EndpointId
    born_ms: int = 0


class EndpointLimit(msgspec.Struct, array_like=True, frozen=True):
    """Rate limit that an endpoint advertises, in requests per second.

    ``rate_per_s`` is None without a limit. For one instance the limit with
    the higher ``version`` is newer.
    """

    life: EndpointInstance
    version: int = 0
    rate_per_s: float | None = None


class EndpointBackoff(msgspec.Struct, array_like=True, frozen=True):
    """Gossip that an endpoint refused a host's request, or serves again.

    ``left_ms`` is the remaining backoff that the endpoint requested; 0 if it
    has served a request of the host since.
    """

    life: EndpointInstance
    host: ids.HostId
    left_ms: int


class GrantId(msgspec.Struct, array_like=True, frozen=True):
    """Id of a send permit: the owner, its instance, a rising number."""

    lender: ids.HostId
    life: str
    number: int


class AskSend(msgspec.Struct, tag='ask_send'):
    """Request a send permit from the owner of an endpoint's bucket.

    ``known`` is the limit as the sender holds it. Requests with the lowest
    ``rank`` are granted first.
    """

    known: EndpointLimit
    rank: int


class AskSendReply(msgspec.Struct, tag='send_answered'):
    """Reply to a request for a send permit, with the owner's limit.

    Without a permit ``grant`` is None: the sender retries after ``wait_ms``,
    unless the endpoint has no limit any more.
    """

    known: EndpointLimit
    grant: GrantId | None = None
    wait_ms: int = 0


class ReportLimit(msgspec.Struct, tag='limit_heard'):
    """Report the rate in an endpoint's response to its bucket owner.

    ``rate_per_s`` is None if the response advertised none. ``known`` is the
    host's limit updated by the response, ``grant`` the permit of the request;
    None if it was sent without one.
    """

    known: EndpointLimit
    rate_per_s: float | None
    grant: GrantId | None = None

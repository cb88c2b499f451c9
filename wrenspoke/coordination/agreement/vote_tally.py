"""Vote counting for one round of vote requests."""

import structlog

from wrenspoke import ids
from wrenspoke.protocol import messages
from wrenspoke.state import electorates

logger = structlog.get_logger(__name__)


class VoteTally:
    """Counts the replies to one round of vote requests.

    A vote counts only from the disk incarnation that was admitted.
    """

    def __init__(
        self,
        host: ids.HostId,
        disk: ids.Incarnation,
        electorate: electorates.Electorate,
    ):
        self._electorate = electorate
        self._granted = {host: disk}
        self._refused: dict[ids.HostId, str] = {}
        self.other_voters = sorted(electorate.hosts - {host})

    def record_reply(
        self, host: ids.HostId, answer: messages.VoteReply
    ) -> None:
        """Record a voter's reply."""
        if not self._electorate.has_voter(host, answer.incarnation):
            self._refused[host] = f'other disk {answer.incarnation}'
        elif answer.granted:
            self._granted[host] = answer.incarnation
        else:
            reason = answer.refused
            self._refused[host] = 'unsaid' if reason is None else reason.value

    @property
    def won(self) -> bool:
        """Return whether a majority granted its vote."""
        return bool(
            self._electorate.majority_value(
                lambda host, disk: int(self._granted.get(host) == disk)
            )
        )

    def log_lost(self, request: messages.RequestVote, silence_ms: int) -> None:
        """Log which hosts granted, refused or did not answer the request.

        :param silence_ms: the time since the last contact with a leader
        """
        unanswered = (
            set(self.other_voters)
            - self._granted.keys()
            - self._refused.keys()
        )
        logger.warning(
            'votes_lost',
            term=request.term,
            pre=request.pre,
            last_index=request.last_index,
            silence_ms=silence_ms,
            voters=sorted(self._electorate.voters),
            before=sorted(self._electorate.before),
            given=sorted(self._granted),
            refused=dict(sorted(self._refused.items())),
            silent=sorted(unanswered),
        )

"""Count the votes that one canvass brings, and tell why it was lost."""

import structlog

from wrenspoke.coordination.agreement import lead
from wrenspoke import ids
from wrenspoke.protocol import messages

logger = structlog.get_logger(__name__)


class Canvass:
    """Hold what the voters answered to one call for votes.

    A vote counts where it comes from the disk that was admitted.
    """

    def __init__(
        self,
        host: ids.HostId,
        voters: dict[ids.HostId, ids.Incarnation],
    ):
        self._voters = voters
        self._given = {host}
        self._refused: dict[ids.HostId, str] = {}
        self.others = sorted(voters.keys() - {host})

    def note(self, host: ids.HostId, answer: messages.VoteReply) -> None:
        """Count an answer."""
        if answer.incarnation != self._voters[host]:
            self._refused[host] = f'other disk {answer.incarnation}'
        elif answer.granted:
            self._given.add(host)
        else:
            reason = answer.refused
            self._refused[host] = 'unsaid' if reason is None else reason.value

    @property
    def won(self) -> bool:
        """Tell whether a majority gave its vote."""
        return len(self._given) >= lead.majority(self._voters)

    def tell_lost(self, asked: messages.AskVote, silence_ms: int) -> None:
        """Log who kept this host from leading, and why.

        ``silence_ms`` is how long no leader was heard. Who is in none of
        the lists gave no answer.
        """
        silent = self._voters.keys() - self._given - self._refused.keys()
        logger.warning(
            'canvass_lost',
            term=asked.term,
            pre=asked.pre,
            last_index=asked.last_index,
            silence_ms=silence_ms,
            needed=lead.majority(self._voters),
            given=sorted(self._given),
            refused=dict(sorted(self._refused.items())),
            silent=sorted(silent),
        )

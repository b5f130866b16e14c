"""How long a new request would wait for its turn."""

from foxtailshunt.config import FloorShares, Rank
from foxtailshunt.dispatch._rank_queues import RankQueues

#: The ranks that are served before a rank.
HIGHER_RANKS: dict[Rank, tuple[Rank, ...]] = {
    Rank.URGENT: (),
    Rank.CAREFUL: (Rank.URGENT,),
    Rank.DEFERRABLE: (Rank.URGENT, Rank.CAREFUL),
}


def expected_wait_s(queues: RankQueues, floors: FloorShares, limit: int, rank: Rank) -> float:
    """Return the time until what would go before a new request has been served, in seconds.

    :param queues: the waiting requests.
    :param floors: shares of the lower ranks.
    :param limit: requests served at one time.
    :param rank: the new request's rank.
    """
    own_s = queues.expected_s(rank)
    if rank is Rank.URGENT:
        return own_s / (limit * _share_left(queues, floors))
    ahead_s = own_s + sum(map(queues.expected_s, HIGHER_RANKS[rank]))
    share = floors.careful if rank is Rank.CAREFUL else floors.deferrable
    if not share:
        return ahead_s / limit
    return min(ahead_s / limit, own_s / (limit * share))


def _share_left(queues: RankQueues, floors: FloorShares) -> float:
    careful = floors.careful if queues.has_waiting(Rank.CAREFUL) else 0.0
    deferrable = floors.deferrable if queues.has_waiting(Rank.DEFERRABLE) else 0.0
    return 1 - careful - deferrable

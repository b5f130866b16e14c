"""Whether a new request can be served in its remaining time."""

from foxtailshunt.config import FloorShares, Rank
from foxtailshunt.dispatch._rank_queues import RankQueues
from foxtailshunt.dispatch._turn import Turn

#: The ranks that are served before a rank.
HIGHER_RANKS: dict[Rank, tuple[Rank, ...]] = {
    Rank.URGENT: (),
    Rank.CAREFUL: (Rank.URGENT,),
    Rank.DEFERRABLE: (Rank.URGENT, Rank.CAREFUL),
}


#: Multiple of the estimated wait that must fit into the remaining time.
_WAIT_MARGIN = 1.2
#: Time without an empty queue after which urgent work is overloaded, in seconds.
_STANDING_S = 1.0
#: Part of its remaining time that an urgent request may wait in an overload.
_STANDING_WAIT_FRACTION = 0.2
#: Service times that an urgent request may wait in an overload at least.
_STANDING_WAIT_SERVICES = 2


def can_be_served(
    queues: RankQueues, floors: FloorShares, limit: int, turn: Turn, now: float
) -> bool:
    """Return whether a new request is expected to be served in time.

    While urgent work has been queued for long without a break, more of it than can be served comes
    in: then a long queue serves no more requests than a short one and only delays each answer, so
    that new urgent requests are taken only if they wait for a small part of their time.

    :param queues: the waiting requests.
    :param floors: shares of the lower ranks.
    :param limit: requests served at one time.
    :param turn: the new request.
    :param now: the moment, in seconds of the monotonic clock.
    """
    wait_s = expected_wait_s(queues, floors, limit, turn.rank)
    remaining_s = turn.deadline_at - now
    if wait_s * _WAIT_MARGIN + turn.expected_s > remaining_s:
        return False
    if turn.rank is not Rank.URGENT or not queues.has_waiting(Rank.URGENT):
        return True
    if now - queues.busy_since(Rank.URGENT) < _STANDING_S:
        return True
    allowed_s = remaining_s * _STANDING_WAIT_FRACTION
    return wait_s <= max(allowed_s, _STANDING_WAIT_SERVICES * turn.expected_s)


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

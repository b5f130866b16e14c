"""Accounts that keep a share of an upstream's capacity for the lower ranks."""

from collections.abc import Callable

from foxtailshunt.config import FloorShares, Rank

#: Work of other ranks after which a rank's use of idle capacity no longer counts against its
#: floor, in slot-seconds.
_WINDOW_SLOT_S = 0.5
#: Rounding error allowed for, in slot-seconds.
_TOLERANCE_SLOT_S = 1e-9


class FloorCredits:
    """Credits of the ranks that have a floor, in slot-seconds.

    All work gives each such rank its share as credit; its own work costs it in full. A rank whose
    credit is not negative is at or below its floor. A rank with nothing waiting saves up no credit.
    Work that used capacity which no higher rank wanted costs at most what the window gives back,
    while work granted ahead of a higher rank is always paid in full.

    :param shares: the shares of the ranks.
    """

    def __init__(self, shares: FloorShares) -> None:
        self._credit = {Rank.CAREFUL: 0.0, Rank.DEFERRABLE: 0.0}
        self.set_shares(shares)

    def set_shares(self, shares: FloorShares) -> None:
        """Take other shares into use.

        :param shares: the shares of the ranks.
        """
        self._shares = {Rank.CAREFUL: shares.careful, Rank.DEFERRABLE: shares.deferrable}

    def credit(self, rank: Rank) -> float:
        """Return a rank's credit in slot-seconds, 0 for a rank without a floor.

        :param rank: the rank.
        """
        return self._credit.get(rank, 0.0)

    def below_floor(self, has_waiting: Callable[[Rank], bool]) -> list[Rank]:
        """Return the ranks with waiting requests that are not above their floors, lowest first.

        :param has_waiting: tells whether a rank has waiting requests.
        """
        ranks = [
            rank
            for rank, credit in self._credit.items()
            if self._shares[rank] and credit >= -_TOLERANCE_SLOT_S and has_waiting(rank)
        ]
        if len(ranks) > 1:
            ranks.sort(key=self._credit.__getitem__, reverse=True)
        return ranks

    def charge(
        self, rank: Rank, cost_s: float, by_floor: bool, has_waiting: Callable[[Rank], bool]
    ) -> None:
        """Account for work.

        :param rank: the rank whose work it is.
        :param cost_s: slot-seconds; negative to correct an earlier charge.
        :param by_floor: whether it was granted ahead of a higher rank.
        :param has_waiting: tells whether a rank has waiting requests.
        """
        for each, share in self._shares.items():
            self._credit[each] += share * cost_s
        if rank in self._credit:
            self._credit[rank] = self._after_own_work(rank, cost_s, by_floor)
        for each in self._credit:
            if self._credit[each] > 0 and not has_waiting(each):
                self._credit[each] = 0.0

    def _after_own_work(self, rank: Rank, cost_s: float, by_floor: bool) -> float:
        credit = self._credit[rank]
        if by_floor:
            return credit - cost_s
        lowest = min(credit, -self._shares[rank] * _WINDOW_SLOT_S)
        return max(credit - max(cost_s, 0.0), lowest)

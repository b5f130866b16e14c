"""Accounts that keep a share of an upstream's capacity for the lower ranks.

Load it answers: a flood of urgent work, in which less urgent work must not stand still.
"""

from collections.abc import Collection

from foxtailshunt.routing import RankFloor

#: Work of other ranks after which a rank's use of idle capacity no longer counts against its
#: floor, in slot-seconds.
WINDOW_SLOT_S = 0.5
#: Rounding error allowed for, in slot-seconds.
TOLERANCE_SLOT_S = 1e-9


class FloorCredits:
    """Credits of the ranks that have a floor, in slot-seconds.

    All work gives each such rank its share as credit; its own work costs it in full. A rank whose
    credit is not negative is at or below its floor. A rank with nothing waiting saves up no credit.
    Work that used capacity which no higher rank wanted costs at most what the window gives back,
    while work that went ahead of a higher rank is always paid in full.

    :param floors: the shares of the ranks.
    """

    def __init__(self, floors: tuple[RankFloor, ...]) -> None:
        self._floors = floors
        self._credit = {floor.rank: 0.0 for floor in floors if floor.share > 0}
        self._shares = {floor.rank: floor.share for floor in floors if floor.share > 0}

    def __bool__(self) -> bool:
        return bool(self._shares)

    def set_floors(self, floors: tuple[RankFloor, ...]) -> None:
        """Take other shares; ranks that had one keep their credit.

        :param floors: the shares of the ranks.
        """
        if floors == self._floors:
            return
        self._floors = floors
        self._shares = {floor.rank: floor.share for floor in floors if floor.share > 0}
        self._credit = {rank: self._credit.get(rank, 0.0) for rank in self._shares}

    def copy(self) -> "FloorCredits":
        """Return credits that can be charged apart from these."""
        other = FloorCredits(self._floors)
        other._credit = dict(self._credit)
        return other

    def most_underserved(self, waiting: Collection[int]) -> int | None:
        """Return the waiting rank that is furthest below its floor; None if none is.

        :param waiting: the ranks that have requests waiting.
        """
        owed = [
            rank
            for rank, credit in self._credit.items()
            if credit >= -TOLERANCE_SLOT_S and rank in waiting
        ]
        return max(owed, key=self._credit.__getitem__, default=None)

    def charge(
        self, rank: int, cost_s: float, promoted_by_floor: bool, waiting: Collection[int]
    ) -> None:
        """Account for work.

        :param rank: the rank whose work it is.
        :param cost_s: slot-seconds; negative to correct an earlier charge.
        :param by_floor: whether it went ahead of a higher rank.
        :param waiting: the ranks that have requests waiting.
        """
        for each, share in self._shares.items():
            self._credit[each] += share * cost_s
        if rank in self._credit:
            self._credit[rank] = self._after_own_work(rank, cost_s, promoted_by_floor)
        for each in self._credit:
            if self._credit[each] > 0 and each not in waiting:
                self._credit[each] = 0.0

    def _after_own_work(self, rank: int, cost_s: float, promoted_by_floor: bool) -> float:
        credit = self._credit[rank]
        if promoted_by_floor:
            return credit - cost_s
        lowest = min(credit, -self._shares[rank] * WINDOW_SLOT_S)
        return max(credit - max(cost_s, 0.0), lowest)

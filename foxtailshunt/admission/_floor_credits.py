"""Credit accounts that guarantee the lower ranks a minimum share of an upstream's capacity.

They keep less urgent requests from starving during a flood of urgent ones.
"""

from collections.abc import Collection

from foxtailshunt.routing import RankFloor

#: Work of other ranks after which a rank's use of idle capacity is no longer charged against its
#: floor, in slot-seconds.
WINDOW_SLOT_S = 0.5
#: Tolerance for rounding errors, in slot-seconds.
TOLERANCE_SLOT_S = 1e-9


class FloorCredits:
    """Credits of the ranks that have a floor, in slot-seconds.

    The work of any rank credits each rank that has a floor with its share of that work; a rank's
    own work is debited in full. A rank whose credit is not negative is at or below its floor. A
    rank without queued requests accumulates no credit. Work on capacity that no higher rank
    requested is debited at most to what the window restores; work that was served before a
    higher rank is always debited in full.

    :param floors: the minimum shares of the ranks.
    """

    def __init__(self, floors: tuple[RankFloor, ...]) -> None:
        self._floors = floors
        self._credit = {floor.rank: 0.0 for floor in floors if floor.share > 0}
        self._shares = {floor.rank: floor.share for floor in floors if floor.share > 0}

    def __bool__(self) -> bool:
        return bool(self._shares)

    def set_floors(self, floors: tuple[RankFloor, ...]) -> None:
        """Replace the floors; ranks that had one keep their credit.

        :param floors: the minimum shares of the ranks.
        """
        if floors == self._floors:
            return
        self._floors = floors
        self._shares = {floor.rank: floor.share for floor in floors if floor.share > 0}
        self._credit = {rank: self._credit.get(rank, 0.0) for rank in self._shares}

    def share(self, rank: int) -> float:
        """Return the minimum share of a rank; 0 if it has none.

        :param rank: the rank.
        """
        return self._shares.get(rank, 0.0)

    def copy(self) -> "FloorCredits":
        """Return an independent copy."""
        other = FloorCredits(self._floors)
        other._credit = dict(self._credit)
        return other

    def most_underserved(self, waiting: Collection[int]) -> int | None:
        """Return the rank that is furthest below its floor.

        :param waiting: the ranks that have queued requests.
        :returns: None if no rank with queued requests is at or below its floor.
        """
        underserved = [
            rank
            for rank, credit in self._credit.items()
            if credit >= -TOLERANCE_SLOT_S and rank in waiting
        ]
        return max(underserved, key=self._credit.__getitem__, default=None)

    def charge(
        self, rank: int, cost_s: float, promoted_by_floor: bool, waiting: Collection[int]
    ) -> None:
        """Account for the work of a request.

        :param rank: the rank of the request.
        :param cost_s: the work in slot-seconds; negative to correct an earlier charge.
        :param promoted_by_floor: True if the request was served before one of a higher rank.
        :param waiting: the ranks that have queued requests.
        """
        for floor_rank, share in self._shares.items():
            self._credit[floor_rank] += share * cost_s
        if rank in self._credit:
            self._credit[rank] = self._debit(rank, cost_s, promoted_by_floor)
        for floor_rank in self._credit:
            if self._credit[floor_rank] > 0 and floor_rank not in waiting:
                self._credit[floor_rank] = 0.0

    def _debit(self, rank: int, cost_s: float, promoted_by_floor: bool) -> float:
        """Return the credit of a rank after its own work."""
        credit = self._credit[rank]
        if promoted_by_floor:
            return credit - cost_s
        lowest = min(credit, -self._shares[rank] * WINDOW_SLOT_S)
        return max(credit - max(cost_s, 0.0), lowest)

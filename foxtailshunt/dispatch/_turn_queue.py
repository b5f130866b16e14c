"""The queue of one upstream: three ranks, bounded, with an exact limit of requests in flight."""

import heapq
import itertools
import math
import threading
from collections import deque
from collections.abc import Callable

from foxtailshunt.config import FloorShares, QueueLimits, Rank
from foxtailshunt.dispatch._floor_credits import FloorCredits
from foxtailshunt.dispatch._in_flight_limit import InFlightLimit
from foxtailshunt.dispatch._turn import Turn, TurnState
from foxtailshunt.errors import ResultCode
from foxtailshunt.timing import Clock

#: Cost charged at the grant while nothing is known of an operation, in slot-seconds.
_UNKNOWN_COST_S = 0.01


class TurnQueue:
    """Grants turns at one upstream; safe to use from any thread.

    A free slot goes to a rank below its floor first, then to urgent, careful and deferrable work,
    oldest first. A slot is never left idle while something waits.

    :param clock: the clock.
    :param limit: how many turns may be held at one time.
    :param floors: shares of the lower ranks.
    :param lengths: longest queue of each rank.
    """

    def __init__(
        self, clock: Clock, limit: InFlightLimit, floors: FloorShares, lengths: QueueLimits
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._lock = threading.Lock()
        self._credits = FloorCredits(floors)
        self._floors = floors
        self._waiting: dict[Rank, deque[Turn]] = {rank: deque() for rank in Rank}
        self._waiting_s: dict[Rank, float] = dict.fromkeys(Rank, 0.0)
        self._held: set[Turn] = set()
        self._lingering: list[tuple[float, int, Turn]] = []
        self._sequence = itertools.count()
        self._set_lengths(lengths)

    def configure(self, floors: FloorShares, lengths: QueueLimits) -> None:
        """Take other shares and lengths into use.

        :param floors: shares of the lower ranks.
        :param lengths: longest queue of each rank.
        """
        with self._lock:
            self._floors = floors
            self._credits.set_shares(floors)
            self._set_lengths(lengths)

    def join(self, turn: Turn) -> None:
        """Grant a turn, let it wait, or reject it at once.

        :param turn: the new turn; its state tells what became of it.
        """
        with self._lock:
            now = self._clock.now()
            turn.joined_at = now
            if self._has_free_slot(now) and not any(self._waiting.values()):
                self._grant(turn, now, by_floor=False)
                return
            if len(self._waiting[turn.rank]) >= self._lengths[turn.rank]:
                self._reject(turn, ResultCode.QUEUE_FULL)
                return
            if now + self._expected_wait_s(turn.rank, now) + turn.expected_s > turn.deadline_at:
                self._reject(turn, ResultCode.TOO_LATE)
                return
            self._waiting[turn.rank].append(turn)
            self._waiting_s[turn.rank] += turn.expected_s
            self._grant_next(now)

    def wait(self, turn: Turn) -> None:
        """Wait until a turn is granted or rejected, at most until its deadline.

        :param turn: a turn that joined.
        """
        while turn.state is TurnState.WAITING:
            remaining_s = turn.deadline_at - self._clock.now()
            if remaining_s <= 0:
                self.withdraw(turn, ResultCode.TOO_LATE)
                return
            turn.wait(remaining_s)

    def withdraw(self, turn: Turn, code: ResultCode) -> bool:
        """Reject a waiting turn; False if it no longer waits.

        :param turn: the turn.
        :param code: why.
        """
        with self._lock:
            if turn.state is not TurnState.WAITING:
                return False
            self._remove(turn)
            self._reject(turn, code)
            return True

    def withdraw_where(self, code_for: Callable[[Turn], ResultCode | None]) -> int:
        """Reject each waiting turn that a function gives a code for.

        :param code_for: returns why a turn is to be rejected, or None to keep it.
        :returns: how many were rejected.
        """
        with self._lock:
            waiting = [turn for turns in self._waiting.values() for turn in turns]
            rejected = 0
            for turn in waiting:
                code = code_for(turn)
                if code is not None:
                    self._remove(turn)
                    self._reject(turn, code)
                    rejected += 1
            return rejected

    def release(self, turn: Turn) -> float:
        """Give a granted turn's slot back.

        :param turn: the turn.
        :returns: how long it held the slot, in seconds; 0 if it lingers.
        """
        with self._lock:
            if turn.state is not TurnState.GRANTED:
                return 0.0
            return self._release(turn, self._clock.now())

    def release_at(self, turn: Turn, at: float) -> None:
        """Give a granted turn's slot back at a later moment.

        :param turn: the turn, whose request may still be at the upstream.
        :param at: when its slot is surely free, in seconds of the monotonic clock.
        """
        with self._lock:
            if turn.state is TurnState.GRANTED:
                turn.state = TurnState.LINGERING
                heapq.heappush(self._lingering, (at, next(self._sequence), turn))

    def release_lingering(self) -> None:
        """Give the slots of all lingering turns back because the upstream started anew."""
        with self._lock:
            self._release_lingering_until(math.inf, self._clock.now())

    def refresh(self) -> None:
        """Grant what the passing of time allows; called at short intervals."""
        with self._lock:
            now = self._clock.now()
            self._release_lingering_until(now, now)
            self._grant_next(now)

    def held(self) -> tuple[Turn, ...]:
        """Return the turns whose requests may be at the upstream."""
        with self._lock:
            return tuple(self._held)

    def in_flight(self) -> int:
        """Return how many requests may be at the upstream."""
        return len(self._held)

    def queued(self, rank: Rank) -> int:
        """Return how many requests of a rank wait.

        :param rank: the rank.
        """
        return len(self._waiting[rank])

    def _set_lengths(self, lengths: QueueLimits) -> None:
        self._lengths = {
            Rank.URGENT: lengths.urgent,
            Rank.CAREFUL: lengths.careful,
            Rank.DEFERRABLE: lengths.deferrable,
        }

    def _has_free_slot(self, now: float) -> bool:
        return len(self._held) < self._limit.value(now)

    def _has_waiting(self, rank: Rank) -> bool:
        return bool(self._waiting[rank])

    def _grant_next(self, now: float) -> None:
        while self._has_free_slot(now):
            floor_rank = self._credits.below_floor(self._has_waiting)
            rank = floor_rank or next(filter(self._has_waiting, Rank), None)
            if rank is None:
                return
            turn = self._waiting[rank][0]
            self._remove(turn)
            if turn.deadline_at - now <= turn.shortest_s:
                self._reject(turn, ResultCode.TOO_LATE)
            else:
                self._grant(turn, now, any(map(self._has_waiting, _HIGHER[rank])))

    def _grant(self, turn: Turn, now: float, by_floor: bool) -> None:
        turn.state = TurnState.GRANTED
        turn.granted_at = now
        turn.by_floor = by_floor
        if not turn.expected_s:
            turn.expected_s = _UNKNOWN_COST_S
        self._held.add(turn)
        self._credits.charge(turn.rank, turn.expected_s, by_floor, self._has_waiting)
        turn.wake()

    def _reject(self, turn: Turn, code: ResultCode) -> None:
        turn.state = TurnState.REJECTED
        turn.code = code
        turn.wake()

    def _remove(self, turn: Turn) -> None:
        waiting = self._waiting[turn.rank]
        if waiting[0] is turn:
            waiting.popleft()
        else:
            waiting.remove(turn)
        self._waiting_s[turn.rank] = (
            self._waiting_s[turn.rank] - turn.expected_s if waiting else 0.0
        )

    def _release_lingering_until(self, at: float, now: float) -> None:
        while self._lingering and self._lingering[0][0] <= at:
            self._release(heapq.heappop(self._lingering)[2], now)

    def _release(self, turn: Turn, now: float) -> float:
        turn.state = TurnState.RELEASED
        self._held.discard(turn)
        held_s = now - turn.granted_at
        correction_s = held_s - turn.expected_s
        self._credits.charge(turn.rank, correction_s, turn.by_floor, self._has_waiting)
        self._grant_next(now)
        return held_s

    def _expected_wait_s(self, rank: Rank, now: float) -> float:
        limit = self._limit.value(now)
        own_s = self._waiting_s[rank]
        if rank is Rank.URGENT:
            return own_s / (limit * (1 - sum(map(self._floor_in_use, _SHARES))))
        ahead_s = own_s + sum(self._waiting_s[higher] for higher in _HIGHER[rank])
        share = _SHARES[rank](self._floors)
        return min(ahead_s / limit, own_s / (limit * share) if share else ahead_s / limit)

    def _floor_in_use(self, rank: Rank) -> float:
        return _SHARES[rank](self._floors) if self._waiting[rank] else 0.0


_HIGHER: dict[Rank, tuple[Rank, ...]] = {
    Rank.URGENT: (),
    Rank.CAREFUL: (Rank.URGENT,),
    Rank.DEFERRABLE: (Rank.URGENT, Rank.CAREFUL),
}
_SHARES: dict[Rank, Callable[[FloorShares], float]] = {
    Rank.CAREFUL: lambda floors: floors.careful,
    Rank.DEFERRABLE: lambda floors: floors.deferrable,
}

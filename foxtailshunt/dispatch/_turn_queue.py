"""The queue of one upstream: three ranks, bounded, with an exact limit of requests in flight."""

import heapq
import itertools
import math
import threading
from collections.abc import Callable

from foxtailshunt.config import FloorShares, QueueLimits, Rank
from foxtailshunt.dispatch._floor_credits import FloorCredits
from foxtailshunt.dispatch._in_flight_limit import InFlightLimit
from foxtailshunt.dispatch._rank_queues import RankQueues
from foxtailshunt.dispatch._right_gate import Readiness, TurnGate
from foxtailshunt.dispatch._turn import Turn, TurnState
from foxtailshunt.dispatch._wait_estimate import HIGHER_RANKS, can_be_served
from foxtailshunt.errors import ResultCode
from foxtailshunt.timing import Clock

#: Cost charged at the grant while nothing is known of an operation, in slot-seconds.
_UNKNOWN_COST_S = 0.01


class TurnQueue:
    """Grants turns at one upstream; safe to use from any thread.

    A free slot goes to a rank below its floor first, then to urgent, careful and deferrable work,
    oldest first. A turn whose request may not be sent at the moment waits without a slot and is
    passed over. A slot is never left idle while something else waits.

    :param clock: the clock.
    :param limit: how many turns may be held at one time.
    :param floors: shares of the lower ranks.
    :param lengths: longest queue of each rank.
    :param gate: tells which requests may be sent.
    """

    def __init__(
        self,
        clock: Clock,
        limit: InFlightLimit,
        floors: FloorShares,
        lengths: QueueLimits,
        gate: TurnGate,
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._gate = gate
        self._lock = threading.Lock()
        self._credits = FloorCredits(floors)
        self._floors = floors
        self._queues = RankQueues(lengths)
        self._held: set[Turn] = set()
        self._lingering: list[tuple[float, int, Turn]] = []
        self._sequence = itertools.count()

    def configure(self, floors: FloorShares, lengths: QueueLimits) -> None:
        """Take other shares and lengths into use.

        :param floors: shares of the lower ranks.
        :param lengths: longest queue of each rank.
        """
        with self._lock:
            self._floors = floors
            self._credits.set_shares(floors)
            self._queues.set_lengths(lengths)

    def join(self, turn: Turn) -> None:
        """Grant a turn, let it wait, or reject it at once.

        :param turn: the new turn; its state tells what became of it.
        """
        with self._lock:
            now = self._clock.now()
            turn.joined_at = now
            code = self._refusal(turn, now)
            if code is not None:
                self._reject(turn, code)
            elif self._is_next(turn, now):
                self._grant(turn, now)
            else:
                self._queues.append(turn)
                self._grant_next(now)

    def requeue(self, turn: Turn) -> None:
        """Take a granted turn's slot back because its request may not be sent after all.

        :param turn: the turn; it is the next of its rank, or rejected.
        """
        with self._lock:
            now = self._clock.now()
            self._held.discard(turn)
            self._charge(turn, -turn.charged_s)
            turn.state = TurnState.WAITING
            if self._gate.assess(turn) is Readiness.LOST:
                self._reject(turn, turn.miss_code)
            else:
                self._queues.put_first(turn)
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
            self._queues.remove(turn)
            self._reject(turn, code)
            return True

    def withdraw_where(self, code_for: Callable[[Turn], ResultCode | None]) -> None:
        """Reject each waiting turn that a function gives a code for.

        :param code_for: returns why a turn is to be rejected, or None to keep it.
        """
        with self._lock:
            self._withdraw_where(code_for)

    def release(self, turn: Turn) -> float:
        """Give a granted turn's slot back.

        :param turn: the turn.
        :returns: how long it held the slot, in seconds; 0 if it holds none.
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
        """Grant and reject what the passing of time asks for; called at short intervals."""
        with self._lock:
            now = self._clock.now()
            self._release_lingering_until(now, now)
            if any(self._gate.assess(turn) is not Readiness.READY for turn in self._queues.heads()):
                self._withdraw_where(self._code_if_lost)
            self._grant_next(now)

    def held(self) -> tuple[Turn, ...]:
        """Return the turns whose requests may be at the upstream; takes no lock."""
        return tuple(self._held)

    def in_flight(self) -> int:
        """Return how many requests may be at the upstream; takes no lock."""
        return len(self._held)

    def queued(self, rank: Rank) -> int:
        """Return how many requests of a rank wait; takes no lock.

        :param rank: the rank.
        """
        return self._queues.count(rank)

    def _refusal(self, turn: Turn, now: float) -> ResultCode | None:
        if self._gate.assess(turn) is Readiness.LOST:
            return turn.miss_code
        if self._queues.is_full(turn.rank):
            return ResultCode.QUEUE_FULL
        if self._has_free_slot(now):
            return None
        limit = self._limit.value(now)
        in_time = can_be_served(self._queues, self._floors, limit, turn, now)
        return None if in_time else ResultCode.TOO_LATE

    def _is_next(self, turn: Turn, now: float) -> bool:
        return not self._queues and turn.missed_since is None and self._has_free_slot(now)

    def _has_free_slot(self, now: float) -> bool:
        return len(self._held) < self._limit.value(now)

    def _grant_next(self, now: float) -> None:
        while self._queues and self._has_free_slot(now):
            turn = self._next_ready()
            if turn is None:
                return
            self._queues.remove(turn)
            if turn.deadline_at - now < turn.expected_s:
                self._reject(turn, ResultCode.TOO_LATE)
            else:
                self._grant(turn, now)

    def _next_ready(self) -> Turn | None:
        has_waiting = self._queues.has_waiting
        for rank in (*self._credits.below_floor(has_waiting), *Rank):
            for turn in self._queues.turns(rank):
                if self._gate.assess(turn) is Readiness.READY:
                    return turn
        return None

    def _grant(self, turn: Turn, now: float) -> None:
        turn.state = TurnState.GRANTED
        turn.granted_at = now
        turn.by_floor = any(map(self._queues.has_waiting, HIGHER_RANKS[turn.rank]))
        turn.charged_s = turn.expected_s or _UNKNOWN_COST_S
        self._held.add(turn)
        self._charge(turn, turn.charged_s)
        turn.wake()

    def _charge(self, turn: Turn, cost_s: float) -> None:
        self._credits.charge(turn.rank, cost_s, turn.by_floor, self._queues.has_waiting)

    def _reject(self, turn: Turn, code: ResultCode) -> None:
        turn.state = TurnState.REJECTED
        turn.code = code
        turn.wake()

    def _withdraw_where(self, code_for: Callable[[Turn], ResultCode | None]) -> None:
        for turn in self._queues.all_turns():
            code = code_for(turn)
            if code is not None:
                self._queues.remove(turn)
                self._reject(turn, code)

    def _code_if_lost(self, turn: Turn) -> ResultCode | None:
        return turn.miss_code if self._gate.assess(turn) is Readiness.LOST else None

    def _release_lingering_until(self, at: float, now: float) -> None:
        while self._lingering and self._lingering[0][0] <= at:
            self._release(heapq.heappop(self._lingering)[2], now)

    def _release(self, turn: Turn, now: float) -> float:
        turn.state = TurnState.RELEASED
        self._held.discard(turn)
        held_s = now - turn.granted_at
        self._charge(turn, held_s - turn.charged_s)
        self._grant_next(now)
        return held_s

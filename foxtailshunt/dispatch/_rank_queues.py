"""The waiting requests of one upstream, by rank."""

from collections import deque
from collections.abc import Iterator

from foxtailshunt.config import QueueLimits, Rank
from foxtailshunt.dispatch._turn import Turn


class RankQueues:
    """A bounded queue for each rank; its owner's lock guards it.

    :param lengths: longest queue of each rank.
    """

    def __init__(self, lengths: QueueLimits) -> None:
        self._turns: dict[Rank, deque[Turn]] = {rank: deque() for rank in Rank}
        self._expected_s: dict[Rank, float] = dict.fromkeys(Rank, 0.0)
        self._busy_since: dict[Rank, float] = dict.fromkeys(Rank, 0.0)
        self._count = 0
        self.set_lengths(lengths)

    def __len__(self) -> int:
        return self._count

    def set_lengths(self, lengths: QueueLimits) -> None:
        """Take other lengths into use.

        :param lengths: longest queue of each rank.
        """
        self._lengths = {
            Rank.URGENT: lengths.urgent,
            Rank.CAREFUL: lengths.careful,
            Rank.DEFERRABLE: lengths.deferrable,
        }

    def is_full(self, rank: Rank) -> bool:
        """Return whether a rank's queue has no place left.

        :param rank: the rank.
        """
        return len(self._turns[rank]) >= self._lengths[rank]

    def has_waiting(self, rank: Rank) -> bool:
        """Return whether requests of a rank wait.

        :param rank: the rank.
        """
        return bool(self._turns[rank])

    def count(self, rank: Rank) -> int:
        """Return how many requests of a rank wait.

        :param rank: the rank.
        """
        return len(self._turns[rank])

    def expected_s(self, rank: Rank) -> float:
        """Return the slot-seconds that a rank's waiting requests are expected to take.

        :param rank: the rank.
        """
        return self._expected_s[rank]

    def busy_since(self, rank: Rank) -> float:
        """Return since when a rank's queue, if not empty now, has not been empty.

        :param rank: the rank.
        :returns: seconds of the monotonic clock.
        """
        return self._busy_since[rank]

    def turns(self, rank: Rank) -> Iterator[Turn]:
        """Yield a rank's turns, oldest first.

        :param rank: the rank.
        """
        return iter(self._turns[rank])

    def all_turns(self) -> list[Turn]:
        """Return every waiting turn."""
        return [turn for turns in self._turns.values() for turn in turns]

    def heads(self) -> list[Turn]:
        """Return the oldest turn of each rank."""
        return [turns[0] for turns in self._turns.values() if turns]

    def append(self, turn: Turn) -> None:
        """Add a turn as the newest of its rank.

        :param turn: the turn.
        """
        self._turns[turn.rank].append(turn)
        self._note_added(turn)

    def put_first(self, turn: Turn) -> None:
        """Add a turn as the oldest of its rank.

        :param turn: the turn.
        """
        self._turns[turn.rank].appendleft(turn)
        self._note_added(turn)

    def remove(self, turn: Turn) -> None:
        """Take a turn out.

        :param turn: a waiting turn.
        """
        turns = self._turns[turn.rank]
        if turns[0] is turn:
            turns.popleft()
        else:
            turns.remove(turn)
        self._expected_s[turn.rank] -= turn.expected_s
        self._count -= 1
        if not turns:
            self._expected_s[turn.rank] = 0.0

    def _note_added(self, turn: Turn) -> None:
        if len(self._turns[turn.rank]) == 1:
            self._busy_since[turn.rank] = turn.joined_at
        self._expected_s[turn.rank] += turn.expected_s
        self._count += 1

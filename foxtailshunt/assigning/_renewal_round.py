"""One round in which all grants of an upstream are renewed."""

import threading
from collections import deque
from collections.abc import Iterable

from foxtailshunt.fleet import KeyRange


class RenewalRound:
    """The ranges that are left to renew; safe to use from any thread.

    A range whose grant had no answer is renewed once more at the end of the round if the upstream
    has answered a later grant. Otherwise the repetition would only be another failure.

    :param ranges: the ranges.
    """

    def __init__(self, ranges: Iterable[KeyRange]) -> None:
        self._lock = threading.Lock()
        self._left = deque(ranges)
        #: Ranges without an answer, and when their grants began, in seconds of the clock.
        self._unanswered: deque[tuple[KeyRange, float]] = deque()
        self._repeated: set[KeyRange] = set()

    @property
    def left(self) -> int:
        """Return the number of ranges that have not been taken yet."""
        return len(self._left)

    def take(self, answered_sent_at: float) -> KeyRange | None:
        """Return the next range to renew; None if there is none.

        :param answered_sent_at: when the last grant that was answered began, in seconds of the
            clock.
        """
        with self._lock:
            if self._left:
                return self._left.popleft()
            while self._unanswered:
                keys, started = self._unanswered.popleft()
                if started < answered_sent_at:
                    return keys
            return None

    def repeat_later(self, keys: KeyRange, started: float) -> None:
        """Record a grant without an answer; without effect if it was a repetition.

        :param keys: its keys.
        :param started: when it began, in seconds of the clock.
        """
        with self._lock:
            if keys not in self._repeated:
                self._repeated.add(keys)
                self._unanswered.append((keys, started))

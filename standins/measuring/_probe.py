"""Callers that measure how long keys stay without an answer after a loss."""

import time

from standins.fleet import Fleet, wait_for
from standins.traffic import BackgroundCallers, BackgroundMix, OperationCatalog

_PAUSE_S = 0.1
_SEED = 5


class KeyProbe:
    """One caller for each key, so that a key that waits delays no other.

    :param fleet: the fleet.
    :param operations: service and operation of each probed kind.
    :param keys: the keys.
    """

    def __init__(
        self, fleet: Fleet, operations: tuple[tuple[str, str], ...], keys: tuple[str, ...]
    ) -> None:
        catalog = OperationCatalog(fleet.layout.document)
        mix = BackgroundMix(operations, keys, len(keys), _PAUSE_S, _SEED)
        self._keys = set(keys)
        self.callers = BackgroundCallers(fleet.entries, catalog, mix)

    def start(self) -> None:
        """Start calling and wait until every key was served."""
        started = time.monotonic()
        self.callers.start()
        self.wait_until_served(started)

    def wait_until_served(self, moment: float) -> float:
        """Wait until each key got a right answer to a request sent after a moment.

        :param moment: seconds of the monotonic clock.
        :returns: seconds from the moment to the first such answer of the slowest key.
        """
        wait_for(lambda: self.callers.served_since(moment) == self._keys, "all keys")
        first: dict[str, float] = {}
        for outcome in self.callers.answered_since(moment):
            if outcome.sent_at >= moment and outcome.family == "ran" and outcome.right:
                first.setdefault(outcome.key, outcome.answered_at)
        return max(first.values()) - moment

    def unserved_s(self, since: float) -> float:
        """Return the longest time of a key between two right answers after a moment.

        :param since: seconds of the monotonic clock.
        """
        longest = 0.0
        last: dict[str, float] = {}
        for outcome in self.callers.outcomes():
            if outcome.family != "ran" or not outcome.right:
                continue
            previous = last.get(outcome.key)
            if previous is not None and outcome.answered_at >= since:
                longest = max(longest, outcome.answered_at - previous)
            last[outcome.key] = outcome.answered_at
        return longest

"""Logs how far the keys of evacuated zones have moved."""

from collections.abc import Callable, Collection, Iterable

from foxtailshunt.fleet import KeyRange
from foxtailshunt.telemetry import log_state_change

#: Least time between two lines about the same service, in seconds, except for the last one.
LOG_INTERVAL_S = 1.0


class EvacuationLog:
    """Writes a line for each service while its keys move out of evacuated zones.

    :param now: returns seconds of a clock.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        #: Keys left and time of the last line, by service.
        self._logged: dict[str, tuple[int, float]] = {}

    def update(self, service: str, evacuated: Collection[str], ranges: Iterable[KeyRange]) -> None:
        """Log the number of keys that are left if it has changed.

        :param service: name of the service.
        :param evacuated: ids of its upstreams in evacuated zones.
        :param ranges: the ranges of the service.
        """
        if not evacuated and service not in self._logged:
            return
        # While a range moves, its previous owner still holds it.
        left = sum(
            item.last - item.first + 1 for item in ranges if (item.giver or item.owner) in evacuated
        )
        logged_left, logged_at = self._logged.get(service, (0, float("-inf")))
        now = self._now()
        if left != logged_left and (left == 0 or now - logged_at >= LOG_INTERVAL_S):
            log_state_change("evacuation.progress", service=service, keys_left=left)
            self._logged[service] = (left, now)

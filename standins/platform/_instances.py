"""The platform's list of instances, which lags behind."""

import threading
import time
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One instance of the list."""

    #: Its name.
    name: str
    #: ``live`` or ``leaving``.
    state: str


class InstanceList:
    """Shows each list only after a lag.

    :param lag_s: time until a change becomes visible, in seconds.
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._visible: tuple[ListedInstance, ...] = ()
        self._pending: list[tuple[float, tuple[ListedInstance, ...]]] = []

    def put(self, instances: tuple[ListedInstance, ...]) -> None:
        """Replace the list; readers see it after the lag.

        :param instances: the instances now.
        """
        with self._lock:
            self._pending.append((time.monotonic() + self._lag_s, instances))

    def visible(self) -> tuple[ListedInstance, ...]:
        """Return the list as readers see it."""
        with self._lock:
            now = time.monotonic()
            while self._pending and self._pending[0][0] <= now:
                self._visible = self._pending.pop(0)[1]
            return self._visible

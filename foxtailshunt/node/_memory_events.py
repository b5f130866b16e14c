"""Counts the bodies that found no memory, and logs them once for each interval."""

import threading
from collections import Counter

from foxtailshunt.telemetry import Metrics, log_state_change


class MemoryEvents:
    """Counts refused bodies and closed transfers; thread-safe.

    :param metrics: counters and gauges.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()

    def record(self, event: str, size: int) -> None:
        """Count a body.

        :param event: ``refused`` if it has found no memory, ``closed`` if its transfer has stalled
            and was closed.
        :param size: its size, or that of the part that was refused, in bytes.
        """
        with self._lock:
            self._counts[event] += 1
            self._counts[f"{event}_bytes"] += size
        self._metrics.count(
            "foxtailshunt_memory_events_total",
            "Bodies that found no memory, and stalled transfers that were closed to make room.",
            {"event": event},
        )

    def log(self, reserved: int) -> None:
        """Set the gauge of the account, and log the counts since the last call if there are any.

        :param reserved: size of all bodies in progress, in bytes.
        """
        self._metrics.set_gauge(
            "foxtailshunt_body_memory_bytes", "Size of all bodies in progress.", reserved
        )
        with self._lock:
            counts = dict(self._counts)
            self._counts.clear()
        if counts:
            log_state_change("memory.short", reserved=reserved, **counts)

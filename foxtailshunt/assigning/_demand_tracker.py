"""Tracks the recent demand for each key."""

import math
import threading

#: Time constant of the exponential decay, in seconds; load spikes last 3 to 6 s.
DECAY_TIME_S = 2.5
#: Demand below which a key is dropped, in slots.
_MIN_DEMAND_SLOTS = 0.0005
#: How often such keys are dropped, in seconds.
_PRUNE_INTERVAL_S = 5.0


class DemandTracker:
    """Exponentially decaying sums of demand by key; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._keys: dict[str, dict[int, tuple[float, float]]] = {}
        self._pruned_at = 0.0

    def observe(self, service: str, key: int, work_s: float, now: float) -> None:
        """Add the demand of requests for a key.

        :param service: name of the service.
        :param key: the key.
        :param work_s: upstream time that the requests need, in seconds at average speed.
        :param now: the current time, in seconds of the clock.
        """
        with self._lock:
            keys = self._keys.setdefault(service, {})
            value, since = keys.get(key, (0.0, now))
            keys[key] = (value * math.exp((since - now) / DECAY_TIME_S) + work_s, now)
            if now - self._pruned_at > _PRUNE_INTERVAL_S:
                self._prune(now)

    def rates(self, service: str, now: float) -> dict[int, float]:
        """Return the slots that each key occupies on average, in order of the keys.

        :param service: name of the service.
        :param now: the current time, in seconds of the clock.
        """
        with self._lock:
            keys = sorted(self._keys.get(service, {}).items())
        return {
            key: value * math.exp((since - now) / DECAY_TIME_S) / DECAY_TIME_S
            for key, (value, since) in keys
        }

    def _prune(self, now: float) -> None:
        self._pruned_at = now
        for keys in self._keys.values():
            for key, (value, since) in list(keys.items()):
                if (
                    value * math.exp((since - now) / DECAY_TIME_S)
                    < _MIN_DEMAND_SLOTS * DECAY_TIME_S
                ):
                    del keys[key]

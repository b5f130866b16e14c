"""How much work each key asks for, lately."""

import math
import threading

#: Time after which a request counts for 1/e, in seconds; faults of load last 3 to 6 s.
MEMORY_S = 2.5
#: Share of an upstream's slot below which a key is forgotten.
_FORGET_BELOW = 0.0005
#: How often forgotten keys are dropped, in seconds.
_PRUNE_INTERVAL_S = 5.0


class DemandTracker:
    """Decaying sums by key; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._keys: dict[str, dict[int, tuple[float, float]]] = {}
        self._pruned_at = 0.0

    def observe(self, service: str, key: int, work_s: float, now: float) -> None:
        """Add the work of requests.

        :param service: name of the service.
        :param key: the key.
        :param work_s: upstream time that they ask for, in seconds at common speed.
        :param now: the time in seconds.
        """
        with self._lock:
            keys = self._keys.setdefault(service, {})
            value, since = keys.get(key, (0.0, now))
            keys[key] = (value * math.exp((since - now) / MEMORY_S) + work_s, now)
            if now - self._pruned_at > _PRUNE_INTERVAL_S:
                self._prune(now)

    def rates(self, service: str, now: float) -> dict[int, float]:
        """Return slots that each key keeps busy, in order of the keys.

        :param service: name of the service.
        :param now: the time in seconds.
        """
        with self._lock:
            keys = sorted(self._keys.get(service, {}).items())
        return {
            key: value * math.exp((since - now) / MEMORY_S) / MEMORY_S
            for key, (value, since) in keys
        }

    def _prune(self, now: float) -> None:
        self._pruned_at = now
        for keys in self._keys.values():
            for key, (value, since) in list(keys.items()):
                if value * math.exp((since - now) / MEMORY_S) < _FORGET_BELOW * MEMORY_S:
                    del keys[key]

"""Load of one upstream and of its hottest keys."""

import math

#: Time constant of the averages, in seconds.
_TIME_CONSTANT_S = 3.0
#: Keys that are counted by themselves.
_MAX_KEYS = 32
#: Load below which a key is not reported, in slots.
_MIN_KEY_LOAD = 0.01


class LoadMeter:
    """Exponentially decaying averages of slot-seconds a second; its owner's lock guards it.

    The hottest keys are kept by the space-saving algorithm: a new key takes the place and the count
    of the coldest one, so that a hot key is never missed and its load at most overestimated.
    """

    def __init__(self) -> None:
        self._total = 0.0
        self._keys: dict[str, float] = {}
        self._errors: dict[str, float] = {}
        self._decayed_at = 0.0

    def record(self, key: str, held_s: float, now: float) -> None:
        """Add the work of one request.

        :param key: its key.
        :param held_s: slot-seconds.
        :param now: the moment, in seconds of the monotonic clock.
        """
        self._decay(now)
        self._total += held_s
        if key in self._keys:
            self._keys[key] += held_s
        elif len(self._keys) < _MAX_KEYS:
            self._keys[key] = held_s
            self._errors[key] = 0.0
        else:
            self._replace_coldest(key, held_s)

    def load(self, now: float) -> float:
        """Return slot-seconds of work a second.

        :param now: the moment, in seconds of the monotonic clock.
        """
        return self._total * self._factor(now) / _TIME_CONSTANT_S

    def key_load(self, now: float) -> dict[str, float]:
        """Return the load of the hottest keys, without what may be other keys' work.

        :param now: the moment, in seconds of the monotonic clock.
        """
        scale = self._factor(now) / _TIME_CONSTANT_S
        loads = {key: (sum_s - self._errors[key]) * scale for key, sum_s in self._keys.items()}
        return {key: load for key, load in loads.items() if load >= _MIN_KEY_LOAD}

    def _replace_coldest(self, key: str, held_s: float) -> None:
        coldest = min(self._keys, key=self._keys.__getitem__)
        inherited = self._keys.pop(coldest)
        del self._errors[coldest]
        self._keys[key] = inherited + held_s
        self._errors[key] = inherited

    def _factor(self, now: float) -> float:
        return math.exp(-(now - self._decayed_at) / _TIME_CONSTANT_S)

    def _decay(self, now: float) -> None:
        factor = self._factor(now)
        self._decayed_at = now
        self._total *= factor
        for key in self._keys:
            self._keys[key] *= factor
            self._errors[key] *= factor

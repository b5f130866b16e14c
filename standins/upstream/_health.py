"""What an upstream says of itself, which may lag or mislead."""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

_LAG_S = 5.0
_SAMPLE_INTERVAL_S = 0.25


class HealthMode(Enum):
    """How far an upstream's health and load can be believed."""

    TRUTHFUL = "truthful"
    LAGGING = "lagging"
    MISLEADING = "misleading"


@dataclass(frozen=True, slots=True)
class Condition:
    """The state of an upstream."""

    #: True if it asks to be drained.
    draining: bool
    #: True if it is still warming up.
    warming: bool
    #: Share of its slots in use.
    load: float


#: Returns the state now.
ConditionSource = Callable[[], Condition]


class HealthReport(Protocol):
    """What the endpoints show."""

    def condition(self) -> Condition:
        """Return the state to show."""
        ...


class TruthfulReport:
    """Shows the state as it is.

    :param source: gives the state.
    """

    def __init__(self, source: ConditionSource) -> None:
        self._source = source

    def condition(self) -> Condition:
        """Return the state now."""
        return self._source()


class LaggingReport:
    """Shows the state as it was some seconds ago.

    :param source: gives the state.
    :param subscribe: calls a function at an interval in seconds.
    """

    def __init__(
        self,
        source: ConditionSource,
        subscribe: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self._source = source
        self._samples = deque([(time.monotonic(), source())])
        subscribe(_SAMPLE_INTERVAL_S, self._sample)

    def condition(self) -> Condition:
        """Return the state some seconds ago."""
        return self._samples[0][1]

    def _sample(self) -> None:
        now = time.monotonic()
        self._samples.append((now, self._source()))
        while len(self._samples) > 1 and self._samples[1][0] <= now - _LAG_S:
            self._samples.popleft()


class MisleadingReport:
    """Shows a ready upstream, and a load that falls as the real one rises.

    :param source: gives the state.
    """

    def __init__(self, source: ConditionSource) -> None:
        self._source = source

    def condition(self) -> Condition:
        """Return a wrong state."""
        load = max(0.0, 1.0 - self._source().load)
        return Condition(draining=False, warming=False, load=load)

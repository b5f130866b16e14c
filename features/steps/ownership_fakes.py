"""Fakes that steps of ownership share."""

from foxtailshunt.ownership import Fence


class FakeClock:
    """A clock that a test moves."""

    def __init__(self, now: float = 1000.0) -> None:
        self.time = now

    def now(self) -> float:
        return self.time

    def wall_time(self) -> float:
        return self.time


def fence_of(text: str) -> Fence:
    """Return the fence of a text such as ``1.5``."""
    term, version = text.split(".")
    return Fence(int(term), int(version))

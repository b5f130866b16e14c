"""Small fakes."""

from foxtailshunt.ownership import Fence, UpstreamLoad


class FakeClock:
    """A clock that a test moves."""

    def __init__(self, now: float = 1000.0) -> None:
        self.time = now

    def now(self) -> float:
        return self.time

    def wall_time(self) -> float:
        return self.time


class FakeLoad:
    """Requests in progress as a test sets them."""

    def __init__(self) -> None:
        self.in_flight: set[tuple[int, str]] = set()

    def load_of(self, upstream_id: str) -> UpstreamLoad:
        return UpstreamLoad(0.0, {}, len(self.in_flight), 0)

    def in_flight_keys(self, upstream_id: str) -> frozenset[tuple[int, str]]:
        return frozenset(self.in_flight)


def fence_of(text: str) -> Fence:
    """Return the fence of a text such as ``1.5``."""
    term, version = text.split(".")
    return Fence(int(term), int(version))

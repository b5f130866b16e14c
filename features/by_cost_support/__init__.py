"""A pool with the policy by-cost in virtual time."""

from dataclasses import dataclass

from foxtailshunt.admission import (
    Call,
    Decision,
    OverloadPolicy,
    QueueEntry,
    QueueEntryState,
    SlotPool,
)
from foxtailshunt.fleet import Upstream
from foxtailshunt.upstreams import LatencyEstimator, RequestResult, StartLimit

#: Step of the virtual time, in seconds.
STEP_S = 0.005
_BUSY_FOR_S = 20.0


class StatedLatencies(LatencyEstimator):
    """An estimator whose routes are named after their latency in milliseconds."""

    def mean_latency_s(self, route: str) -> float:
        return int(route) / 1000


class SpacedStarts:
    """Limits the starts at all upstreams to a rate, as if they stayed cold."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._next_at = 0.0

    def limit(self, upstream: Upstream, now: float) -> StartLimit:
        return StartLimit(max(now, self._next_at), self._interval_s, float("inf"), True)

    def try_start(self, upstream: Upstream, now: float) -> bool:
        if now < self._next_at:
            return False
        self._next_at = now + self._interval_s
        return True


@dataclass(eq=False)
class Submitted:
    """A request and what became of it."""

    name: str
    entry: QueueEntry
    patience_s: float
    decided_at: float | None = None
    started_at: float | None = None

    @property
    def state(self) -> QueueEntryState:
        return self.entry.state


class ByCostSubject:
    """A by-cost pool of one upstream, in virtual time."""

    def __init__(self, slots: int, busy_s: float = 0.0, starts_per_s: float | None = None) -> None:
        self.now = 100.0
        self.requests: list[Submitted] = []
        self.decisions: list[tuple[Decision, int]] = []
        limiter = None if starts_per_s is None else SpacedStarts(1 / starts_per_s)
        self.pool = SlotPool(
            StatedLatencies(),
            "zone",
            policy=OverloadPolicy.BY_COST,
            limiter=limiter,
            record=lambda decision, rank: self.decisions.append((decision, rank)),
        )
        upstream = Upstream("u0", "desk", ("h", 1), "zone", slots, False, 0.0, 0)
        self.pool.set_upstreams([upstream])
        self._ends: list[tuple[float, QueueEntry]] = []
        for _number in range(slots if busy_s else 0):
            # Started so long ago that it no longer counts among the arrivals.
            self.submit("busy", 0, round((_BUSY_FOR_S + busy_s) * 1000), 0.0, 1000.0)
        self.advance(_BUSY_FOR_S)
        self.requests.clear()
        self.decisions.clear()

    def submit(
        self,
        name: str,
        rank: int,
        work_ms: int,
        objective_s: float,
        deadline_s: float,
        patience_s: float | None = None,
    ) -> Submitted:
        patience_s = deadline_s if patience_s is None else patience_s
        call = Call(
            name, "desk", None, None, "GET", "/", (), b"", self.now + deadline_s,
            self.now + objective_s, rank, str(work_ms), caller_deadline=self.now + patience_s,
        )  # fmt: skip
        request = Submitted(name, QueueEntry(call, lambda: None, self.now), patience_s)
        self.requests.append(request)
        refusal = self.pool.enqueue(request.entry, self.now)
        if refusal is not None:
            request.entry.state, request.entry.refusal = QueueEntryState.REFUSED, refusal
        self.assign()
        return request

    def submit_text(self, text: str) -> Submitted:
        """Submit a request that is given as name:rank:work:objective:deadline:patience."""
        name, rank, work, *times = text.split(":")
        return self.submit(name, int(rank), int(work), *(int(item) / 1000 for item in times))

    def assign(self) -> None:
        changed = self.pool.assign(self.now)
        for request in self.requests:
            if request.entry in changed and request.state is not QueueEntryState.ASSIGNED:
                request.decided_at = self.now
            elif request.entry in changed:
                request.started_at = self.now
        self._ends += [
            (self.now + entry.work_s, entry)
            for entry in changed
            if entry.state is QueueEntryState.ASSIGNED
        ]

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + STEP_S)
            for item in [item for item in self._ends if item[0] <= self.now + 1e-9]:
                self._ends.remove(item)
                self.pool.finish(item[1], RequestResult.SERVED, self.now)
            self.assign()

    def names(self, *states: QueueEntryState) -> list[str]:
        return [request.name for request in self.requests if request.state in states]

    def find(self, name: str) -> Submitted:
        """Return the last request with a name."""
        return [request for request in self.requests if request.name == name][-1]

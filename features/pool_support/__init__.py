"""A pool of slots on simulated time, with callers who come and come back."""

import heapq
import itertools
from dataclasses import dataclass, field

from foxtailshunt.fleet import Upstream
from foxtailshunt.relay import (
    Call,
    LatencyEstimator,
    QueueEntry,
    QueueEntryState,
    Refusal,
    SlotPool,
)

_STEP_S = 0.005
_FAIL_S = 0.002


@dataclass
class SimulatedRequest:
    """What became of one request."""

    name: str
    submitted_at: float
    latency_objective_at: float
    deadline: float
    refusal: Refusal | None = None
    refused_at: float = 0.0
    upstream: str = ""
    ended_at: float | None = None
    failed: bool = False
    came_back: bool = False


@dataclass
class PoolSimulation:
    """A pool on simulated time."""

    count: int
    slots: int
    work_s: float
    slowness: dict[str, float] = field(default_factory=dict)
    fails_until: dict[str, float] = field(default_factory=dict)
    works: dict[str, float] = field(default_factory=dict)
    now: float = 1000.0

    def __post_init__(self) -> None:
        self.paces = LatencyEstimator()
        self.seed_latency("route", self.work_s)
        self.pool = SlotPool(self.paces, "zone")
        self.pool.set_upstreams(
            Upstream(f"u{n}", "desk", ("h", n + 1), "zone", self.slots, False, 0.0, 0)
            for n in range(self.count)
        )
        self.played: list[SimulatedRequest] = []
        self._tickets: dict[QueueEntry, SimulatedRequest] = {}
        self._ends: list[tuple[float, int, QueueEntry]] = []
        self._order = itertools.count()

    def submit(
        self,
        name: str,
        rank: int,
        latency_objective_s: float,
        deadline_s: float,
        route: str = "route",
    ) -> SimulatedRequest:
        played = SimulatedRequest(
            name, self.now, self.now + latency_objective_s, self.now + deadline_s
        )
        self.played.append(played)
        call = Call(
            name, "desk", None, None, "GET", "/", (), b"", played.deadline,
            played.latency_objective_at, rank,
            route,
        )  # fmt: skip
        ticket = QueueEntry(call, lambda: None, self.now)
        self._tickets[ticket] = played
        played.refusal = self.pool.enqueue(ticket, self.now)
        if played.refusal is not None:
            played.refused_at = self.now
        return played

    def start(self) -> None:
        for ticket in self.pool.assign(self.now):
            played = self._tickets[ticket]
            if ticket.state is QueueEntryState.EXPIRED:
                played.refused_at = self.now
                played.refusal = ticket.refusal
                continue
            played.upstream = ticket.upstream.upstream_id
            played.failed = self.now < self.fails_until.get(played.upstream, 0.0)
            taken_s = self._taken_s(ticket)
            end = self.now + (_FAIL_S if played.failed else taken_s)
            heapq.heappush(self._ends, (end, next(self._order), ticket))

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_S
            while self._ends and self._ends[0][0] <= self.now:
                self._finish(heapq.heappop(self._ends)[2])
            self.start()

    def _finish(self, ticket: QueueEntry) -> None:
        played = self._tickets[ticket]
        played.ended_at = self.now
        if not played.failed:
            self.paces.record_response(ticket.call.route, played.upstream, self._taken_s(ticket))
        self.pool.finish(ticket, played.failed, self.now)

    def _taken_s(self, ticket: QueueEntry) -> float:
        work_s = self.works.get(ticket.call.route, self.work_s)
        return work_s * self.slowness.get(self._tickets[ticket].upstream, 1.0)

    def seed_latency(self, route: str, work_s: float) -> None:
        self.works[route] = work_s
        for number in range(400):
            # Each from another upstream, so that none of it is put down to a slow upstream.
            self.paces.record_response(route, f"elsewhere-{number}", work_s)

    def taken(self) -> list[SimulatedRequest]:
        return [played for played in self.played if played.refusal is None]

    def served(self) -> list[SimulatedRequest]:
        return [played for played in self.played if played.ended_at and not played.failed]

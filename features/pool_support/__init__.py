"""Simulation of a slot pool with virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from foxtailshunt.admission import (
    Call,
    OverloadPolicy,
    QueueEntry,
    QueueEntryState,
    Refusal,
    SlotPool,
)
from foxtailshunt.fleet import Upstream
from foxtailshunt.routing import ServiceInfo
from foxtailshunt.upstreams import (
    ColdBound,
    LatencyEstimator,
    RequestResult,
    StartLimiter,
    UpstreamPauses,
    WarmupStates,
)

_TIME_STEP_S = 0.005
_FAILURE_LATENCY_S = 0.002


class CountingEstimator(LatencyEstimator):
    """Counts how often the latency of a request at an upstream is looked up."""

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__(now)
        self.lookups = 0

    def expected_latency_s(self, route: str, upstream_id: str) -> float:
        self.lookups += 1
        return super().expected_latency_s(route, upstream_id)


@dataclass
class SimulatedRequest:
    """A request in the simulation and its result."""

    name: str
    submitted_at: float
    latency_objective_at: float
    deadline: float
    refusal: Refusal | None = None
    refused_at: float = 0.0
    upstream: str = ""
    started_at: float = 0.0
    ended_at: float | None = None
    failed: bool = False
    retried: bool = False


@dataclass
class PoolSimulation:
    """A slot pool whose upstreams and clock are simulated."""

    count: int
    slots: int
    base_latency_s: float
    #: Factor on the latency by upstream.
    latency_factors: dict[str, float] = field(default_factory=dict)
    fails_until: dict[str, float] = field(default_factory=dict)
    #: Share of the requests that each upstream fails at once, and how.
    failure_shares: dict[str, float] = field(default_factory=dict)
    failure_results: dict[str, RequestResult] = field(default_factory=dict)
    route_latencies_s: dict[str, float] = field(default_factory=dict)
    now: float = 1000.0
    seed: int = 1
    policy: OverloadPolicy = OverloadPolicy.BY_SLACK

    def __post_init__(self) -> None:
        self.latencies = CountingEstimator(lambda: self.now)
        self.seed_latency("route", self.base_latency_s)
        self.pauses = UpstreamPauses()
        self.service = ServiceInfo("desk", False, 64)
        self.is_sender = True
        self.states = WarmupStates()
        self.limiter = StartLimiter(
            self.states, lambda _name: self.service, lambda _upstream: self.is_sender, ColdBound()
        )
        self.pool = self.new_pool()
        self.upstreams = [
            Upstream(f"u{n}", "desk", ("h", n + 1), "zone", self.slots, False, 0.0, 0)
            for n in range(self.count)
        ]
        self.pool.set_upstreams(self.upstreams)
        self.states.observe({item.upstream_id: item for item in self.upstreams}, self.now, 0.0)
        self.requests: list[SimulatedRequest] = []
        self._requests_by_entry: dict[QueueEntry, SimulatedRequest] = {}
        self._completions: list[tuple[float, int, QueueEntry]] = []
        self._sequence = itertools.count()
        self._rng = random.Random(self.seed)

    def new_pool(self) -> SlotPool:
        return SlotPool(self.latencies, "zone", self.pauses, self.policy, self.limiter)

    def set_cold(self, number: int, seconds: float, rate: float, is_sender: bool) -> None:
        """Let an upstream be cold from now on."""
        self.service = replace(self.service, warmup_rate=rate)
        self.is_sender = is_sender
        self.states.record_response(self.upstreams[number], seconds, self.now)

    def submit(
        self,
        name: str,
        rank: int,
        latency_objective_s: float,
        deadline_s: float,
        route: str = "route",
        allowed_zones: frozenset[str] | None = None,
    ) -> SimulatedRequest:
        request = SimulatedRequest(
            name, self.now, self.now + latency_objective_s, self.now + deadline_s
        )
        self.requests.append(request)
        call = Call(
            name, "desk", None, None, "GET", "/", (), b"", request.deadline,
            request.latency_objective_at, rank, route, allowed_zones=allowed_zones,
        )  # fmt: skip
        entry = QueueEntry(call, lambda: None, self.now)
        self._requests_by_entry[entry] = request
        request.refusal = self.pool.enqueue(entry, self.now)
        if request.refusal is not None:
            request.refused_at = self.now
        return request

    def assign_slots(self) -> None:
        for entry in self.pool.assign(self.now):
            request = self._requests_by_entry[entry]
            if entry.state is not QueueEntryState.ASSIGNED:
                request.refused_at = self.now
                request.refusal = entry.refusal
                continue
            request.upstream = entry.upstream.upstream_id
            request.started_at = self.now
            share = self.failure_shares.get(request.upstream, 0.0)
            is_failing = self.now < self.fails_until.get(request.upstream, 0.0)
            request.failed = is_failing or self._rng.random() < share
            latency_s = self._latency_s(entry)
            end = self.now + (_FAILURE_LATENCY_S if request.failed else latency_s)
            heapq.heappush(self._completions, (end, next(self._sequence), entry))

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += _TIME_STEP_S
            while self._completions and self._completions[0][0] <= self.now:
                self._finish(heapq.heappop(self._completions)[2])
            self.assign_slots()

    def _finish(self, entry: QueueEntry) -> None:
        request = self._requests_by_entry[entry]
        request.ended_at = self.now
        if not request.failed:
            self.latencies.record_response(
                entry.call.route, request.upstream, self._latency_s(entry)
            )
        result = RequestResult.SERVED
        if request.failed:
            result = self.failure_results.get(request.upstream, RequestResult.ERROR)
        self.pool.finish(entry, result, self.now)

    def _latency_s(self, entry: QueueEntry) -> float:
        latency_s = self.route_latencies_s.get(entry.call.route, self.base_latency_s)
        return latency_s * self.latency_factors.get(self._requests_by_entry[entry].upstream, 1.0)

    def seed_latency(self, route: str, latency_s: float) -> None:
        self.route_latencies_s[route] = latency_s
        for number in range(400):
            # Each sample is of another upstream, so that none raises an upstream's latency ratio.
            self.latencies.record_response(route, f"other-{number}", latency_s)

    def accepted(self) -> list[SimulatedRequest]:
        return [request for request in self.requests if request.refusal is None]

    def served(self) -> list[SimulatedRequest]:
        return [request for request in self.requests if request.ended_at and not request.failed]

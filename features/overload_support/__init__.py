"""Simulation of callers that compete for a pool of slots, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from features.overload_support._caller import Attempt, Kind, SimulatedCaller
from features.overload_support._noisy_upstream import NoisyUpstream
from foxtailshunt.admission import (
    Call,
    Decision,
    OverloadPolicy,
    QueueEntry,
    QueueEntryState,
    SlotPool,
)
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import Upstream
from foxtailshunt.relay import Outcome
from foxtailshunt.relay._result_recorder import rate_outcome
from foxtailshunt.upstreams import LatencyEstimator

__all__ = ["Attempt", "Kind", "OverloadSimulation", "SimulatedCaller"]

#: One-way latency to callers, and the spread of the time between nodes, in seconds.
_ONE_WAY_S, _SPREAD_S = 0.008, 0.003
_SLOTS = 4
#: Interval at which the threads of queued requests look after them, in seconds.
_POLL_INTERVAL_S = 0.02
_KEY = 7
#: Number of requests that may be ahead of another one.
_MAX_AHEAD = 400


@dataclass
class OverloadSimulation:
    """A pool with an overload between two calm times.

    :param policy: the policy of the pool.
    :param kinds: the kinds of request.
    :param base_factors: time that each upstream takes, relative to the mean.
    :param seed: seed of the random numbers.
    :param overload: demand during the overload, as a multiple of the capacity.
    :param keyed: whether the requests have a key.
    """

    policy: OverloadPolicy
    kinds: list[Kind]
    base_factors: list[float]
    seed: int
    overload: float = 2.5
    keyed: bool = False
    calm: float = 0.5
    calm_s: float = 6.0
    overload_s: float = 8.0
    after_s: float = 6.0
    callers: list[SimulatedCaller] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    decisions: dict[tuple[Decision, int], int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.now = 0.0
        self._rng = random.Random(self.seed)
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._attempts_by_entry: dict[QueueEntry, Attempt] = {}
        self._upstreams = {
            f"u{number}": NoisyUpstream(factor, self._rng)
            for number, factor in enumerate(self.base_factors)
        }
        self._latencies = LatencyEstimator(lambda: self.now)
        self.pool = SlotPool(self._latencies, "zone", policy=self.policy, record=self._record)
        self.pool.set_upstreams(
            Upstream(name, "service", ("h", 1), "zone", _SLOTS, False, 0.0, 0)
            for name in self._upstreams
        )

    @property
    def slots(self) -> int:
        return _SLOTS * len(self._upstreams)

    @property
    def capacity(self) -> float:
        """Return the mean work that the pool does per second, in seconds."""
        return sum(item.mean_rate * _SLOTS for item in self._upstreams.values())

    @property
    def begins_at(self) -> float:
        """Return when the overload begins."""
        return self.calm_s

    @property
    def ends_at(self) -> float:
        """Return when the overload ends."""
        return self.calm_s + self.overload_s

    def run(self) -> None:
        """Let callers arrive, and run until the last of them has given up."""
        random.seed(self.seed)
        demand = sum(kind.per_s * kind.work_s for kind in self.kinds)
        for kind in self.kinds:
            self._add_callers(kind, self.capacity / demand)
        self._poll()
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _add_callers(self, kind: Kind, scale: float) -> None:
        ends = [self.calm_s, self.ends_at, self.ends_at + self.after_s]
        at = 0.0
        for end, load in zip(ends, [self.calm, self.overload, self.calm], strict=True):
            rate_per_s = kind.per_s * scale * load
            while (at := at + self._rng.expovariate(rate_per_s)) < end:
                caller = SimulatedCaller(kind, at, self._rng.random())
                self.callers.append(caller)
                self._schedule(at, lambda caller=caller: self._send(caller))
            at = end

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _record(self, decision: Decision, rank: int) -> None:
        self.decisions[(decision, rank)] = self.decisions.get((decision, rank), 0) + 1

    def _poll(self) -> None:
        if self.now < self.ends_at + self.after_s + 10:
            self._assign()
            self._schedule(self.now + _POLL_INTERVAL_S, self._poll)

    def _send(self, caller: SimulatedCaller) -> None:
        caller.attempts += 1
        deadline_ms = int((caller.gives_up_at - self.now) * 1000)
        self._schedule(self.now + _ONE_WAY_S, lambda: self._arrive(caller, deadline_ms / 1000))

    def _arrive(self, caller: SimulatedCaller, patience_s: float) -> None:
        received_at = self.now
        spread_s = self._rng.uniform(0.0, _SPREAD_S)
        kind = caller.kind
        call = Call(
            "r", "service", _KEY if self.keyed else None, None, "GET", "/", (), b"",
            received_at + min(kind.timeout_s, patience_s) + spread_s,
            received_at + kind.objective_s + spread_s,
            kind.rank, kind.name, caller_deadline=received_at + patience_s + spread_s,
        )  # fmt: skip
        entry = QueueEntry(call, lambda: None, self.now)
        attempt = Attempt(caller, call, self.now)
        self.attempts.append(attempt)
        self._attempts_by_entry[entry] = attempt
        refusal = self.pool.enqueue(entry, self.now)
        if refusal is not None:
            self._refuse(attempt, refusal.retry_after_s)
            return
        attempt.admitted = True
        self._assign()

    def _assign(self) -> None:
        for entry in self.pool.assign(self.now):
            attempt = self._attempts_by_entry[entry]
            if entry.state is QueueEntryState.ASSIGNED:
                self._start(entry, attempt)
            else:
                attempt.admitted = entry.state is not QueueEntryState.REFUSED
                attempt.state = entry.state
                self._refuse(attempt, entry.refusal.retry_after_s)

    def _start(self, entry: QueueEntry, attempt: Attempt) -> None:
        upstream = self._upstreams[entry.upstream.upstream_id]
        work_s = attempt.caller.kind.work_s * self._rng.uniform(0.8, 1.2)
        end = upstream.end_of(self.now, work_s)
        attempt.started_at = self.now
        attempt.mean_end = self.now + attempt.caller.kind.work_s * upstream.factor
        attempt.ended_at = min(end, attempt.call.deadline)
        is_answered = end <= attempt.call.deadline
        self._schedule(attempt.ended_at, lambda: self._finish(entry, attempt, is_answered))

    def _finish(self, entry: QueueEntry, attempt: Attempt, is_answered: bool) -> None:
        route, upstream = entry.call.route, entry.upstream.upstream_id
        elapsed_s = self.now - attempt.started_at
        expected_s = self._latencies.expected_latency_s(route, upstream)
        outcome = Outcome(ResultCode.OK if is_answered else ResultCode.DEADLINE_EXCEEDED, "", 200)
        result = rate_outcome(entry.call, outcome, False, elapsed_s, expected_s)
        if is_answered:
            self._latencies.record_response(route, upstream, elapsed_s)
        elif result.is_failure:
            self._latencies.record_failure(upstream, result)
        else:
            self._latencies.record_timeout(route, upstream, elapsed_s)
        self.pool.finish(entry, result, self.now)
        self._assign()
        caller = attempt.caller
        answered_at = self.now + _ONE_WAY_S
        if is_answered and answered_at <= caller.gives_up_at:
            attempt.useful = True
            caller.answered_at = answered_at
        elif not is_answered and caller.kind.idempotent:
            self._retry(caller, 0.0)

    def _refuse(self, attempt: Attempt, retry_after_s: float) -> None:
        attempt.refused_at, attempt.retry_after_s = self.now, retry_after_s
        self._retry(attempt.caller, retry_after_s)

    def _retry(self, caller: SimulatedCaller, retry_after_s: float) -> None:
        at = caller.retry_at(self.now + _ONE_WAY_S, retry_after_s)
        if at is not None:
            self._schedule(at, lambda: self._send(caller))

    def useful_share(self, begin: float, end: float) -> float:
        """Return the share of the slots' time that was spent on answers in time for callers."""
        useful_s = sum(
            max(0.0, min(end, item.ended_at) - max(begin, item.started_at))
            for item in self.attempts
            if item.useful
        )
        return useful_s / (self.slots * (end - begin))

    def arrived(self, begin: float, end: float, kind: str | None = None) -> list[SimulatedCaller]:
        """Return the callers whose first attempt was sent in a time."""
        return [
            caller
            for caller in self.callers
            if begin <= caller.sent_at < end and kind in (None, caller.kind.name)
        ]

    def foreseeably_late(self) -> list[Attempt]:
        """Return the requests that ran, and whose mean end was after their deadline at admission.

        Their wait is the mean work of the earlier requests that were served before them, at the
        mean speed of the pool.
        """
        ran = sorted((item for item in self.attempts if item.started_at), key=_arrived_at)
        late = []
        for index, item in enumerate(ran):
            ahead_s = sum(
                other.work_left_s(item.arrived_at)
                for other in ran[max(0, index - _MAX_AHEAD) : index]
                if other.started_at <= item.started_at
            )
            mean_end = item.arrived_at + ahead_s / self.capacity + item.mean_end - item.started_at
            if mean_end > item.call.deadline:
                late.append(item)
        return late


def _arrived_at(attempt: Attempt) -> float:
    return attempt.arrived_at

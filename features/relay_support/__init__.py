"""Simulation of nodes with a limited link in front of a service without keys, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.admission import Call, QueueEntry, QueueEntryState, SlotPool
from foxtailshunt.fleet import Member, Upstream
from foxtailshunt.relay import GroupSelector, UpstreamGroup, form_groups
from foxtailshunt.upstreams import LatencyEstimator, RequestResult

_SERVICE = "counter"
_ROUTE = "issue"
_ONE_WAY_S = 0.0005
_ROUTE_WARM_UP_SAMPLES = 400


@dataclass
class SimulatedCall:
    """A request in the simulation and its result."""

    zone: str
    arrived_at: float
    objective_at: float
    deadline: float
    groups_tried: int = 0
    answered_at: float | None = None


class _Link:
    """The link of a sending node, which carries one message after the other."""

    def __init__(self, messages_per_s: float) -> None:
        self._message_s = 1 / messages_per_s
        self._free_at = 0.0

    def carry(self, now: float) -> float:
        """Return when a message that is handed to the link now has arrived."""
        self._free_at = max(now, self._free_at) + self._message_s
        return self._free_at + _ONE_WAY_S


class RelaySimulation:
    """Nodes that forward requests to the sending nodes of upstream groups.

    :param zones: availability zones.
    :param nodes_per_zone: number of nodes in each zone.
    :param upstreams_per_zone: number of upstreams in each zone, with 2 slots each.
    :param latency_s: mean latency of a request at an upstream.
    :param link_messages_per_s: number of messages that a node's link carries per second.
    """

    def __init__(
        self,
        zones: list[str],
        nodes_per_zone: int,
        upstreams_per_zone: int,
        latency_s: float,
        link_messages_per_s: float,
    ) -> None:
        self._rng = random.Random(7)
        self._latency_s = latency_s
        self._link_messages_per_s = link_messages_per_s
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.now = 0.0
        self.zones = zones
        self.members = [
            Member(f"{zone}-{number}", "boot", zone, ("h", 1))
            for zone in zones
            for number in range(nodes_per_zone)
        ]
        self.upstreams = [
            Upstream(f"{zone}-u{number}", _SERVICE, ("h", 1), zone, 2, False, 0.0, 0)
            for zone in zones
            for number in range(upstreams_per_zone)
        ]
        self.groups = form_groups(_SERVICE, self.upstreams, self.members)
        self.slow_senders: set[str] = set()
        self._selectors = {
            member.instance_id: GroupSelector(member.zone, self._rng) for member in self.members
        }
        self._links: dict[str, _Link] = {}
        self._pools = {group.name: self._make_pool(group) for group in self.groups}
        self._calls_by_entry: dict[QueueEntry, tuple[SimulatedCall, UpstreamGroup, str]] = {}
        self.calls: list[SimulatedCall] = []

    def _make_pool(self, group: UpstreamGroup) -> SlotPool:
        latencies = LatencyEstimator()
        for number in range(_ROUTE_WARM_UP_SAMPLES):
            latencies.record_response(_ROUTE, f"other-{number}", self._latency_s)
        pool = SlotPool(latencies, group.zone or "")
        pool.set_upstreams(group.upstreams)
        return pool

    def run(self, rates_per_s: dict[str, float], duration_s: float) -> None:
        """Let requests arrive at random nodes of each zone, and run until all have ended."""
        for zone, rate_per_s in rates_per_s.items():
            at = self.now
            nodes = [member.instance_id for member in self.members if member.zone == zone]
            while at < self.now + duration_s:
                at += self._rng.expovariate(rate_per_s)
                node = self._rng.choice(nodes)
                self._schedule(at, lambda zone=zone, node=node: self._arrive(zone, node))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _arrive(self, zone: str, node: str) -> None:
        call = SimulatedCall(zone, self.now, self.now + 0.4, self.now + 0.8)
        self.calls.append(call)
        self._forward(call, node, ())

    def _forward(self, call: SimulatedCall, node: str, tried: tuple[str, ...]) -> None:
        group = self._selectors[node].select(_SERVICE, self.groups, self.now, tried)
        assert group is not None
        call.groups_tried += 1
        arrival = self._link(group).carry(self.now)
        self._schedule(arrival, lambda: self._enqueue(call, node, group, tried))

    def _link(self, group: UpstreamGroup) -> _Link:
        sender = group.senders[0].instance_id
        slowdown = 10.0 if sender in self.slow_senders else 1.0
        return self._links.setdefault(sender, _Link(self._link_messages_per_s / slowdown))

    def _enqueue(
        self, call: SimulatedCall, node: str, group: UpstreamGroup, tried: tuple[str, ...]
    ) -> None:
        entry = QueueEntry(_to_call(call), lambda: None, self.now)
        self._calls_by_entry[entry] = (call, group, node)
        refusal = self._pools[group.name].enqueue(entry, self.now)
        if refusal is None:
            self._assign(group)
            return
        delay_s = max(self.now - call.arrived_at, call.deadline - self.now)
        self._selectors[node].record(_SERVICE, group.name, delay_s, self.now)
        if not tried and len(self.groups) > 1:
            self._forward(call, node, (group.name,))

    def _assign(self, group: UpstreamGroup) -> None:
        for entry in self._pools[group.name].assign(self.now):
            if entry.state is QueueEntryState.ASSIGNED:
                duration_s = self._latency_s * self._rng.uniform(0.6, 1.4)
                self._schedule(
                    self.now + duration_s,
                    lambda entry=entry, duration_s=duration_s: self._finish(entry, duration_s),
                )

    def _finish(self, entry: QueueEntry, duration_s: float) -> None:
        call, group, node = self._calls_by_entry[entry]
        self._pools[group.name].finish(entry, RequestResult.SERVED, self.now)
        self._assign(group)
        self._schedule(
            self._link(group).carry(self.now), lambda: self._answer(call, group, node, duration_s)
        )

    def _answer(
        self, call: SimulatedCall, group: UpstreamGroup, node: str, duration_s: float
    ) -> None:
        call.answered_at = self.now
        delay_s = self.now - call.arrived_at - duration_s
        self._selectors[node].record(_SERVICE, group.name, delay_s, self.now)

    def share_in_time(self) -> float:
        """Return the share of requests that were answered within their latency objective."""
        in_time = [
            call
            for call in self.calls
            if call.answered_at is not None and call.answered_at <= call.objective_at
        ]
        return len(in_time) / len(self.calls)


def _to_call(call: SimulatedCall) -> Call:
    return Call(
        "r", _SERVICE, None, None, "PUT", "/", (), b"", call.deadline, call.objective_at, 0, _ROUTE
    )  # fmt: skip

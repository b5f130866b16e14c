"""Models of nodes that send to cold upstreams, in virtual time and without a network."""

import random
from collections.abc import Mapping

from foxtailshunt.fleet import Upstream
from foxtailshunt.routing import ServiceInfo
from foxtailshunt.upstreams import ColdBound, StartLimiter, WarmupStates

SERVICE = "desk"
#: Unix time, in seconds, from which the start times of upstreams are counted.
UNIX_START = 1_786_000_000.0
_STEP_S = 0.002


def cold_service(rate: float, warmup_s: float) -> ServiceInfo:
    """Return a service whose upstreams have a limit while they are cold."""
    return ServiceInfo(SERVICE, True, 64, warmup_s=warmup_s, warmup_rate=rate)


def upstream(name: str = "u1", **fields: object) -> Upstream:
    """Return an upstream of the service."""
    values = {"zone": "zone-a", "slots": 4, "leaving": False, "warmup_s": 0.0, "started_ms": 1}
    values |= fields
    return Upstream(name, SERVICE, ("10.0.0.1", 80), **values)


class ModelNode:
    """The limiter of one node."""

    def __init__(
        self, service: ServiceInfo, bound: ColdBound, listed: Mapping[str, Upstream]
    ) -> None:
        self.is_sender = False
        self.states = WarmupStates()
        self.states.observe(listed, 0.0, 0.0)
        self.limiter = StartLimiter(
            self.states, lambda _name: service, lambda _upstream: self.is_sender, bound
        )

    def try_start(self, target: Upstream, now: float) -> bool:
        return self.limiter.try_start(target, now)


class ColdFleetModel:
    """Nodes that try to send more than a cold upstream can take, each by its own view.

    :param nodes: number of nodes.
    :param rate: requests per second that the upstream sustains while it is cold.
    :param bound: the bound of the fleet.
    :param seed: seed of the arrivals.
    """

    def __init__(self, nodes: int, rate: float, bound: ColdBound, seed: int) -> None:
        self._rng = random.Random(seed)
        self._service = cold_service(rate, 1000.0)
        self._bound = bound
        self.target = upstream()
        self.now = 0.0
        self.starts: list[float] = []
        self.nodes = [self._new_node(set()) for _number in range(nodes)]

    def _new_node(self, listed: set[str]) -> ModelNode:
        node = ModelNode(self._service, self._bound, {})
        # The upstream joins during traffic.
        node.states.observe({self.target.upstream_id: self.target}, self.now, 0.0)
        return node

    def set_senders(self, *numbers: int) -> None:
        """Let exactly these nodes believe to be the sender."""
        for number, node in enumerate(self.nodes):
            node.is_sender = number in numbers

    def restart(self, number: int) -> None:
        """Replace a node by its next process, which keeps the role but no state."""
        is_sender = self.nodes[number].is_sender
        self.nodes[number] = self._new_node(set())
        self.nodes[number].is_sender = is_sender

    def run(self, seconds: float) -> None:
        """Let all nodes try to start a request in almost every step, first attempts and retries."""
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_S
            for node in self._rng.sample(self.nodes, len(self.nodes)):
                for _attempt in range(self._rng.choice((1, 1, 2))):
                    if node.try_start(self.target, self.now):
                        self.starts.append(self.now)

    def most_in_a_second(self) -> int:
        """Return the largest number of starts in any sliding second."""
        most = first = 0
        for last, start in enumerate(self.starts):
            while start - self.starts[first] >= 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most

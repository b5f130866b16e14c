"""The whole model: a fleet, its faults, and the checks of what must always hold."""

from foxtailshunt.protocol import UpstreamReport
from standins.ownership.model._assigner import ModelAssigner
from standins.ownership.model._dispatcher import ModelDispatcher
from standins.ownership.model._rules import Rules
from standins.ownership.model._upstream import ModelUpstream
from standins.ownership.model._world import Process, World

_DISPATCHERS = ("a", "b", "c")
_UPSTREAMS = ("u1", "u2")
_FAULT_INTERVAL_S = 0.8
_CHECK_INTERVAL_S = 0.05


class ModelFleet:
    """Three dispatchers, two upstreams, one assigner, and faults drawn from a seed.

    :param seed: decides everything that is random.
    :param rules: the rules in force.
    """

    def __init__(self, seed: int, rules: Rules) -> None:
        self.world = World(seed)
        self._rules = rules
        self._starts = dict.fromkeys(_DISPATCHERS, 0)
        self._upstreams = {
            upstream_id: ModelUpstream(self.world, upstream_id, rules, self._check_owners)
            for upstream_id in _UPSTREAMS
        }
        self._dispatchers: dict[str, ModelDispatcher] = {}
        for name in _DISPATCHERS:
            self._start(name)
        self.assigner = ModelAssigner(
            self.world, lambda: self._dispatchers, list(_UPSTREAMS), rules
        )
        self.world.after(_FAULT_INTERVAL_S, self._make_fault)
        self.world.after(_CHECK_INTERVAL_S, self._check_senders)

    def run(self, duration_s: float) -> list[str]:
        """Run and return what was found wrong.

        :param duration_s: virtual time, in seconds.
        """
        self.world.run(duration_s)
        return self.world.faults

    def _start(self, name: str) -> None:
        self._starts[name] += 1
        self._dispatchers[name] = ModelDispatcher(
            self.world,
            name,
            self._starts[name],
            self._upstreams,
            lambda other: self._dispatchers[other],
            self._report,
            self._rules,
        )

    def _report(self, sender: Process, reports: list[UpstreamReport]) -> None:
        self.world.send(sender, self.assigner.process, lambda: self.assigner.hear(reports))

    def _make_fault(self) -> None:
        rng = self.world.rng
        kind = rng.choice(("cut", "isolate", "isolate", "heal", "freeze", "restart", "crash"))
        if kind == "cut":
            end = rng.choice(("assigner", "assigner", *_DISPATCHERS, *_UPSTREAMS))
            self.world.cuts.add(frozenset((rng.choice(_DISPATCHERS), end)))
        elif kind == "isolate":
            self._isolate_sender(rng.choice(_UPSTREAMS))
        elif kind == "heal":
            self.world.cuts.clear()
        elif kind == "freeze":
            upstream_id = rng.choice(_UPSTREAMS)
            self._upstreams[upstream_id].freeze(rng.uniform(0.3, 2.5))
        elif kind == "restart" and rng.random() < 0.3:
            self._upstreams[rng.choice(_UPSTREAMS)].upstream.restart()
        elif kind == "crash" and rng.random() < 0.3:
            name = rng.choice(_DISPATCHERS)
            self._dispatchers[name].process.is_dead = True
            self._start(name)
        self.world.after(rng.expovariate(1 / _FAULT_INTERVAL_S), self._make_fault)

    def _isolate_sender(self, upstream_id: str) -> None:
        """Cut the upstream's sender off from the assigner, but not from the upstream."""
        for name, dispatcher in self._dispatchers.items():
            if dispatcher.rig.ledger.holds(upstream_id) and not self.world.cuts:
                self.world.cuts = {frozenset((name, "assigner"))}

    def _check_owners(self) -> None:
        held = [upstream.upstream.slots_now() for upstream in self._upstreams.values()]
        if held[0] & held[1]:
            slots = sorted(held[0] & held[1])
            self.world.faults.append(f"at {self.world.time:.3f} both upstreams hold {slots}")

    def _check_senders(self) -> None:
        running = [
            dispatcher
            for dispatcher in self._dispatchers.values()
            if dispatcher.process.paused_until <= self.world.time
        ]
        for upstream_id in _UPSTREAMS:
            senders = [d.process.name for d in running if d.rig.ledger.holds(upstream_id)]
            if len(senders) > 1 and self._rules.has_one_sender:
                self.world.faults.append(f"at {self.world.time:.3f} senders {senders}")
        self.world.after(_CHECK_INTERVAL_S, self._check_senders)

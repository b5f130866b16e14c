"""Random sequences of faults, after each of which no key may have two owners."""

from collections import Counter

from hypothesis import HealthCheck, Phase, note, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from features.grant_support._fleet import NODES, PLACES, UPSTREAMS, GrantFleet
from features.grant_support._network import STORE
from foxtailshunt.config import CONFIG_KEY
from foxtailshunt.platform import UPSTREAM_PREFIX

#: Longest time until all keys are granted, in seconds.
_START_S = 20.0
#: Time after all faults have ended until the last configuration is in force, in seconds: nodes
#: count as in touch with the store from then on.
_SETTLED_S = 3.0
#: Step in which an upstream is waited for, and time for which one serves after it has left, in
#: seconds.
_STEP_S, _DRAIN_S = 0.05, 2.0
#: Time after which a configuration is in force everywhere, in seconds.
_IN_FORCE_S = 2.0
_WATCH_FAULTS = ("answer lost", "connection reset", "connection silent")
#: Lines of the log shown for a sequence that fails.
_LOG_LINES = 150

_node = st.sampled_from(("leader", *NODES))
#: Most events of a sequence affect the same upstream, since faults take several events.
_upstream = st.sampled_from((*["affected"] * 5, *UPSTREAMS))
#: Times between two events, in seconds: some within a call, some around the expiry of grants.
_pause = st.sampled_from((0.002, 0.05, 0.2, 0.45, 0.9, 1.5, 2.5, 4.0, 7.0))
#: Probabilities that a call gets no response, after one that got one, and shares of the calls
#: without a response that are carried out.
_loss = st.sampled_from(((0.9, 0.0), (0.5, 0.3), (0.5, 1.0)))
_some_nodes = st.frozensets(_node, min_size=1, max_size=2)
_some_upstreams = st.frozensets(_upstream, min_size=1, max_size=2)


class GrantMachine(RuleBasedStateMachine):
    """One sequence of events in a fleet."""

    #: Numbers of events over all sequences.
    counts: Counter[str] = Counter()

    @initialize(
        number=st.integers(0, 2**16),
        affected=st.sampled_from(UPSTREAMS),
        ranges=st.sampled_from((1, 1, 12, 24)),
    )
    def start(self, number: int, affected: str, ranges: int) -> None:
        self.fleet = GrantFleet(number, affected, ranges)
        self.fleet.wait_until_granted(_START_S)

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        try:
            self._calm_down()
            self._check(self.fleet.violations() + self.fleet.outdated_nodes())
        finally:
            self.fleet.close()
            self.counts.update(self.fleet.counts)
            self.counts["sequences"] += 1
            self.counts["store.returned"] += self.fleet.network.store.era
            self.counts["configuration.applied"] += self.fleet.operator.accepted[0]

    @invariant()
    def has_no_violation(self) -> None:
        self._check(self.fleet.violations() if hasattr(self, "fleet") else [])

    def _check(self, found: list[str]) -> None:
        if found:
            note("\n".join(self.fleet.log[-_LOG_LINES:]))
        assert not found, "\n".join(found[:5])

    def _continue(self, pause_s: float) -> None:
        self.fleet.time.advance(pause_s)
        self.fleet.copy_store()

    def _block(self, blocked: set[tuple[str, str]]) -> None:
        self.fleet.network.blocked = frozenset(blocked)

    @rule(pause_s=_pause)
    def wait(self, pause_s: float) -> None:
        self._continue(pause_s)

    # Network.

    @rule(nodes=_some_nodes, upstreams=st.frozensets(_upstream, max_size=2), pause_s=_pause)
    def cut_off_zone(self, nodes: frozenset, upstreams: frozenset, pause_s: float) -> None:
        inside = nodes | upstreams
        names = frozenset(map(self.fleet.resolve, inside))
        pairs = self.fleet.pairs(inside, PLACES - names)
        self._block(pairs | {(target, source) for source, target in pairs})
        self._continue(pause_s)

    @rule(upstreams=_some_upstreams, pause_s=_pause)
    def cut_off_upstreams_from_nodes(self, upstreams: frozenset, pause_s: float) -> None:
        pairs = self.fleet.pairs(upstreams, frozenset(NODES))
        self._block(pairs | {(target, source) for source, target in pairs})
        self._continue(pause_s)

    @rule(
        places=_some_nodes | _some_upstreams | st.just(PLACES - {STORE}),
        loses_responses=st.booleans(),
        pause_s=_pause,
    )
    def cut_off_from_store(self, places: frozenset, loses_responses: bool, pause_s: float) -> None:
        pairs = self.fleet.pairs(frozenset({STORE}), places)
        calls = set() if loses_responses else {(target, source) for source, target in pairs}
        self._block(self.fleet.network.blocked | pairs | calls)
        self._continue(pause_s)

    @rule(nodes=_some_nodes, upstreams=_some_upstreams, pause_s=_pause)
    def lose_responses(self, nodes: frozenset, upstreams: frozenset, pause_s: float) -> None:
        self._block(self.fleet.network.blocked | self.fleet.pairs(upstreams, nodes))
        self._continue(pause_s)

    @rule(upstreams=_some_upstreams, loss=_loss, pause_s=_pause)
    def lose_responses_one_by_one(self, upstreams: frozenset, loss: tuple, pause_s: float) -> None:
        self.fleet.network.lossy = dict.fromkeys(map(self.fleet.resolve, upstreams), loss)
        self._continue(pause_s)

    @rule(pause_s=_pause)
    def heal(self, pause_s: float) -> None:
        self._block(set())
        self.fleet.network.lossy = {}
        self._continue(pause_s)

    @rule(
        number=st.integers(0, 3),
        outage_s=st.sampled_from((0.0, 0.3, 1.5)),
        applied_after_s=st.sampled_from((None, 0.0, 0.02, 0.2, 0.9)),
        pause_s=_pause,
    )
    def return_store(
        self, number: int, outage_s: float, applied_after_s: float | None, pause_s: float
    ) -> None:
        """Let the store return from an older copy after a short outage.

        :param applied_after_s: time until the operator applies a configuration, in seconds.
        """
        blocked = self.fleet.network.blocked
        pairs = self.fleet.pairs(frozenset({STORE}), PLACES - {STORE})
        self._block(blocked | pairs | {(target, source) for source, target in pairs})
        self.fleet.time.advance(outage_s)
        self.fleet.return_store(number)
        self._block(set(blocked))
        if applied_after_s is not None:
            self.fleet.time.advance(applied_after_s)
            self.fleet.operator.apply()
        self._continue(pause_s)

    @rule(pause_s=_pause)
    def apply_configuration(self, pause_s: float) -> None:
        self.fleet.operator.apply()
        self._continue(pause_s)

    # Processes.

    @rule(event=st.sampled_from(("start", "kill", "stop", "suspend")), name=_node, pause_s=_pause)
    def change_node(self, event: str, name: str, pause_s: float) -> None:
        name = self.fleet.resolve(name)
        node = self.fleet.nodes[name]
        if event == "start":
            self.fleet.start_node(name)
        elif event == "kill":
            self.fleet.time.kill(node.process)
        elif event == "stop":
            node.stop()
        node.process.is_suspended = event == "suspend"
        self._continue(pause_s)
        self.fleet.time.continue_process(node.process)

    @rule(
        event=st.sampled_from(("start", "start", "kill", "replace", "swap", "leave")),
        name=_upstream,
        is_cut_off=st.booleans(),
        pause_s=_pause,
    )
    def change_upstream(self, event: str, name: str, is_cut_off: bool, pause_s: float) -> None:
        """Change an upstream, which may be cut off from the store since then.

        None restarts while responses get lost one by one: it would get its token again, which is
        known red and would hide all else.
        """
        name = self.fleet.resolve(name)
        event = "leave" if self.fleet.network.lossy else event
        if is_cut_off:
            blocked = self.fleet.network.blocked
            self._block(blocked | {(name, STORE), (STORE, name)})
        if event == "start":
            self.fleet.start_upstream(name)
        elif event == "kill":
            self.fleet.kill_upstream(name)
        elif event == "replace":
            self.fleet.replace_upstream(name)
        elif event == "swap":
            self.fleet.swap_upstreams(name, UPSTREAMS[UPSTREAMS.index(name) - 1])
        else:
            self.fleet.upstreams[name].is_leaving ^= True
        self._continue(pause_s)

    @rule(name=_upstream, loss=_loss, pause_s=_pause)
    def leave_losing_responses(self, name: str, loss: tuple, pause_s: float) -> None:
        name = self.fleet.resolve(name)
        self.fleet.network.lossy = {name: loss}
        self.fleet.upstreams[name].is_leaving = True
        self._continue(pause_s)

    @rule(names=_some_nodes | st.just(frozenset(NODES)), fault=st.sampled_from(_WATCH_FAULTS))
    def apply_losing_answers(self, names: frozenset, fault: str) -> None:
        """Apply a configuration in calm, whose watch fails at some nodes or at all of them."""
        self._calm_down()
        places = {self.fleet.resolve(name) for name in names}
        self.fleet.network.watch_faults = {(place, CONFIG_KEY): fault for place in places}
        operator = self.fleet.operator
        number = operator.number + 1
        operator.apply()
        while operator.accepted[0] < number:
            self.fleet.time.advance(_STEP_S)
        self.fleet.time.advance(_IN_FORCE_S)
        self.fleet.network.watch_faults = {}
        self.fleet.network.is_calm = False
        self._check(self.fleet.outdated_nodes())

    def _calm_down(self) -> None:
        """End all faults until the nodes count as in touch with the store.

        A store whose messages are slow is a fault, too; bounds do not hold beside it.
        """
        self._block(set())
        self.fleet.network.lossy = {}
        self.fleet.network.is_calm = True
        self.fleet.time.advance(_SETTLED_S)

    @rule(name=_upstream, fault=st.sampled_from((None, "connection reset", "answer lost")))
    def deregister(self, name: str, fault: str | None) -> None:
        """Let an upstream remove its entry in calm, beside one failed call of the leader."""
        name = self.fleet.resolve(name)
        self._calm_down()
        if not self.fleet.is_registered(name):
            self.fleet.network.is_calm = False
            return
        self.fleet.deregister(name)
        while self.fleet.is_registered(name):
            self.fleet.time.advance(_STEP_S)
        if fault is not None:
            call = self.fleet.resolve("leader"), UPSTREAM_PREFIX
            self.fleet.network.watch_faults[call] = fault
        self.fleet.time.advance(_DRAIN_S)
        self.fleet.network.is_calm = False
        self._check(self.fleet.nodes_that_list(name))
        self.fleet.counts["upstream.deregistered"] += 1
        self.fleet.start_upstream(name)

    @rule(upstreams_too=st.booleans(), pause_s=_pause)
    def lose_all_memory(self, upstreams_too: bool, pause_s: float) -> None:
        for name in NODES:
            self.fleet.start_node(name)
        for name in UPSTREAMS if upstreams_too and not self.fleet.network.lossy else ():
            self.fleet.start_upstream(name)
        self._continue(pause_s)

    # Moves.

    @rule(is_evacuated=st.booleans(), pause_s=_pause)
    def evacuate(self, is_evacuated: bool, pause_s: float) -> None:
        self.fleet.evacuate(is_evacuated)
        self._continue(pause_s)

    @rule(key=st.sampled_from(range(0, 65_536, 4096)), pause_s=_pause)
    def add_demand(self, key: int, pause_s: float) -> None:
        self.fleet.add_demand(key)
        self._continue(pause_s)


def check_grants(
    examples: int, steps: int, number: int | None = None, shrinks: bool = True
) -> Counter[str]:
    """Run random sequences and return the numbers of events.

    :param examples: number of sequences.
    :param steps: maximum number of steps of a sequence.
    :param number: seed; None for the same sequences in each run.
    :param shrinks: whether to look for a shorter sequence with the same result.
    :raises AssertionError: a sequence broke an invariant; it is printed.
    """
    GrantMachine.counts = Counter()
    chosen = settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=number is None,
        database=None,
        deadline=None,
        print_blob=False,
        phases=(Phase.generate, Phase.shrink) if shrinks else (Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    machine = GrantMachine if number is None else seed(number)(GrantMachine)
    run_state_machine_as_test(machine, settings=chosen)
    return GrantMachine.counts

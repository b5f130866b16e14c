"""Nodes that elect leaders and assign keys in virtual time, by the classes of the product."""

import itertools
import json
import random
import sys
from collections import deque
from collections.abc import Iterable
from contextlib import ExitStack
from functools import partial
from unittest.mock import patch

import eliot

from features.grant_support._network import (
    STORE,
    Network,
    NetworkGrantClient,
    NetworkStoreClient,
    UpstreamRun,
)
from features.grant_support._operator import Operator, RecordingApplier
from features.grant_support._virtual_time import Process, VirtualTime
from foxtailshunt.assigning import (
    TABLE_KEY,
    Assigner,
    CapacityEstimator,
    CopyStatements,
    DemandTracker,
    Leadership,
    MeanWork,
    MemberRegistry,
    TableRecord,
    encode_table,
)
from foxtailshunt.fleet import FleetView, KeyRange, Member, StoreCallSpacing
from foxtailshunt.node import ConfigurationWatch, DemandCollector, Follower, PeerService
from foxtailshunt.node._program import LEADERSHIP_CHECK_INTERVAL_S
from foxtailshunt.node._table_copies import CopyFetcher
from foxtailshunt.platform import UPSTREAM_PREFIX, StoreError
from foxtailshunt.telemetry import Metrics
from foxtailshunt.upstreams import LatencyEstimator
from standins.keyowner import find_overlaps
from standins.metadata import StoreCopy

NODES = ("n0", "n1", "n2")
UPSTREAMS = ("u0", "u1", "u2", "u3")
_SERVICE = UpstreamRun.service
#: Modules whose threads, waits and clock are virtual.
_VIRTUAL = (
    "foxtailshunt.assigning.",
    "foxtailshunt.fleet.",
    "foxtailshunt.node._configuration_watch",
    "foxtailshunt.node._evacuations",
    "foxtailshunt.node._follower",
    "foxtailshunt.node._peer_service",
    "foxtailshunt.node._table_copies",
    "foxtailshunt.operator._conditional_write",
    "standins.metadata._store",
    "standins.keyowner._key_grants",
)
#: Interval of an upstream's heartbeats and time to live of its entry, in seconds.
_HEARTBEAT_S, _ENTRY_TTL_S = 0.87, 3.0
#: Timeout of an upstream's calls to the store and delay after a failed one, in seconds.
_CALL_TIMEOUT_S, _RETRY_S = 0.4, 0.1
#: How long a stopping node goes on after it has resigned, in seconds.
_GRACE_S = 1.0
_SEEDS = tuple((name, 1) for name in NODES)
#: Number of copies of the store that are kept, and how old one may be, in seconds.
_COPIES, _COPY_AGE_S = 4, 10.0


def _divided_table(ranges: int) -> bytes:
    """Return a table in which each upstream owns a number of ranges, none next to another."""
    owners = UPSTREAMS * ranges
    size = 65_536 // len(owners)
    firsts = [index * size for index in range(len(owners))]
    lasts = [first - 1 for first in firsts[1:]] + [65_535]
    rows = [KeyRange(_SERVICE, *row, fence=1) for row in zip(firsts, lasts, owners, strict=True)]
    return encode_table(TableRecord(1, tuple(rows), ()))


class Node:
    """One process of a node.

    :param fleet: the fleet.
    :param name: its instance and its place in the network.
    :param boot_id: id of the process.
    """

    def __init__(self, fleet: "GrantFleet", name: str, boot_id: str) -> None:
        time, rng = fleet.time, fleet.rng
        self._fleet = fleet
        self.process = Process(name)
        # Clocks of different processes have nothing in common.
        offset = rng.uniform(0, 1000.0)
        now = lambda: time.now + offset  # noqa: E731
        member = Member(name, boot_id, "zone-a", (name, 1))
        self.view = FleetView(now)
        self.configurations = RecordingApplier(self.view)
        store = NetworkStoreClient(fleet.network, self.view.entry_lapses)
        spacing = StoreCallSpacing(self.view, rng)
        self.demands = DemandTracker()
        capacities, mean_work, members = CapacityEstimator(), MeanWork(), MemberRegistry()
        statements = CopyStatements()
        with time.starting(self.process):
            self.leadership = Leadership(member, store, now, 1.0, spacing)
            self.assigner = Assigner(
                member,
                self.leadership,
                store,
                self.view,
                self.demands,
                capacities,
                mean_work,
                members,
                statements,
                CopyFetcher(member, self.view).fetch,
                now,
                Metrics(),
            )
            self._follower = Follower(
                member,
                self.view,
                self.leadership,
                self.configurations,
                store,
                DemandCollector(),
                LatencyEstimator(now),
                self.demands,
                capacities,
                now,
                spacing,
                tuple(seed for seed in _SEEDS if seed[0] != name),
                mean_work,
            )
            watch = ConfigurationWatch(
                store, self.configurations, spacing, lambda: self.leadership.term is not None
            )
            for part in (self.leadership, self.assigner, self._follower, watch):
                part.start()
            time.spawn(self._check_leadership, (watch,))
        self.now = now
        self.service = PeerService(
            self.view,
            None,
            None,
            self.leadership,
            members,
            self.demands,
            capacities,
            now,
            mean_work,
            statements,
            self._follower.catch_up,
        )

    @property
    def leads(self) -> bool:
        """Return whether the process runs and acts as leader."""
        return not self.process.is_killed and self.leadership.term is not None

    def _check_leadership(self, watch: ConfigurationWatch) -> None:
        while True:
            watch.check_leadership()
            self._fleet.time.sleep(LEADERSHIP_CHECK_INTERVAL_S)

    def stop(self) -> None:
        """Shut down as the program does, on a thread of the process."""
        with self._fleet.time.starting(self.process):
            self._fleet.time.spawn(self._stop)

    def _stop(self) -> None:
        self._follower.announce_leaving()
        deadline = self._fleet.time.now + _GRACE_S
        while not self.leadership.resign() and self._fleet.time.now < deadline:
            self.assigner.prepare_to_leave()
            self._fleet.time.sleep(0.1)
        self.assigner.stop()
        self._fleet.time.sleep(max(0.0, deadline - self._fleet.time.now))
        self.process.is_killed = True


class GrantFleet:
    """A store, nodes and upstreams, into which a test injects faults.

    :param seed: determines delays, elections and clocks.
    :param affected: the upstream that ``affected`` stands for.
    :param ranges: number of ranges that each upstream owns at the beginning.
    :param nodes: names of the nodes.
    """

    def __init__(
        self, seed: int, affected: str, ranges: int = 1, nodes: Iterable[str] = NODES
    ) -> None:
        self._affected = affected
        self.rng = random.Random(seed)
        self.time = VirtualTime()
        self.log: list[str] = []
        self.counts = dict.fromkeys(
            ("leader.elected", "keys.moved", "upstream.replaced", "upstream.deregistered"), 0
        )
        self._patches = ExitStack()
        self._virtualize()
        self._store_process = Process(STORE)
        with self.time.starting(self._store_process):
            self.network = Network(self.time, self.rng)
        if ranges > 1:
            self.network.store.commit({}, [(TABLE_KEY, _divided_table(ranges), 0)], [])
        self.operator = Operator(self.time, self.network)
        self._peers: dict = {}
        for module in ("_grant_renewer", "_key_mover"):
            target = f"foxtailshunt.assigning.{module}.KeyGrantClient"
            self._patches.enter_context(patch(target, partial(NetworkGrantClient, self.network)))
        pool = self.network.poll_peers(self._peers)
        for module in ("_follower", "_table_copies"):
            self._patches.enter_context(patch(f"foxtailshunt.node.{module}.ClientPool", pool))
        eliot.add_destinations(self._record)
        self._patches.callback(eliot.remove_destination, self._record)
        self._numbers = itertools.count(1)
        self._evacuations = 0
        #: The last copies of the store, from which it may return, with their times.
        self._copies: deque[tuple[float, StoreCopy]] = deque(maxlen=_COPIES)
        self.nodes: dict[str, Node] = {}
        self.upstreams: dict[str, UpstreamRun] = {}
        #: All processes of upstreams so far.
        self._runs: list[UpstreamRun] = []
        for name in UPSTREAMS:
            self.start_upstream(name)
        for name in nodes:
            self.start_node(name)

    def _virtualize(self) -> None:
        threads = self.time.threading_module()
        clock = self.time.time_module()
        for name, module in list(sys.modules.items()):
            if name.startswith(_VIRTUAL):
                for attribute, value in (("threading", threads), ("time", clock)):
                    if hasattr(module, attribute):
                        self._patches.enter_context(patch.object(module, attribute, value))
        self._patches.enter_context(
            patch("foxtailshunt.assigning._leadership.random.uniform", self.rng.uniform)
        )

    def _record(self, message: dict) -> None:
        if not self.time.is_virtual():
            return
        event = message.get("message_type", "")
        if event in self.counts:
            self.counts[event] += 1
        fields = {
            key: value
            for key, value in message.items()
            if key not in ("message_type", "task_uuid", "task_level", "timestamp")
        }
        self.log.append(f"{self.time.now:8.3f} {self.time.process.name} {event} {fields}")

    def close(self) -> None:
        """End all threads."""
        nodes = (node.process for node in self.nodes.values())
        others = [self._store_process, self.operator.process]
        for process in [*others, *nodes, *(run.process for run in self._runs)]:
            self.time.kill(process)
        self._patches.close()

    # Faults.

    def resolve(self, name: str) -> str:
        """Return a place by its name or by its role, ``leader`` or ``affected``."""
        if name == "affected":
            return self._affected
        if name != "leader":
            return name
        leading = [node for node in self.nodes.values() if node.leads]
        newest = max(leading, key=lambda node: node.leadership.term, default=self.nodes["n0"])
        return newest.process.name

    def start_node(self, name: str) -> None:
        """Start a node's process, after the end of the one before."""
        if name in self.nodes:
            self.time.kill(self.nodes[name].process)
        node = Node(self, name, f"boot-{next(self._numbers)}")
        self.nodes[name] = node
        self._peers[(name, 1)] = node.process, node.service

    def start_upstream(self, name: str, upstream_id: str | None = None) -> None:
        """Start an upstream's process, after the end of the one before at its address.

        :param upstream_id: its id; None for that of the one before.
        """
        before = self.upstreams.get(name)
        if before is not None:
            self.kill_upstream(name)
        upstream_id = upstream_id or (before.upstream_id if before else name)
        address = ("127.0.0.1", 8001 + UPSTREAMS.index(name))
        run = UpstreamRun(name, upstream_id, address, next(self._numbers))
        self.upstreams[name] = self.network.runs[address] = run
        self._runs.append(run)
        with self.time.starting(run.process):
            self.time.spawn(self._send_heartbeats, (run,))

    def kill_upstream(self, name: str) -> None:
        """Kill an upstream's process, and with it all its grants."""
        run = self.upstreams[name]
        self.time.kill(run.process)
        run.grants.end_all()

    def deregister(self, name: str) -> None:
        """Let an upstream remove its entry with its next heartbeat."""
        self.upstreams[name].has_deregistered = True

    def replace_upstream(self, name: str) -> None:
        """Start another upstream at the address of one that ends."""
        self.start_upstream(name, f"{name}-{next(self._numbers)}")

    def swap_upstreams(self, name: str, other: str) -> None:
        """Restart two upstreams, each at the address of the other one."""
        ids = self.upstreams[name].upstream_id, self.upstreams[other].upstream_id
        self.kill_upstream(name)
        self.start_upstream(other, ids[0])
        self.start_upstream(name, ids[1])

    def evacuate(self, is_evacuated: bool) -> None:
        """Evacuate the zone of half of the upstreams, or end that."""
        self._evacuations += 1
        zones = frozenset({"zone-b"} if is_evacuated else ())
        for node in self.nodes.values():
            node.view.update_evacuations(self._evacuations, zones)

    def copy_store(self) -> None:
        """Take a copy from which the store may return."""
        self._copies.append((self.time.now, self.network.store.take_copy()))

    def return_store(self, number: int) -> None:
        """Let the store lose what was written since one of the last copies.

        :param number: number of the copy, counted backwards; older ones are not used if they were
            taken more than some seconds ago.
        """
        recent = [copy for at, copy in self._copies if self.time.now - at <= _COPY_AGE_S]
        if recent:
            self.network.store.return_from(recent[-1 - number % len(recent)])
            self._copies.clear()

    def add_demand(self, key: int) -> None:
        """Let the leader know of much demand around a key."""
        node = self.nodes[self.resolve("leader")]
        for number in range(8):
            node.demands.observe(_SERVICE, (key + number * 512) % 65_536, 4.0, node.now())

    def _send_heartbeats(self, run: UpstreamRun) -> None:
        store, lease = NetworkStoreClient(self.network), 0
        host, port = run.address
        while True:
            entry = {
                "service": _SERVICE,
                "address": f"{host}:{port}",
                "zone": "zone-b" if run.place in UPSTREAMS[::2] else "zone-a",
                "slots": 2,
                "state": "draining" if run.is_leaving else "ready",
                "born": run.born_ms,
            }
            key = UPSTREAM_PREFIX + run.upstream_id
            try:
                if run.has_deregistered:
                    store.end_lease(lease, _CALL_TIMEOUT_S)
                    return
                if not lease:
                    lease, _ = store.open_lease(_ENTRY_TTL_S, _CALL_TIMEOUT_S)
                store.renew_lease(lease, _CALL_TIMEOUT_S)
                store.commit({}, [(key, json.dumps(entry).encode(), lease)], _CALL_TIMEOUT_S)
                self.time.sleep(_HEARTBEAT_S)
            except StoreError:
                lease = 0
                self.time.sleep(_RETRY_S)

    def wait_until_granted(self, timeout_s: float) -> None:
        """Wait until upstreams hold all keys."""
        end = self.time.now + timeout_s
        while self.time.now < end and not self.all_keys_held():
            self.time.advance(0.5)
        assert self.all_keys_held(), "not all keys were granted"

    # Checks.

    def all_keys_held(self) -> bool:
        """Return whether upstreams hold all keys now."""
        return sum(run.grants.held_count() for run in self.upstreams.values()) == 65_536

    def violations(self) -> list[str]:
        """Return keys with two owners, tokens issued twice, and errors of threads."""
        errors = [repr(exc) for exc in self.time.errors]
        errors += [line for line in self.log if "thread.error" in line]
        reverts = [
            f"configurations of {name} in the order in which they were in force: {numbers}"
            for name, node in self.nodes.items()
            if (numbers := node.configurations.numbers) != sorted(numbers)
        ]
        return find_overlaps(self._runs) + self.network.reissued + reverts + errors

    def outdated_nodes(self) -> list[str]:
        """Return the running nodes at which the last configuration of this era is not in force."""
        number, era = self.operator.accepted
        if number < self.operator.number or era != self.network.store.era:
            # The store may have lost it before any node has read it.
            return []
        return [
            f"file {node.configurations.numbers[-1]} is in force at {name}, not file {number}"
            for name, node in self.nodes.items()
            if not node.process.is_killed and node.configurations.numbers[-1] != number
        ]

    def is_registered(self, name: str) -> bool:
        """Return whether the store has the entry of an upstream."""
        key = UPSTREAM_PREFIX + self.upstreams[name].upstream_id
        return self.network.store.read(key) is not None

    def nodes_that_list(self, name: str) -> list[str]:
        """Return the running nodes that may send new requests to an upstream."""
        upstream_id = self.upstreams[name].upstream_id
        return [
            f"{node_name} lists {upstream_id}"
            for node_name, node in self.nodes.items()
            if not node.process.is_killed and upstream_id in node.view.upstreams
        ]

    def pairs(self, group: frozenset[str], others: frozenset[str]) -> set[tuple[str, str]]:
        """Return the directions from each place of a group to each one of another group."""
        first = {self.resolve(name) for name in group}
        second = {self.resolve(name) for name in others} - first
        return set(itertools.product(first, second))


PLACES = frozenset({STORE, *NODES, *UPSTREAMS})

"""Follows the leader: reports to it and takes its news; reads for itself when it is silent."""

import threading
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

from foxtailshunt.assigning import (
    TABLE_KEY,
    CapacityEstimator,
    DemandTracker,
    Leadership,
    UpstreamReader,
    decode_table,
)
from foxtailshunt.errors import FoxtailshuntError, PeerUnreachableError
from foxtailshunt.fleet import FleetView, Member, OwnershipTable, Versions
from foxtailshunt.network import Address
from foxtailshunt.node._configuration_watch import ConfigurationApplier
from foxtailshunt.node._messages import (
    from_member_message,
    from_ownership_message,
    from_upstreams_message,
    to_member_message,
    to_versions_message,
)
from foxtailshunt.platform import StoreClient, StoreError
from foxtailshunt.protocol import (
    ClientPool,
    FollowReply,
    FollowRequest,
    KeyDemand,
    UpstreamPace,
)
from foxtailshunt.protocol.gen import Peer
from foxtailshunt.relay import LatencyEstimator
from foxtailshunt.telemetry import log_state_change, log_thread_error

#: How long the leader may wait for news in one poll, in seconds; reports travel as often.
POLL_S = 0.5
#: Time beyond a poll's wait after which the leader is held silent, in seconds.
POLL_SLACK_S = 0.4
#: Pause after a failed poll, in seconds.
RETRY_S = 0.15
#: Age of the list of upstreams from which a node reads it for itself, in seconds.
READ_FOR_ITSELF_S = 1.25
#: Longest wait for the stored table at the start, in seconds.
TABLE_READ_TIMEOUT_S = 0.8
#: Pause after the store failed, in seconds; each call is paid for.
STORE_RETRY_S = 0.9
#: How often a node reads for itself, in seconds.
OWN_READ_INTERVAL_S = 0.5


class DemandCollector:
    """Collects the demand of requests between two reports; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._work_s: dict[tuple[str, int], float] = defaultdict(float)

    def observe(self, service: str, key: int, work_s: float) -> None:
        """Add a request.

        :param service: name of the service.
        :param key: its key.
        :param work_s: upstream time that it asks for, in seconds.
        """
        with self._lock:
            self._work_s[(service, key)] += work_s

    def take(self) -> dict[tuple[str, int], float]:
        """Return what was collected and begin anew."""
        with self._lock:
            work_s, self._work_s = self._work_s, defaultdict(float)
        return work_s


class Follower:
    """Threads that keep a node's knowledge fresh.

    :param me: this node.
    :param view: what is known.
    :param leadership: tells who leads.
    :param keeper: puts configurations of the leader into force.
    :param store: the store, for reading when the leader is silent.
    :param tally: demand of this node's requests.
    :param paces: what upstreams' answers took.
    :param demands: where a leader's own demand is noted.
    :param capacities: where a leader's own reports are noted.
    :param now: returns seconds of a clock that also counts suspension.
    :param seeds: nodes to ask while neither a leader nor any member is known.
    """

    def __init__(
        self,
        local_member: Member,
        view: FleetView,
        leadership: Leadership,
        configuration_applier: ConfigurationApplier,
        store: StoreClient,
        demand_collector: DemandCollector,
        paces: LatencyEstimator,
        demands: DemandTracker,
        capacities: CapacityEstimator,
        now: Callable[[], float],
        seeds: tuple[Address, ...],
    ) -> None:
        self._seeds = seeds
        self._me = local_member
        self._view = view
        self._leadership = leadership
        self._keeper = configuration_applier
        self._tally = demand_collector
        self._latencies = paces
        self._demands = demands
        self._capacities = capacities
        self._now = now
        self._store = store
        self._reader = UpstreamReader(store, now, view.apply_serving_rules)
        self._clients = ClientPool(Peer, 1)
        self._stopping = threading.Event()
        self._failures = 0
        self._asked = 0
        self._store_is_lost = False
        self._follow_thread = threading.Thread(target=self._run, name="follower", daemon=True)
        self._read_thread = threading.Thread(target=self._run_reader, name="reader", daemon=True)

    def start(self) -> None:
        """Start the threads."""
        self._follow_thread.start()
        self._read_thread.start()

    def announce_leaving(self) -> None:
        """Tell the leader that this node takes no more work of others."""
        self._me = replace(self._me, leaving=True)
        leader = self._leadership.leader
        if leader is None or leader.instance_id == self._me.instance_id:
            return
        try:
            self._poll(ClientPool(Peer, 0), leader.address, 0.0)
        except PeerUnreachableError as exc:
            log_state_change("leaving.not_announced", error=exc.message)

    def stop(self) -> None:
        """Stop following."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._follow_once()
            except Exception as exc:
                log_thread_error("follower", exc)
                self._stopping.wait(RETRY_S)

    def _follow_once(self) -> None:
        if self._leadership.term is not None:
            self._report_to_self()
            self._stopping.wait(POLL_S)
            if self._leadership.is_unconfirmed:
                self._look_for_newer_leader()
            return
        address = self._next_address()
        if address is None:
            self._stopping.wait(RETRY_S)
            return
        try:
            self._poll(self._clients, address, POLL_S)
            self._failures = 0
        except PeerUnreachableError as exc:
            if self._failures == 0:
                log_state_change("leader.silent", address=address, error=exc.message)
            self._failures += 1
            self._stopping.wait(RETRY_S)

    def _look_for_newer_leader(self) -> None:
        """Ask another node whether a newer term is known, since the store does not say."""
        others = self._other_addresses()
        if not others:
            return
        self._asked += 1
        try:
            self._poll(self._clients, others[self._asked % len(others)], 0.0)
        except PeerUnreachableError:
            # The next node is asked at the next turn.
            return
        term = self._leadership.term
        if term is not None and self._view.versions.term > term:
            self._leadership.step_down("a newer term is known to other nodes")

    def _other_addresses(self) -> list[tuple[str, int]]:
        return [
            member.address
            for member in self._view.members
            if member.instance_id != self._me.instance_id
        ]

    def _next_address(self) -> tuple[str, int] | None:
        """Return the leader's address, or every other time another node's while it is silent."""
        leader = self._leadership.leader
        others = self._other_addresses()
        if leader is not None and self._failures % 2 == 0:
            return leader.address
        others = others or list(self._seeds)
        if others:
            return others[(self._failures // 2) % len(others)]
        return leader.address if leader is not None else None

    def _report_to_self(self) -> None:
        now = self._now()
        for (service, key), work_s in self._tally.take().items():
            self._demands.observe(service, key, work_s, now)
        for pace in self._latencies.drain_reports():
            self._capacities.observe(
                pace.upstream_id,
                pace.elapsed_s,
                pace.expected_latency_s,
                pace.answered,
                pace.failed,
            )

    def _poll(self, clients: ClientPool, address: tuple[str, int], wait_s: float) -> None:
        demands = self._tally.take()
        known = self._view.versions
        req = FollowRequest(
            member=to_member_message(self._me),
            known=to_versions_message(known),
            wait_ms=int(wait_s * 1000),
            demands=[
                KeyDemand(service_name=service, key=key, work_ms=work_s * 1000)
                for (service, key), work_s in demands.items()
            ],
            paces=[
                UpstreamPace(
                    upstream_id=pace.upstream_id,
                    taken_ms=pace.elapsed_s * 1000,
                    expected_ms=pace.expected_latency_s * 1000,
                    answered=pace.answered,
                    failed=pace.failed,
                )
                for pace in self._latencies.drain_reports()
            ],
        )
        reply: FollowReply = clients.call(address, "follow", req, wait_s + POLL_SLACK_S)
        self._take(reply, known)

    def _take(self, reply: FollowReply, known: Versions) -> None:
        if reply.configuration is not None:
            self._keeper.take(reply.configuration, "peer")
        versions = reply.versions
        if not versions.term or not self._view.begin_term(versions.term):
            return
        if reply.upstreams is not None or versions.upstreams:
            upstreams = reply.upstreams
            self._view.update_upstreams(
                versions.term,
                versions.upstreams,
                None if upstreams is None else from_upstreams_message(upstreams),
                reply.upstreams_age_ms / 1000,
            )
        if reply.ownership is not None:
            ownership = OwnershipTable(from_ownership_message(reply.ownership))
            self._view.update_ownership(versions.term, versions.ownership, ownership)
        if reply.ownership_changes is not None:
            self._view.apply_ownership_changes(
                versions.term,
                known.ownership,
                versions.ownership,
                from_ownership_message(reply.ownership_changes),
            )
        if reply.members is not None:
            members = tuple(from_member_message(wire) for wire in reply.members)
            self._view.update_members(versions.term, versions.members, members)

    def _read_stored_table(self) -> None:
        """Know the owners of before a restart of everything until a leader tells the newest."""
        try:
            item = self._store.read(TABLE_KEY, TABLE_READ_TIMEOUT_S)
            if item is not None:
                record = decode_table(item.value)
                self._view.update_ownership_from_store(OwnershipTable(record.ranges))
        except FoxtailshuntError as exc:
            log_state_change("table.not_read", error=str(exc))

    def _run_reader(self) -> None:
        self._read_stored_table()
        wait_s = 0.0
        while not self._stopping.wait(wait_s):
            wait_s = OWN_READ_INTERVAL_S
            age_s = self._view.upstreams_age_s()
            if age_s is not None and age_s < READ_FOR_ITSELF_S:
                continue
            if self._leadership.term is not None:
                continue
            started = self._now()
            try:
                upstreams = self._reader.poll()
            except StoreError as exc:
                wait_s = STORE_RETRY_S
                if not self._store_is_lost:
                    log_state_change("store.lost", part="reader", error=str(exc))
                self._store_is_lost = True
                continue
            except Exception as exc:
                log_thread_error("reader", exc)
                continue
            if self._store_is_lost:
                log_state_change("store.regained", part="reader")
                self._store_is_lost = False
            self._view.update_upstreams_from_store(upstreams, started)

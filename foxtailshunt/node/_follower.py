"""Follower: polls the leader for fleet state and reports demand and latencies to it.

While the leader does not answer, the follower polls other nodes and reads the upstreams from the
store itself.
"""

import threading
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

from foxtailshunt.assigning import (
    TABLE_KEY,
    CapacityEstimator,
    DemandTracker,
    Leader,
    Leadership,
    MeanWork,
    UpstreamReader,
    decode_table,
)
from foxtailshunt.errors import FoxtailshuntError, PeerUnreachableError
from foxtailshunt.fleet import (
    FleetView,
    Member,
    OwnershipTable,
    StoreCallSpacing,
    Versions,
    era_of,
)
from foxtailshunt.network import Address
from foxtailshunt.node._configuration_watch import ConfigurationApplier
from foxtailshunt.node._follow_reply import apply_reply
from foxtailshunt.node._messages import (
    to_member_message,
    to_pace_message,
    to_versions_message,
)
from foxtailshunt.node._table_copies import statement_to_leader
from foxtailshunt.platform import StoreClient, StoreError
from foxtailshunt.protocol import (
    ClientPool,
    FollowReply,
    FollowRequest,
    KeyDemand,
)
from foxtailshunt.protocol.gen import Peer
from foxtailshunt.telemetry import log_state_change, log_thread_error
from foxtailshunt.upstreams import LatencyEstimator

#: Time that the leader may wait for a change in one poll, in seconds; also the interval between
#: reports.
POLL_WAIT_S = 0.5
#: Time beyond the wait of a poll after which the leader is considered unreachable, in seconds.
POLL_TIMEOUT_MARGIN_S = 0.4
#: Delay after a failed poll, or a first failed call to the store, in seconds.
RETRY_DELAY_S = 0.15
#: Age from which the list of upstreams is stale and read from the store, in seconds.
STALE_UPSTREAMS_AGE_S = 1.25
#: Timeout of the read of the stored ownership table at startup, in seconds.
TABLE_READ_TIMEOUT_S = 0.8
#: Delay after further failed calls to the store in a small fleet, in seconds; each call is billed.
STORE_RETRY_DELAY_S = 0.9
#: Idle time after which a connection to a node that is no longer polled is closed, in seconds.
MAX_IDLE_S = 2.0
#: Time without an answer of the leader after which the response to the watch of its key may have
#: been lost, in seconds: its lease has expired by then if it is gone. Also the least interval
#: between two renewals of the watches.
LEADER_SILENCE_S = 1.5
#: Interval between checks of the age of the list of upstreams, in seconds.
AGE_CHECK_INTERVAL_S = 0.5


class DemandCollector:
    """Collects the demand of requests between two reports; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._demand_s: dict[tuple[str, int], float] = defaultdict(float)

    def add(self, service: str, key: int, demand_s: float) -> None:
        """Add the demand of a request.

        :param service: name of the service.
        :param key: key of the request.
        :param demand_s: expected latency of the request at an upstream, in seconds.
        """
        with self._lock:
            self._demand_s[(service, key)] += demand_s

    def pop_all(self) -> dict[tuple[str, int], float]:
        """Return the demand collected by service and key, in seconds, and reset it."""
        with self._lock:
            demand_s, self._demand_s = self._demand_s, defaultdict(float)
        return demand_s


class Follower:
    """Keeps a node's view of the fleet up to date, in threads of its own.

    :param local_member: this node.
    :param view: the node's view of the fleet.
    :param leadership: state of the leader election.
    :param configuration_applier: applies configurations received from other nodes.
    :param store: the store, read while the leader is unreachable.
    :param demand_collector: collects the demand of this node's requests.
    :param latencies: latencies of upstreams, as measured by this node.
    :param demand_tracker: records this node's own demand while it is the leader.
    :param capacity_estimator: records this node's own latency reports while it is the leader.
    :param now: returns seconds of a clock that includes time spent suspended.
    :param call_spacing: spaces the calls to the store by the size of the fleet.
    :param seeds: addresses of nodes to poll while neither a leader nor any member is known.
    :param mean_work: records the work of this node's own requests while it is the leader.
    """

    def __init__(
        self,
        local_member: Member,
        view: FleetView,
        leadership: Leadership,
        configuration_applier: ConfigurationApplier,
        store: StoreClient,
        demand_collector: DemandCollector,
        latencies: LatencyEstimator,
        demand_tracker: DemandTracker,
        capacity_estimator: CapacityEstimator,
        now: Callable[[], float],
        call_spacing: StoreCallSpacing,
        seeds: tuple[Address, ...],
        mean_work: MeanWork | None = None,
    ) -> None:
        self._mean_work = mean_work or MeanWork()
        self._seeds = seeds
        self._call_spacing = call_spacing
        self._me = local_member
        self._view = view
        self._leadership = leadership
        self._configuration_applier = configuration_applier
        self._demand_collector = demand_collector
        self._latencies = latencies
        self._demand_tracker = demand_tracker
        self._capacity_estimator = capacity_estimator
        self._now = now
        self._store = store
        self._reader = UpstreamReader(store, now, view)
        self._clients = ClientPool(Peer, 1)
        self._stopping = threading.Event()
        #: Address of a node that knows later versions than this one; None if there is none.
        self._ahead: Address | None = None
        self._is_behind = threading.Event()
        #: When the polls of the leader began to fail, in seconds of the clock; None if they don't.
        self._leader_silent_since: float | None = None
        self._watches_renewed_at = float("-inf")
        self._failed_polls = 0
        self._newer_term_checks = 0
        self._store_is_lost = False
        self._follow_thread = threading.Thread(target=self._run, name="follower", daemon=True)
        self._read_thread = threading.Thread(
            target=self._run_store_reader, name="reader", daemon=True
        )

    def start(self) -> None:
        """Start the threads."""
        self._follow_thread.start()
        self._read_thread.start()

    def announce_leaving(self) -> None:
        """Tell the leader that this node is leaving and relays no more requests of other nodes."""
        self._me = replace(self._me, leaving=True)
        leader = self._leadership.leader
        if leader is None or leader.instance_id == self._me.instance_id:
            return
        try:
            self._poll(ClientPool(Peer, 0), leader.address, 0.0)
        except PeerUnreachableError as exc:
            log_state_change("leaving.not_announced", error=exc.message)

    def catch_up(self, address: Address) -> None:
        """Ask another node for later versions of what is in the store, without blocking.

        :param address: address of the node.
        """
        self._ahead = address
        self._is_behind.set()

    def close_idle_connections(self) -> None:
        """Close the connections to nodes that are no longer polled."""
        self._clients.close_idle(MAX_IDLE_S)

    def stop(self) -> None:
        """Request the threads to stop."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._follow_once()
            except Exception as exc:
                log_thread_error("follower", exc)
                self._stopping.wait(RETRY_DELAY_S)

    def _follow_once(self) -> None:
        if self._leadership.term is not None:
            self._record_own_report()
            if self._is_behind.wait(POLL_WAIT_S):
                self._ask_node_ahead()
            if self._leadership.is_unconfirmed:
                self._check_for_newer_term()
            return
        leader, address = self._leadership.leader, self._next_address()
        if address is None:
            self._stopping.wait(RETRY_DELAY_S)
            return
        try:
            self._poll(self._clients, address, POLL_WAIT_S)
            self._failed_polls = 0
            self._check_leaders_key(leader, address, True)
        except PeerUnreachableError as exc:
            if self._failed_polls == 0:
                log_state_change("leader.silent", address=address, error=exc.message)
            self._failed_polls += 1
            self._check_leaders_key(leader, address, False)
            self._stopping.wait(RETRY_DELAY_S)

    def _ask_node_ahead(self) -> None:
        self._is_behind.clear()
        if self._ahead is None:
            return
        log_state_change("store.behind", address=self._ahead)
        try:
            self._poll(self._clients, self._ahead, 0.0)
        except PeerUnreachableError as exc:
            # A follower states its versions with each poll, so one of them is asked again.
            log_state_change("store.behind", address=self._ahead, error=exc.message)
        self._stopping.wait(RETRY_DELAY_S)

    def _check_leaders_key(
        self, leader: Leader | None, address: Address, has_answered: bool
    ) -> None:
        """Renew the watches of the store if the watch of the leader's key should have ended.

        :param leader: the leader as this node knew it before a poll.
        :param address: address of the node that was polled.
        :param has_answered: whether it has answered.
        """
        now = self._now()
        if leader is None or (has_answered and address == leader.address):
            self._leader_silent_since = None
        elif not has_answered and self._leader_silent_since is None:
            self._leader_silent_since = now
        since = self._leader_silent_since
        is_silent = since is not None and now - since >= LEADER_SILENCE_S
        is_replaced = leader is not None and self._view.versions.term > leader.term
        if (is_silent or is_replaced) and now - self._watches_renewed_at >= LEADER_SILENCE_S:
            self._watches_renewed_at = now
            log_state_change("store.watches_renewed", silent=is_silent, replaced=is_replaced)
            self._store.renew_watches()

    def _check_for_newer_term(self) -> None:
        """Ask another node for a newer term, since the store does not confirm the lease.

        If there is a newer term, another node leads and this one steps down.
        """
        others = self._other_addresses()
        if not others:
            return
        self._newer_term_checks += 1
        try:
            self._poll(self._clients, others[self._newer_term_checks % len(others)], 0.0)
        except PeerUnreachableError:
            # The next call asks the next node.
            return
        term = self._leadership.term
        if term is not None and self._view.versions.term > term:
            self._leadership.step_down("another node reports a newer term")

    def _other_addresses(self) -> list[tuple[str, int]]:
        return [
            member.address
            for member in self._view.members
            if member.instance_id != self._me.instance_id
        ]

    def _next_address(self) -> tuple[str, int] | None:
        """Return the address to poll; alternates between leader and other nodes after failures."""
        leader = self._leadership.leader
        others = self._other_addresses()
        if leader is not None and self._failed_polls % 2 == 0:
            return leader.address
        others = others or list(self._seeds)
        if others:
            return others[(self._failed_polls // 2) % len(others)]
        return leader.address if leader is not None else None

    def _record_own_report(self) -> None:
        now = self._now()
        for (service, key), demand_s in self._demand_collector.pop_all().items():
            self._demand_tracker.observe(service, key, demand_s, now)
        self._capacity_estimator.record_poll(now)
        for report in self._latencies.drain_reports():
            upstream = self._view.upstreams.get(report.upstream_id)
            if upstream is not None:
                self._mean_work.observe(
                    upstream.service, report.expected_latency_s, report.answered
                )
            self._capacity_estimator.observe(report, self._me.zone, now)

    def _poll(self, clients: ClientPool, address: tuple[str, int], wait_s: float) -> None:
        demands = self._demand_collector.pop_all()
        known = self._view.versions
        req = FollowRequest(
            member=to_member_message(self._me),
            known=to_versions_message(known),
            wait_ms=int(wait_s * 1000),
            demands=[
                KeyDemand(service_name=service, key=key, work_ms=demand_s * 1000)
                for (service, key), demand_s in demands.items()
            ],
            paces=[to_pace_message(report) for report in self._latencies.drain_reports()],
            accepts_upstream_changes=True,
            table_copy=statement_to_leader(self._view, self._leadership, self._store),
        )
        sent_at = self._now()
        reply: FollowReply = clients.call(address, "follow", req, wait_s + POLL_TIMEOUT_MARGIN_S)
        if reply.leads:
            self._view.record_leader_poll(sent_at)
        self._apply_reply(reply, known)

    def _apply_reply(self, reply: FollowReply, known: Versions) -> None:
        self._store.observe_era(era_of(reply.versions.term))
        if reply.configuration is not None:
            self._configuration_applier.apply(reply.configuration, "peer")
        apply_reply(self._view, reply, known)

    def _read_stored_table(self) -> None:
        """Load the stored ownership table, used after a fleet restart until there is a leader."""
        try:
            item = self._store.read(TABLE_KEY, TABLE_READ_TIMEOUT_S)
            if item is not None:
                record = decode_table(item.value)
                self._view.update_ownership_from_store(OwnershipTable(record.ranges))
        except FoxtailshuntError as exc:
            log_state_change("table.not_read", error=str(exc))

    def _run_store_reader(self) -> None:
        self._read_stored_table()
        wait_s = 0.0
        while not self._stopping.wait(wait_s):
            wait_s = AGE_CHECK_INTERVAL_S
            age_s = self._view.upstreams_age_s()
            if age_s is not None and age_s < STALE_UPSTREAMS_AGE_S:
                continue
            if self._leadership.term is not None:
                continue
            started_at = self._now()
            try:
                upstreams = self._reader.poll()
            except StoreError as exc:
                # A single failure is repeated soon: an upstream may have left meanwhile.
                wait_s = RETRY_DELAY_S
                if self._store_is_lost:
                    wait_s = self._call_spacing.delay_s(STORE_RETRY_DELAY_S)
                else:
                    log_state_change("store.lost", part="reader", error=str(exc))
                self._store_is_lost = True
                continue
            except Exception as exc:
                log_thread_error("reader", exc)
                continue
            if self._store_is_lost:
                log_state_change("store.regained", part="reader")
                self._store_is_lost = False
            self._view.update_upstreams_from_store(upstreams, started_at)

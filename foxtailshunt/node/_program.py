"""Wires the components of a node and controls their startup and shutdown."""

import random
import threading
import time
from pathlib import Path
from typing import Any

from foxtailshunt.admission import OverloadPolicy, RetryBudget
from foxtailshunt.assigning import (
    Assigner,
    CapacityEstimator,
    CopyStatements,
    DemandTracker,
    Leadership,
    MeanWork,
    MemberRegistry,
)
from foxtailshunt.callers import CallerInterface, OwnCallerInterface
from foxtailshunt.config import CONFIG_KEY, decode_config_record
from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import FleetSize, FleetView, Member, StoreCallSpacing
from foxtailshunt.front import FrontServer, ReadinessServer, RequestHandler
from foxtailshunt.memory import ConnectionLimits, MemoryAccount, MemoryLimits
from foxtailshunt.node._configuration_watch import (
    ConfigurationApplier,
    ConfigurationFormat,
    ConfigurationWatch,
)
from foxtailshunt.node._dump import describe_node
from foxtailshunt.node._follower import DemandCollector, Follower
from foxtailshunt.node._gauges import GAUGE_INTERVAL_S, GaugeUpdater
from foxtailshunt.node._memory_events import MemoryEvents
from foxtailshunt.node._peer_service import PeerService, refuse_relay
from foxtailshunt.node._settings import InterfaceKind, NodeSettings, load_node_settings
from foxtailshunt.node._table_copies import CopyFetcher
from foxtailshunt.node._warmups import follow_warmups
from foxtailshunt.platform import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    PlatformCallerInterface,
    StoreClient,
    decode_configuration,
    decode_evacuation,
)
from foxtailshunt.protocol import ProtocolServer
from foxtailshunt.protocol.gen import Peer
from foxtailshunt.relay import (
    Forwarder,
    GroupShortage,
    OriginExits,
    Sender,
    StopSchedule,
    UpstreamGroups,
    UpstreamSenders,
)
from foxtailshunt.routing import FrontLimits, Regions
from foxtailshunt.telemetry import (
    Metrics,
    OperatorServer,
    RequestLog,
    log_state_change,
    log_thread_error,
    start_node_logging,
)
from foxtailshunt.timing import MonotonicClock, TimerService
from foxtailshunt.upstreams import LatencyEstimator

#: Time after SIGTERM in which the load balancer still sends new connections, in seconds: it checks
#: readiness every second and removes a node after two failed checks.
BALANCER_DELAY_S = 2.6
#: Delay before a stopping leader retries to resign, in seconds; each call is billed.
RESIGN_RETRY_DELAY_S = 0.7
#: Maximum duration of one attempt to resign, in seconds: 0.5 to connect, 0.8 for the response.
MAX_RESIGN_S = 1.3
#: Part of the grace period reserved for the exit of the process, in seconds.
EXIT_RESERVE_S = 0.5
#: Interval between observations of the number of nodes, in seconds.
FLEET_SIZE_INTERVAL_S = 0.5
#: Interval between log lines that report suppressed lines, in seconds.
SUPPRESSED_LINES_INTERVAL_S = 1.0
#: Interval between log lines that count the decisions of admission control, in seconds.
DECISIONS_INTERVAL_S = 1.0
#: Interval between log lines that count the transfers without memory, in seconds.
MEMORY_EVENTS_INTERVAL_S = 1.0
#: Interval between checks whether this node has become leader, in seconds.
LEADERSHIP_CHECK_INTERVAL_S = 0.5
#: Interval between checks for idle connections to other nodes, in seconds.
IDLE_CHECK_INTERVAL_S = 0.5
#: Stack size of a thread, in bytes; the deepest call chains use a tenth of it.
THREAD_STACK_BYTES = 512 * 1024
_DRAIN_POLL_INTERVAL_S = 0.02


class NodeProgram:
    """All components of a node in one process.

    :param settings: the node's settings.
    :param boot_id: id of this run of the process.
    :raises FoxtailshuntError: with ``ADDRESS_IN_USE`` if an address cannot be bound.
    """

    def __init__(self, settings: NodeSettings, boot_id: str) -> None:
        threading.stack_size(THREAD_STACK_BYTES)
        self._settings = settings
        now = MonotonicClock().now
        peer_address = (settings.host, settings.peer_port)
        operator_address = (settings.host, settings.operator_port)
        local_member = Member(
            settings.instance_id,
            boot_id,
            settings.zone,
            peer_address,
            operator_address=operator_address,
        )
        fmt, callers = _select_interface(settings.interface)
        self._log_writer = start_node_logging(settings.instance_id, boot_id)
        self._metrics = Metrics()
        log = RequestLog()
        self._view = FleetView(now, settings.heartbeat)
        self._store = StoreClient(settings.store, self._count_store_call, self._view.entry_lapses)
        latencies = LatencyEstimator()
        demand_collector = DemandCollector()
        demand_tracker = DemandTracker()
        capacity_estimator = CapacityEstimator()
        mean_work = MeanWork()
        members = MemberRegistry()
        statements = CopyStatements()
        call_spacing = StoreCallSpacing(self._view, random.Random())
        self._leadership = Leadership(
            local_member,
            self._store,
            now,
            settings.cpu_share * settings.cpu_speed,
            call_spacing,
        )
        self._assigner = Assigner(
            local_member,
            self._leadership,
            self._store,
            self._view,
            demand_tracker,
            capacity_estimator,
            mean_work,
            members,
            statements,
            CopyFetcher(local_member, self._view).fetch,
            now,
            self._metrics,
        )
        groups = UpstreamGroups(self._view)
        senders = UpstreamSenders(
            self._view, groups, local_member, lambda: self._leadership.term is not None
        )
        regions = Regions(settings.zone, settings.region, settings.zone_regions)
        self._stop_schedule = StopSchedule()
        origin_exits = OriginExits()
        self._sender = Sender(
            self._view,
            groups,
            latencies,
            local_member,
            self._metrics,
            log,
            self._stop_schedule,
            origin_exits=origin_exits,
            warmups=follow_warmups(self._view, senders, settings),
            overload_policy=settings.effective_overload_policy,
        )
        by_cost = settings.effective_overload_policy is OverloadPolicy.BY_COST
        self._forwarder = Forwarder(
            local_member,
            self._view,
            groups,
            self._sender,
            self._metrics,
            self._stop_schedule,
            senders,
            regions,
            GroupShortage() if by_cost else None,
        )
        fleet_size = FleetSize(self._view, now)
        budget = RetryBudget(
            settings.repeat_ratio, settings.repeat_reserve, fleet_size.nodes, time.monotonic
        )
        handler = RequestHandler(
            callers,
            self._view,
            self._forwarder.execute,
            latencies,
            budget,
            demand_collector.add,
            self._metrics,
            log,
            self._stop_schedule,
            regions,
        )
        self._peer_service = PeerService(
            self._view,
            self._sender,
            origin_exits,
            self._leadership,
            members,
            demand_tracker,
            capacity_estimator,
            now,
            mean_work,
            statements,
            lambda address: self._follower.catch_up(address),
        )
        memory_events = MemoryEvents(self._metrics)
        memory = MemoryAccount(MemoryLimits.for_memory(settings.memory_mb), memory_events.record)
        self._peer_server = ProtocolServer(
            Peer,
            self._peer_service,
            (settings.host, settings.peer_listen_port or settings.peer_port),
            self._count_bad_frame,
            memory,
            {"relay": refuse_relay},
        )
        configuration_applier = ConfigurationApplier(fmt, self._view)
        self._follower = Follower(
            local_member,
            self._view,
            self._leadership,
            configuration_applier,
            self._store,
            demand_collector,
            latencies,
            demand_tracker,
            capacity_estimator,
            now,
            call_spacing,
            settings.peers,
            mean_work,
        )
        self._configuration = ConfigurationWatch(
            self._store,
            configuration_applier,
            call_spacing,
            lambda: self._leadership.term is not None,
        )
        self._front = FrontServer(
            settings.callers,
            handler,
            self._limits,
            self._metrics,
            memory,
            ConnectionLimits.for_instance(settings.max_fds, settings.memory_mb),
        )
        self._readiness = ReadinessServer(settings.readiness, self._is_ready)
        self._operator = OperatorServer(
            operator_address,
            self._metrics,
            self._dump,
            self._is_ready,
            lambda: self._view.document,
        )
        self._timers = TimerService(MonotonicClock(), lambda exc: log_thread_error("timer", exc))
        self._timers.subscribe(SUPPRESSED_LINES_INTERVAL_S, log.log_suppressed)
        self._timers.subscribe(DECISIONS_INTERVAL_S, self._sender.log_decisions)
        self._timers.subscribe(MEMORY_EVENTS_INTERVAL_S, lambda: memory_events.log(memory.reserved))
        gauges = GaugeUpdater(self._metrics, self._view, self._sender, self._leadership, budget)
        self._timers.subscribe(GAUGE_INTERVAL_S, gauges.update)
        self._timers.subscribe(FLEET_SIZE_INTERVAL_S, fleet_size.observe)
        self._timers.subscribe(LEADERSHIP_CHECK_INTERVAL_S, self._configuration.check_leadership)
        for part in (self._forwarder, self._follower):
            self._timers.subscribe(IDLE_CHECK_INTERVAL_S, part.close_idle_connections)
        self._is_stopping = False

    def start(self) -> None:
        """Start all components."""
        self._timers.start()
        self._configuration.start()
        self._leadership.start()
        self._peer_server.start()
        self._assigner.start()
        self._follower.start()
        self._front.start_serving()
        self._readiness.start()
        self._operator.start()
        log_state_change(
            "node.started",
            zone=self._settings.zone,
            overload_policy=self._settings.effective_overload_policy.value,
        )

    def stop(self) -> None:
        """Shut down gracefully: refuse new work and wait for requests in progress.

        Returns when the process may exit, at the latest shortly before the grace period ends.
        """
        started_at = time.monotonic()
        deadline = started_at + self._settings.grace - EXIT_RESERVE_S
        self._is_stopping = True
        self._stop_schedule.begin(deadline)
        log_state_change("node.stopping", open_requests=self._sender.load())
        is_idle = threading.Event()
        end_thread = threading.Thread(
            target=self._forwarder.end_forwarded, args=(deadline, is_idle), name="end forwarded"
        )
        end_thread.start()
        self._peer_service.stop_relaying()
        self._follower.announce_leaving()
        self._front.drain()
        resign_thread = threading.Thread(target=self._resign, args=(deadline,), name="resigning")
        resign_thread.start()
        time.sleep(max(0.0, started_at + BALANCER_DELAY_S - time.monotonic()))
        self._front.stop_accepting()
        connections_left = self._front.wait_until_idle(deadline)
        while self._sender.load() != (0, 0) and time.monotonic() < deadline:
            time.sleep(_DRAIN_POLL_INTERVAL_S)
        is_idle.set()
        end_thread.join()
        resign_thread.join()
        self._follower.stop()
        self._configuration.stop()
        self._timers.stop()
        log_state_change("node.stopped", connections_left=connections_left)
        self._log_writer.flush()

    def _resign(self, deadline: float) -> None:
        """Resign as leader; keep renewing grants while the store cannot record the resignation."""
        while not self._leadership.resign():
            self._assigner.prepare_to_leave()
            remaining_s = deadline - time.monotonic()
            if remaining_s < RESIGN_RETRY_DELAY_S + MAX_RESIGN_S:
                time.sleep(max(0.0, remaining_s))
                break
            time.sleep(RESIGN_RETRY_DELAY_S)
        self._assigner.stop()

    def reload(self, path: Path) -> None:
        """Read the settings file again and log the names of the settings that changed.

        :param path: the settings file.
        """
        try:
            settings = load_node_settings(path)
        except DocumentError as exc:
            log_state_change("settings.unreadable", error=exc.message)
            return
        previous = self._settings.model_dump()
        changed = [name for name, value in settings.model_dump().items() if value != previous[name]]
        self._settings = settings
        log_state_change("settings.reloaded", changed=changed)

    def _limits(self) -> FrontLimits:
        routes = self._view.routes
        return routes.limits if routes is not None else FrontLimits()

    def _is_ready(self) -> bool:
        has_fleet_state = self._view.routes is not None and self._view.upstreams_read_at is not None
        return has_fleet_state and bool(self._view.ownership.ranges) and not self._is_stopping

    def _count_bad_frame(self) -> None:
        self._metrics.count("foxtailshunt_bad_frames_total", "Malformed frames of other nodes.")

    def _count_store_call(self, call: str, answer: str) -> None:
        self._metrics.count(
            "foxtailshunt_store_calls_total",
            "Calls to the store by their answer's status.",
            {"call": call, "answer": answer},
        )

    def _dump(self) -> dict[str, Any]:
        leads = self._leadership.term is not None
        return describe_node(
            self._settings.instance_id, leads, self._is_stopping, self._view, self._sender.load()
        )


def _select_interface(kind: InterfaceKind) -> tuple[ConfigurationFormat, CallerInterface]:
    """Return the configuration format and the caller interface of an interface kind.

    :param kind: the interface kind.
    """
    if kind is InterfaceKind.OWN:
        return (
            ConfigurationFormat(CONFIG_KEY, CONFIG_KEY, decode_config_record),
            OwnCallerInterface(),
        )
    fmt = ConfigurationFormat(
        OPERATOR_PREFIX, CONFIGURATION_KEY, decode_configuration, decode_evacuation
    )
    return fmt, PlatformCallerInterface()

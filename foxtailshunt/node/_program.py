"""Composes the parts of a node and stops them in order."""

import threading
import time
from pathlib import Path
from typing import Any

from foxtailshunt.assigning import (
    Assigner,
    CapacityEstimator,
    DemandTracker,
    Leadership,
    MemberRegistry,
)
from foxtailshunt.callers import CallerInterface, OwnCallerInterface
from foxtailshunt.config import CONFIG_KEY, decode_config_record
from foxtailshunt.errors import DocumentError
from foxtailshunt.fleet import FleetView, Member
from foxtailshunt.front import FrontServer, ReadinessServer, RequestHandler
from foxtailshunt.node._configuration_watch import (
    ConfigurationApplier,
    ConfigurationFormat,
    ConfigurationWatch,
)
from foxtailshunt.node._dump import describe_node
from foxtailshunt.node._follower import DemandCollector, Follower
from foxtailshunt.node._gauges import GAUGE_INTERVAL_S, GaugeUpdater
from foxtailshunt.node._peer_service import PeerService
from foxtailshunt.node._settings import InterfaceKind, NodeSettings, load_node_settings
from foxtailshunt.platform import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    PlatformCallerInterface,
    StoreClient,
    decode_configuration,
)
from foxtailshunt.protocol import ProtocolServer
from foxtailshunt.protocol.gen import Peer
from foxtailshunt.relay import Forwarder, LatencyEstimator, RetryBudget, Sender
from foxtailshunt.routing import FrontLimits
from foxtailshunt.telemetry import (
    Metrics,
    OperatorServer,
    RequestLog,
    log_state_change,
    log_thread_error,
    start_node_logging,
)
from foxtailshunt.timing import MonotonicClock, TimerService

#: Time after SIGTERM in which the balancer still sends new connections, in seconds: it asks each
#: second and takes two misses.
BALANCER_LAG_S = 2.6
#: Pause before a leaving leader tries again to give the lead up, in seconds; each call is paid for.
RESIGN_RETRY_S = 0.7
#: Longest time that one such try takes, in seconds: 0.5 to connect and 0.8 for the answer.
LONGEST_RESIGN_S = 1.3
#: Part of the grace that is kept for the end of the process, in seconds.
EXIT_RESERVE_S = 0.5
#: Share of the fleet's repeats that are kept unused, since nodes come and go.
REPEAT_CAUTION = 0.7
#: Nodes among which the reserve of repeats is divided while the members are not known.
ASSUMED_NODES = 12
#: How often lines that the log left out are told of, in seconds.
SUPPRESSED_LINES_S = 1.0
#: Stack of a thread, in bytes; the deepest call chains take a tenth of it.
THREAD_STACK_BYTES = 512 * 1024
_POLL_S = 0.02


class NodeProgram:
    """All parts of a node in one process.

    :param settings: the node's settings.
    :param boot_id: id of this incarnation.
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
        fmt, callers = _interface(settings.interface)
        self._log_writer = start_node_logging(settings.instance_id, boot_id)
        self._metrics = Metrics()
        log = RequestLog()
        self._view = FleetView(now)
        self._store = StoreClient(settings.store, self._count_store_call)
        paces = LatencyEstimator()
        demand_collector = DemandCollector()
        demands = DemandTracker()
        capacities = CapacityEstimator()
        members = MemberRegistry()
        self._leadership = Leadership(local_member, self._store, now)
        self._assigner = Assigner(
            local_member,
            self._leadership,
            self._store,
            self._view,
            demands,
            capacities,
            members,
            now,
            self._metrics,
        )
        self._sender = Sender(self._view, paces, settings.zone, self._metrics, log)
        self._forwarder = Forwarder(local_member, self._view, self._sender)
        budget = RetryBudget(
            settings.repeat_ratio * REPEAT_CAUTION,
            max(1.0, settings.repeat_reserve * REPEAT_CAUTION / ASSUMED_NODES),
        )
        handler = RequestHandler(
            callers,
            self._view,
            self._forwarder.execute,
            paces,
            budget,
            demand_collector.observe,
            self._metrics,
            log,
        )
        self._peer_service = PeerService(
            self._view, self._sender, self._leadership, members, demands, capacities, now
        )
        self._peer_server = ProtocolServer(
            Peer,
            self._peer_service,
            (settings.host, settings.peer_listen_port or settings.peer_port),
            self._count_bad_frame,
        )
        configuration_applier = ConfigurationApplier(fmt, self._view)
        self._follower = Follower(
            local_member,
            self._view,
            self._leadership,
            configuration_applier,
            self._store,
            demand_collector,
            paces,
            demands,
            capacities,
            now,
            settings.peers,
        )
        self._configuration = ConfigurationWatch(self._store, configuration_applier)
        self._front = FrontServer(settings.callers, handler, self._limits, self._metrics)
        self._readiness = ReadinessServer(settings.readiness, self._is_ready)
        self._operator = OperatorServer(operator_address, self._metrics, self._dump, self._is_ready)
        self._timers = TimerService(MonotonicClock(), lambda exc: log_thread_error("timer", exc))
        self._timers.subscribe(SUPPRESSED_LINES_S, log.log_suppressed)
        gauges = GaugeUpdater(self._metrics, self._view, self._sender, self._leadership, budget)
        self._timers.subscribe(GAUGE_INTERVAL_S, gauges.update)
        self._is_stopping = False

    def start(self) -> None:
        """Start all parts."""
        self._timers.start()
        self._configuration.start()
        self._leadership.start()
        self._peer_server.start()
        self._assigner.start()
        self._follower.start()
        self._front.start_serving()
        self._readiness.start()
        self._operator.start()
        log_state_change("node.started", zone=self._settings.zone)

    def stop(self) -> None:
        """Leave: no new work, requests in progress end, then the process may end."""
        began = time.monotonic()
        deadline = began + self._settings.grace - EXIT_RESERVE_S
        self._is_stopping = True
        log_state_change("node.stopping", open_requests=self._sender.load())
        self._peer_service.stop_relaying()
        self._follower.announce_leaving()
        self._front.drain()
        resigning = threading.Thread(target=self._resign, args=(deadline,), name="resigning")
        resigning.start()
        time.sleep(max(0.0, began + BALANCER_LAG_S - time.monotonic()))
        self._front.stop_accepting()
        left = self._front.wait_until_idle(deadline)
        while self._sender.load() != (0, 0) and time.monotonic() < deadline:
            time.sleep(_POLL_S)
        resigning.join()
        self._follower.stop()
        self._configuration.stop()
        self._timers.stop()
        log_state_change("node.stopped", requests_left=left)
        self._log_writer.flush()

    def _resign(self, deadline: float) -> None:
        """Give the lead up; renew grants for as long as the store does not take it back."""
        while not self._leadership.resign():
            self._assigner.prepare_to_leave()
            left_s = deadline - time.monotonic()
            if left_s < RESIGN_RETRY_S + LONGEST_RESIGN_S:
                time.sleep(max(0.0, left_s))
                break
            time.sleep(RESIGN_RETRY_S)
        self._assigner.stop()

    def reload(self, path: Path) -> None:
        """Read the settings file again and say what changed.

        :param path: the settings file.
        """
        try:
            settings = load_node_settings(path)
        except DocumentError as exc:
            log_state_change("settings.unreadable", error=exc.message)
            return
        before = self._settings.model_dump()
        changed = [name for name, value in settings.model_dump().items() if value != before[name]]
        self._settings = settings
        log_state_change("settings.reloaded", changed=changed)

    def _limits(self) -> FrontLimits:
        routes = self._view.routes
        return routes.limits if routes is not None else FrontLimits()

    def _is_ready(self) -> bool:
        knows = self._view.routes is not None and self._view.upstreams_read_at is not None
        return knows and bool(self._view.ownership.ranges) and not self._is_stopping

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


def _interface(kind: InterfaceKind) -> tuple[ConfigurationFormat, CallerInterface]:
    """Return how configurations are read and how callers speak.

    :param kind: the interface.
    """
    if kind is InterfaceKind.OWN:
        return (
            ConfigurationFormat(CONFIG_KEY, CONFIG_KEY, decode_config_record),
            OwnCallerInterface(),
        )
    fmt = ConfigurationFormat(OPERATOR_PREFIX, CONFIGURATION_KEY, decode_configuration)
    return fmt, PlatformCallerInterface()

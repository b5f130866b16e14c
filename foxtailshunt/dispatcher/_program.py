"""The dispatcher program: parts, servers, heartbeats and the order of a stop."""

import threading
from typing import Any

from foxtailshunt.config import Settings
from foxtailshunt.dispatch import DispatchService
from foxtailshunt.dispatcher._authority import Authority
from foxtailshunt.dispatcher._handler import DispatcherHandler
from foxtailshunt.membership import SyncAgent, View
from foxtailshunt.protocol import Member, ProtocolServer
from foxtailshunt.protocol.gen import Dispatcher
from foxtailshunt.telemetry import Metrics, OperatorServer, log_state_change
from foxtailshunt.timing import MonotonicClock, TimerService
from foxtailshunt.upstream import UpstreamDirectory

_ROLE = "dispatcher"
#: Longest time for handing over all upstreams, in seconds.
_HANDOVER_LIMIT_S = 10.0
#: Time for which requests that arrive after the handover are still turned away, in seconds.
_TURN_AWAY_S = 0.5
#: Longest wait for requests in progress, in seconds.
_DRAIN_LIMIT_S = 10.0
#: Longest wait for calls whose request has ended, in seconds.
_SERVER_GRACE_S = 2.0
#: Longest further wait for the next senders to ask for the request memory, in seconds.
_MEMORY_WAIT_S = 0.5
_POLL_S = 0.02


class DispatcherProgram:
    """The dispatcher as a process.

    :param settings: the settings file.
    :param boot_id: names this incarnation of the process.
    :raises FoxtailshuntError: with ``ADDRESS_IN_USE`` if an address cannot be bound.
    """

    def __init__(self, settings: Settings, boot_id: str) -> None:
        self._settings = settings
        self._boot_id = boot_id
        self._stopping = False
        self._metrics = Metrics()
        clock = MonotonicClock()
        self._timers = TimerService(clock, self._count_timer_error)
        self._view = View(self._metrics)
        self._upstreams = UpstreamDirectory(self._view, clock)
        self._authority = Authority(
            self._view, settings.zone, settings.instance_id, boot_id, clock, self._metrics
        )
        self._dispatch = DispatchService(
            self._view,
            self._authority.book,
            self._upstreams,
            clock,
            self._metrics,
            self._timers,
            settings.zone,
        )
        self._sync = SyncAgent(
            self._view,
            self._make_member,
            settings.peer_addresses,
            self._authority.reports,
            settings.zone,
            self._metrics,
        )
        self._authority.connect(self._dispatch, self._upstreams, self._sync.wake)
        handler = DispatcherHandler(self._dispatch, self._authority.witness, boot_id)
        self._server = ProtocolServer(
            Dispatcher, handler, settings.dispatcher.listen_address, self._count_bad_frame
        )
        self._operator = OperatorServer(
            settings.dispatcher.operator_address, self._metrics, self._dump, self._is_healthy
        )

    def start(self) -> None:
        """Start all parts."""
        self._timers.start()
        self._authority.start()
        self._server.start()
        self._operator.start()
        self._sync.start()

    def stop(self) -> None:
        """Stop gracefully: hand every upstream over, let requests in progress end."""
        self._stopping = True
        self._sync.wake()
        self._authority.begin_handover()
        self._wait_for_handover()
        self._dispatch.drain(_DRAIN_LIMIT_S)
        threading.Event().wait(_TURN_AWAY_S)
        self._wait_for_memory()
        self._authority.stop()
        self._server.stop(_SERVER_GRACE_S)
        self._sync.stop()
        self._upstreams.close()
        self._timers.stop()
        self._operator.stop()

    def _wait_for_handover(self) -> None:
        waited = threading.Event()
        for _ in range(int(_HANDOVER_LIMIT_S / _POLL_S)):
            if self._authority.holds_nothing():
                return
            waited.wait(_POLL_S)
        log_state_change("dispatcher.handover_cut_short")

    def _wait_for_memory(self) -> None:
        waited = threading.Event()
        for _ in range(int(_MEMORY_WAIT_S / _POLL_S)):
            if self._dispatch.memory_transfer.is_all_taken():
                return
            waited.wait(_POLL_S)

    def _make_member(self) -> Member:
        host, port = self._settings.dispatcher.advertised_address
        return Member(
            instance_id=self._settings.instance_id,
            role=_ROLE,
            zone=self._settings.zone,
            host=host,
            port=port,
            boot_id=self._boot_id,
            stopping=self._stopping,
            cfg_version=self._view.cfg_version,
            operator_address=self._settings.dispatcher.operator,
        )

    def _is_healthy(self) -> bool:
        return not self._stopping and self._view.cfg is not None

    def _dump(self) -> dict[str, Any]:
        fences = self._view.table_fences()
        return {
            "program": _ROLE,
            "instance": self._settings.instance_id,
            "zone": self._settings.zone,
            "boot_id": self._boot_id,
            "stopping": self._stopping,
            "cfg_version": self._view.cfg_version,
            "tables": {zone: [f.term, f.version] for zone, f in sorted(fences.items())},
            "authority": self._authority.dump(),
            "dispatch": self._dispatch.dump(),
        }

    def _count_bad_frame(self) -> None:
        self._metrics.count(
            "foxtailshunt_bad_frames_total", "Malformed or oversized frames of the inner protocol."
        )

    def _count_timer_error(self, exc: Exception) -> None:
        self._metrics.count("foxtailshunt_timer_errors_total", "Errors of timer subscribers.")
        log_state_change("timer.error", error=f"{type(exc).__name__}: {exc}")

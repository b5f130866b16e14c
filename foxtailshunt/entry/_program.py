"""The entry program: parts, operator port and heartbeats."""

from typing import Any

from foxtailshunt.config import Settings
from foxtailshunt.entry._entry import Entry
from foxtailshunt.membership import SyncAgent, View
from foxtailshunt.protocol import Member
from foxtailshunt.telemetry import Metrics, OperatorServer, log_state_change
from foxtailshunt.timing import MonotonicClock, TimerService

_ROLE = "entry"


class EntryProgram:
    """The entry as a process.

    :param settings: the settings file.
    :param boot_id: names this incarnation of the process.
    :raises FoxtailshuntError: with ``ADDRESS_IN_USE`` if an address cannot be bound.
    """

    def __init__(self, settings: Settings, boot_id: str) -> None:
        self._settings = settings
        self._boot_id = boot_id
        self._metrics = Metrics()
        clock = MonotonicClock()
        self._timers = TimerService(clock, self._count_timer_error)
        self._view = View(self._metrics)
        self._entry = Entry(
            settings.entry.listen_address, self._view, clock, self._timers, self._metrics
        )
        self._operator = OperatorServer(
            settings.entry.operator_address,
            self._metrics,
            self._dump,
            lambda: self._entry.is_healthy,
        )
        self._sync = SyncAgent(
            self._view,
            self._make_member,
            settings.peer_addresses,
            list,
            settings.zone,
            self._metrics,
        )

    def start(self) -> None:
        """Start all parts."""
        self._timers.start()
        self._sync.start()
        self._entry.start()
        self._operator.start()

    def stop(self) -> None:
        """Stop gracefully; no request in progress is cut."""
        self._entry.announce_stop()
        self._sync.wake()
        self._entry.stop()
        self._sync.stop()
        self._timers.stop()
        self._operator.stop()

    def _make_member(self) -> Member:
        host, port = self._settings.entry.advertised_address
        return Member(
            instance_id=self._settings.instance_id,
            role=_ROLE,
            zone=self._settings.zone,
            host=host,
            port=port,
            boot_id=self._boot_id,
            stopping=self._entry.is_stopping,
            cfg_version=self._view.cfg_version,
            operator_address=self._settings.entry.operator,
        )

    def _dump(self) -> dict[str, Any]:
        fences = self._view.table_fences()
        return {
            "program": _ROLE,
            "instance": self._settings.instance_id,
            "zone": self._settings.zone,
            "boot_id": self._boot_id,
            "cfg_version": self._view.cfg_version,
            "tables": {zone: [f.term, f.version] for zone, f in sorted(fences.items())},
            "members": len(self._view.members),
            "entry": self._entry.dump(),
        }

    def _count_timer_error(self, exc: Exception) -> None:
        self._metrics.count("foxtailshunt_timer_errors_total", "Errors of timer subscribers.")
        log_state_change("timer.error", error=f"{type(exc).__name__}: {exc}")

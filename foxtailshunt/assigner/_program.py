"""Puts the parts of the assigner program together."""

from typing import Any

from foxtailshunt.assigner._active_term import ZoneParts
from foxtailshunt.assigner._decision_log import DecisionLog
from foxtailshunt.assigner._lease_keeper import LeaseKeeper
from foxtailshunt.assigner._live_dispatchers import LiveDispatchers
from foxtailshunt.assigner._platform_polls import ConfigWatcher, InstancePoll
from foxtailshunt.assigner._refusal_round import PooledRefuseClient
from foxtailshunt.assigner._report_book import ReportBook
from foxtailshunt.assigner._table_store import lease_key
from foxtailshunt.assigner._zone_assigner import ZoneAssigner
from foxtailshunt.config import Settings
from foxtailshunt.kvstore import Platform
from foxtailshunt.membership import (
    ASSIGNER_ROLE,
    AssignerStatus,
    MemberRegistry,
    SyncAgent,
    SyncService,
    View,
)
from foxtailshunt.protocol import Member, ProtocolServer
from foxtailshunt.protocol.gen import Assigner
from foxtailshunt.telemetry import Metrics, OperatorServer
from foxtailshunt.timing import Clock, TimerService

_MEMBER_CHECK_INTERVAL_S = 0.1
_STOP_GRACE_S = 1.0


class AssignerProgram:
    """The assigner of one instance: competes for its zone's lease and relays documents.

    :param settings: the settings of the instance.
    :param boot_id: identifies this incarnation.
    :param platform: the platform.
    :param metrics: the counters.
    :param clock: the clock.
    :raises FoxtailshuntError: an address of the settings is in use.
    """

    def __init__(
        self, settings: Settings, boot_id: str, platform: Platform, metrics: Metrics, clock: Clock
    ) -> None:
        self._settings = settings
        self._boot_id = boot_id
        self._metrics = metrics
        self._clock = clock
        self._stopping = False
        self._started_at = clock.now()
        self._timers = TimerService(clock, self._count_timer_error)
        self.view = View(metrics)
        self._registry = MemberRegistry(clock, metrics)
        self._reports = ReportBook(clock, self._wake)
        self._decisions = DecisionLog(clock)
        self._make_zone_parts(platform)
        self._make_sync_parts()
        self._operator = OperatorServer(
            settings.assigner.operator_address, metrics, self.dump, lambda: True
        )

    def start(self) -> None:
        """Start serving, then compete for the lease."""
        self._server.start()
        self._operator.start()
        self._timers.subscribe(_MEMBER_CHECK_INTERVAL_S, self._check_members)
        self._timers.start()
        self._agent.start()
        self._config_watcher.start()
        self._poll.start()
        self._zone_assigner.start()
        self._lease.start()

    def stop(self) -> None:
        """Give up the lease, so that the next assigner takes over at once, then stop serving."""
        self._stopping = True
        self._agent.wake()
        self._zone_assigner.stop()
        self._lease.stop()
        self._config_watcher.stop()
        self._poll.stop()
        self._sync_service.stop()
        self._server.stop(_STOP_GRACE_S)
        self._agent.stop()
        self._timers.stop()
        self._operator.stop()

    def dump(self) -> dict[str, Any]:
        """Return the state of the process for operators."""
        return {
            "program": ASSIGNER_ROLE,
            "instance": self._settings.instance_id,
            "zone": self._settings.zone,
            "boot_id": self._boot_id,
            "stopping": self._stopping,
            "active": self._lease.held,
            "lease": self._lease.dump(),
            "store_age_s": self._store_age_s(),
            "cfg_version": self.view.cfg_version,
            "tables": {
                zone: [fence.term, fence.version]
                for zone, fence in sorted(self.view.table_fences().items())
            },
            "members_heard_ago_s": self._registry.ages_s(),
            "leaving": sorted(self._poll.leaving),
            "term": self._zone_assigner.dump(),
            "decisions": self._decisions.lines(),
        }

    def _make_zone_parts(self, platform: Platform) -> None:
        settings, clock, zone = self._settings, self._clock, self._settings.zone
        self._lease = LeaseKeeper(
            platform, lease_key(zone), settings.instance_id, clock, self._metrics, self._wake
        )
        self._poll = InstancePoll(
            platform, zone, self.view, lambda: self._lease.held, self._wake, clock
        )
        self._config_watcher = ConfigWatcher(
            platform, self.view, self._is_config_watcher, self._metrics
        )
        parts = ZoneParts(
            zone=zone,
            platform=platform,
            view=self.view,
            registry=self._registry,
            reports=self._reports,
            refuse_client=PooledRefuseClient(),
            lease=self._lease,
            dispatchers=LiveDispatchers(self._registry, zone, clock),
            decisions=self._decisions,
            clock=clock,
            metrics=self._metrics,
        )
        self._zone_assigner = ZoneAssigner(parts, lambda: self._poll.leaving)
        self._registry.subscribe(self._wake)
        self.view.subscribe(self._wake)

    def _make_sync_parts(self) -> None:
        settings, address = self._settings, self._settings.assigner.listen_address
        self._sync_service = SyncService(
            self._member, self.view, self._registry, self._reports.note, self._status, self._clock
        )
        self._server = ProtocolServer(Assigner, self._sync_service, address, self._count_bad_frame)
        self._agent = SyncAgent(
            view=self.view,
            make_member=self._member,
            seeds=settings.peer_addresses,
            make_reports=list,
            zone=settings.zone,
            metrics=self._metrics,
            own_address=settings.assigner.advertised_address,
            clock=self._clock,
            registry=self._registry,
        )

    def _member(self) -> Member:
        host, port = self._settings.assigner.advertised_address
        return Member(
            instance_id=self._settings.instance_id,
            role=ASSIGNER_ROLE,
            zone=self._settings.zone,
            host=host,
            port=port,
            boot_id=self._boot_id,
            stopping=self._stopping,
            cfg_version=self.view.cfg_version,
            operator_address=self._settings.assigner.operator,
        )

    def _status(self) -> AssignerStatus:
        return AssignerStatus(active=self._lease.held, store_age_s=self._store_age_s())

    def _store_age_s(self) -> float:
        seen_at = self._lease.store_seen_at
        return self._clock.now() - (self._started_at if seen_at is None else seen_at)

    def _is_config_watcher(self) -> bool:
        return self._lease.held or self._agent.active_assigner is None

    def _check_members(self) -> None:
        self._registry.note(self._member())
        self._registry.remove_lost()
        self._metrics.set_gauge(
            "foxtailshunt_store_age_seconds",
            "Time since the platform's store last answered this assigner.",
            self._store_age_s(),
        )

    def _wake(self) -> None:
        self._zone_assigner.wake()

    def _count_bad_frame(self) -> None:
        self._metrics.count(
            "foxtailshunt_bad_frames_total", "Malformed or oversized frames from peers."
        )

    def _count_timer_error(self, exc: Exception) -> None:
        self._metrics.count(
            "foxtailshunt_timer_errors_total",
            "Errors in timer callbacks.",
            {"error": type(exc).__name__},
        )

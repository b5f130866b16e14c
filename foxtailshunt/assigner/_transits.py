"""Finds out when what was taken from an upstream has surely been released."""

from dataclasses import dataclass

from foxtailshunt.assigner._plan_input import TransitKey
from foxtailshunt.assigner._refusal_round import RefusalRound, RefuseClient
from foxtailshunt.assigner._report_book import ReportBook
from foxtailshunt.config import Configuration
from foxtailshunt.ownership import ZERO_FENCE, Fence, Table, Transit
from foxtailshunt.ownership._periods import (
    ASSENT_PERIOD_S,
    GRANT_TIMEOUT_S,
    GRANT_TTL_S,
    surely_lapsed_after,
)
from foxtailshunt.protocol import AssentItem, FenceMessage, RefuseRequest
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.timing import Clock

#: Time without a dispatcher's report after which the witnesses are asked to refuse, in seconds.
REPORT_TIMEOUT_S = 1.0

# The longest deadline that the configuration allows.
_MAX_DEADLINE_S = 600.0

_SETTLE_S = surely_lapsed_after(ASSENT_PERIOD_S) + surely_lapsed_after(GRANT_TTL_S)


@dataclass(slots=True)
class _Watched:
    since: float
    refusals: RefusalRound | None = None


class TransitWatch:
    """Follows the transits of one active assigner; used by one thread.

    A transit has ended when the upstream confirmed the release, when a dispatcher that works by
    the new fence says that all older grants have lapsed, or when the witnesses have kept every
    dispatcher from renewing older grants for long enough. The last is for upstreams on which no
    dispatcher reports under the new fence.

    :param zone: the availability zone.
    :param reports: the dispatchers' reports.
    :param client: asks witnesses.
    :param clock: the clock.
    """

    def __init__(self, zone: str, reports: ReportBook, client: RefuseClient, clock: Clock) -> None:
        self._zone = zone
        self._reports = reports
        self._client = client
        self._clock = clock
        self._watched: dict[TransitKey, _Watched] = {}

    def finished(self, table: Table, cfg: Configuration) -> frozenset[TransitKey]:
        """Return the transits of a table that have surely ended.

        :param table: the table in force.
        :param cfg: the configuration in force.
        """
        now = self._clock.now()
        keys = {TransitKey.of(transit) for transit in table.transits}
        self._drop_ended(keys)
        result = set()
        for transit in table.transits:
            key = TransitKey.of(transit)
            watched = self._watched.setdefault(key, _Watched(now))
            if self._is_released(transit) or self._is_refused(watched):
                result.add(key)
            elif watched.refusals is None and self._needs_refusals(transit, watched):
                watched.refusals = self._start_refusals(table, transit, cfg)
        return frozenset(result)

    def stop(self) -> None:
        """Stop asking witnesses."""
        self._drop_ended(set())

    def dump(self) -> list[dict[str, object]]:
        """Return each transit and what it waits for."""
        now = self._clock.now()
        return [
            {
                "upstream": key.upstream_id,
                "fence": [key.fence.term, key.fence.version],
                "age_s": round(now - watched.since, 3),
                "waits_for": (
                    watched.refusals.describe() if watched.refusals else "its dispatcher's report"
                ),
            }
            for key, watched in list(self._watched.items())
        ]

    def _drop_ended(self, keys: set[TransitKey]) -> None:
        for key in list(self._watched):
            if key not in keys:
                watched = self._watched.pop(key)
                if watched.refusals is not None:
                    watched.refusals.stop()

    def _is_released(self, transit: Transit) -> bool:
        reports = self._reports.all_of(transit.upstream_id)
        return any(report.proves_release(transit) for report in reports)

    def _is_refused(self, watched: _Watched) -> bool:
        return watched.refusals is not None and watched.refusals.succeeded()

    def _needs_refusals(self, transit: Transit, watched: _Watched) -> bool:
        now = self._clock.now()
        if now - watched.since < REPORT_TIMEOUT_S:
            return False
        return not any(
            report.fence >= transit.fence and now - report.received_at < REPORT_TIMEOUT_S
            for report in self._reports.all_of(transit.upstream_id)
        )

    def _start_refusals(self, table: Table, transit: Transit, cfg: Configuration) -> RefusalRound:
        settle_s = _SETTLE_S + _extra_settle_s(cfg, transit)
        floor = AssentItem(transit.upstream_id, _message_of(transit.fence))
        refusals = RefusalRound(
            sets=table.witness_sets,
            refs={ref.boot_id: ref for ref in table.dispatchers},
            req=RefuseRequest(self._zone, "", _message_of(ZERO_FENCE), [floor]),
            settle_s=settle_s,
            client=self._client,
            clock=self._clock,
        )
        log_state_change("transit.refusals_started", upstream=transit.upstream_id)
        refusals.start()
        return refusals


def _extra_settle_s(cfg: Configuration, transit: Transit) -> float:
    """Return the further wait for an upstream that does not check fences, in seconds.

    Such an upstream counts a grant from its arrival, which its dispatcher bounds by resetting the
    connection, and works on after the grant's end.
    """
    service = cfg.services.get(transit.service)
    if service is None:
        return _MAX_DEADLINE_S
    by_id = {upstream.upstream_id: upstream for upstream in service.upstreams}
    upstream = by_id.get(transit.upstream_id)
    if upstream is not None and upstream.checks_fences:
        return 0.0
    return GRANT_TIMEOUT_S + max(operation.deadline_s for operation in service.operations)


def _message_of(fence: Fence) -> FenceMessage:
    return FenceMessage(fence.term, fence.version)

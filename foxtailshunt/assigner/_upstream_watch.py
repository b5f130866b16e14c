"""Which upstreams of a zone may be given slots, by the reports of their dispatchers."""

from dataclasses import dataclass
from enum import Enum

from foxtailshunt.assigner._plan_input import UpstreamStates
from foxtailshunt.assigner._report_book import ReportBook
from foxtailshunt.ownership import Table
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.timing import Clock

#: Time without any report after which a new upstream is taken for ready, in seconds.
FIRST_REPORT_TIMEOUT_S = 1.0
#: Time that an upstream is reachable before it takes slots that another serves, in seconds.
SETTLING_S = 2.0


class _Reach(Enum):
    NEW = "new"
    READY = "ready"
    LOST = "lost"


@dataclass(slots=True)
class _Watched:
    reach: _Reach
    since: float


class UpstreamWatch:
    """Follows each upstream of a table; used by one thread.

    :param reports: the dispatchers' reports.
    :param clock: the clock.
    """

    def __init__(self, reports: ReportBook, clock: Clock) -> None:
        self._reports = reports
        self._clock = clock
        self._watched: dict[str, _Watched] = {}

    def update(self, table: Table, leaving: frozenset[str]) -> UpstreamStates:
        """Return the states of a table's upstreams now.

        :param table: the table in force.
        :param leaving: upstreams that the platform lists as leaving.
        """
        now = self._clock.now()
        self._watched = {
            name: self._watched.get(name, _Watched(_Reach.NEW, now)) for name in table.rows
        }
        draining = set(leaving)
        for upstream_id in table.rows:
            report = self._reports.current(upstream_id)
            watched = self._watched[upstream_id]
            if report is not None:
                self._move(upstream_id, _Reach.READY if report.reachable else _Reach.LOST, now)
                if report.draining:
                    draining.add(upstream_id)
            elif watched.reach is _Reach.NEW and now - watched.since >= FIRST_REPORT_TIMEOUT_S:
                self._move(upstream_id, _Reach.READY, now)
        return UpstreamStates(
            new=self._names(_Reach.NEW),
            ready=self._names(_Reach.READY),
            settled=frozenset(
                name
                for name in self._names(_Reach.READY)
                if now - self._watched[name].since >= SETTLING_S
            ),
            lost=self._names(_Reach.LOST),
            draining=frozenset(draining),
        )

    def dump(self) -> dict[str, str]:
        """Return the state of each upstream."""
        return {name: watched.reach.value for name, watched in self._watched.items()}

    def _move(self, upstream_id: str, reach: _Reach, now: float) -> None:
        watched = self._watched[upstream_id]
        if watched.reach is reach:
            return
        if reach is _Reach.LOST or watched.reach is _Reach.LOST:
            log_state_change("upstream.reach", upstream=upstream_id, reach=reach.value)
        self._watched[upstream_id] = _Watched(reach, now)

    def _names(self, reach: _Reach) -> frozenset[str]:
        return frozenset(name for name, watched in self._watched.items() if watched.reach is reach)

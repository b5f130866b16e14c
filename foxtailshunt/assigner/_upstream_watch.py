"""Which upstreams of a zone may be given slots, by the reports of their dispatchers."""

from dataclasses import dataclass
from enum import Enum

from foxtailshunt.assigner._plan_input import UpstreamStates
from foxtailshunt.assigner._report_book import Report, ReportBook
from foxtailshunt.assigner._suspect_dispatchers import SuspectDispatchers
from foxtailshunt.ownership import Table
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.timing import Clock

#: Time without any report after which a new upstream is taken for ready, in seconds.
FIRST_REPORT_TIMEOUT_S = 1.0
#: Time that an upstream is reachable before it takes slots that another serves, in seconds. It
#: doubles with each loss, up to the limit, and starts again after a time without one.
SETTLING_S = 2.0
SETTLING_LIMIT_S = 64.0
LOSS_MEMORY_S = 300.0


class _Reach(Enum):
    NEW = "new"
    READY = "ready"
    LOST = "lost"


@dataclass(slots=True)
class _Watched:
    reach: _Reach
    since: float
    settling_s: float = SETTLING_S
    lost_at: float | None = None


class UpstreamWatch:
    """Follows each upstream of a table; used by one thread.

    :param reports: the dispatchers' reports.
    :param clock: the clock.
    """

    def __init__(self, reports: ReportBook, clock: Clock) -> None:
        self._reports = reports
        self._suspects = SuspectDispatchers(clock)
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
        reports = {name: self._reports.current(name) for name in table.rows}
        heard = {name: report for name, report in reports.items() if report is not None}
        self._suspects.update(heard)
        for upstream_id, watched in self._watched.items():
            self._update_one(upstream_id, watched, heard.get(upstream_id), now)
        asking = {name for name, report in heard.items() if report.draining}
        return UpstreamStates(
            new=self._names(_Reach.NEW),
            ready=self._names(_Reach.READY),
            settled=frozenset(
                name
                for name in self._names(_Reach.READY)
                if now - self._watched[name].since >= self._watched[name].settling_s
            ),
            lost=self._names(_Reach.LOST),
            draining=leaving | asking,
        )

    def unfit_dispatchers(self) -> frozenset[str]:
        """Return the instance ids of dispatchers that seem cut off from their upstreams."""
        return self._suspects.names()

    def dump(self) -> dict[str, str]:
        """Return the state of each upstream."""
        return {name: watched.reach.value for name, watched in self._watched.items()}

    def _update_one(
        self, upstream_id: str, watched: _Watched, report: Report | None, now: float
    ) -> None:
        if report is None:
            if watched.reach is _Reach.NEW and now - watched.since >= FIRST_REPORT_TIMEOUT_S:
                self._move(upstream_id, watched, _Reach.READY, now)
        elif report.reachable:
            self._move(upstream_id, watched, _Reach.READY, now)
        elif not self._suspects.excuses(report):
            self._move(upstream_id, watched, _Reach.LOST, now)

    def _move(self, upstream_id: str, watched: _Watched, reach: _Reach, now: float) -> None:
        if watched.reach is reach:
            return
        if _Reach.LOST in (reach, watched.reach):
            log_state_change("upstream.reach", upstream=upstream_id, reach=reach.value)
        if reach is _Reach.LOST:
            is_repeated = watched.lost_at is not None and now - watched.lost_at < LOSS_MEMORY_S
            doubled_s = min(2 * watched.settling_s, SETTLING_LIMIT_S)
            watched.settling_s = doubled_s if is_repeated else SETTLING_S
            watched.lost_at = now
        watched.reach = reach
        watched.since = now

    def _names(self, reach: _Reach) -> frozenset[str]:
        return frozenset(name for name, watched in self._watched.items() if watched.reach is reach)

"""Weights of upstreams for the number of slots they should own, by measured load."""

import math

from foxtailshunt.assigner._report_book import ReportBook
from foxtailshunt.config import Configuration, Service
from foxtailshunt.ownership import Table
from foxtailshunt.timing import Clock

#: Mean load of a service's upstreams, as a share of one's capacity, from which load counts.
SIGNIFICANT_SHARE = 0.2
#: Relative deviation from the mean load that is left alone.
TOLERATED_DEVIATION = 0.3
#: Time between two adjustments, in seconds.
ADJUST_INTERVAL_S = 10.0
#: Time over which loads are averaged, in seconds.
AVERAGING_S = 10.0
#: Largest factor of one adjustment.
STEP = 1.1
#: Bounds of weights.
MIN_WEIGHT, MAX_WEIGHT = 0.67, 1.5


class LoadWeights:
    """Adjusts weights slowly and only where load is clearly uneven; used by one thread.

    A new active assigner starts from the numbers of slots in the table if load is significant, so
    that a takeover moves nothing, and from equal weights otherwise.

    :param reports: the dispatchers' reports.
    :param clock: the clock.
    """

    def __init__(self, reports: ReportBook, clock: Clock) -> None:
        self._reports = reports
        self._clock = clock
        self._loads: dict[str, float] = {}
        self._weights: dict[str, float] = {}
        self._averaged_at = clock.now()
        self._adjusted_at: dict[str, float] = {}

    def update(self, table: Table, cfg: Configuration, usable: frozenset[str]) -> dict[str, float]:
        """Return the weight of each upstream.

        :param table: the table in force.
        :param cfg: the configuration in force.
        :param usable: upstreams that may own slots.
        """
        self._average(table)
        for service in cfg.services.values():
            names = [
                name
                for name, row in table.rows.items()
                if row.service == service.name and name in usable and name in self._loads
            ]
            if len(names) > 1:
                self._update_service(table, service, names)
        return dict(self._weights)

    def _average(self, table: Table) -> None:
        now = self._clock.now()
        elapsed_s, self._averaged_at = now - self._averaged_at, now
        share = 1 - math.exp(-elapsed_s / AVERAGING_S)
        averaged: dict[str, float] = {}
        for name in table.rows:
            report = self._reports.current(name)
            if report is not None:
                before = self._loads.get(name, report.load)
                averaged[name] = before + share * (report.load - before)
        self._loads = averaged

    def _update_service(self, table: Table, service: Service, names: list[str]) -> None:
        mean = sum(self._loads[name] for name in names) / len(names)
        is_significant = mean >= SIGNIFICANT_SHARE * service.limits.slots
        now = self._clock.now()
        if service.name not in self._adjusted_at:
            self._adjusted_at[service.name] = now
            if is_significant:
                self._start_from_table(table, names)
            return
        if is_significant and now - self._adjusted_at[service.name] >= ADJUST_INTERVAL_S:
            self._adjusted_at[service.name] = now
            for name in names:
                self._adjust(name, self._loads[name] / mean)

    def _start_from_table(self, table: Table, names: list[str]) -> None:
        counts = {name: len(table.rows[name].slots) for name in names}
        mean = sum(counts.values()) / len(counts)
        for name, count in counts.items():
            if MIN_WEIGHT * mean <= count <= MAX_WEIGHT * mean and mean > 0:
                self._weights[name] = count / mean

    def _adjust(self, name: str, ratio: float) -> None:
        if abs(ratio - 1) <= TOLERATED_DEVIATION:
            return
        factor = min(max(1 / ratio if ratio else STEP, 1 / STEP), STEP)
        weight = self._weights.get(name, 1.0) * factor
        self._weights[name] = min(max(weight, MIN_WEIGHT), MAX_WEIGHT)

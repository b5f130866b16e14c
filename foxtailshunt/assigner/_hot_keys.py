"""Decides which hot keys are pinned apart from their slots; a move has to pay for itself."""

from dataclasses import dataclass

from foxtailshunt.assigner._plan_input import PinPlan
from foxtailshunt.assigner._report_book import ReportBook
from foxtailshunt.config import Configuration, Service
from foxtailshunt.ownership import Table, slot_of_key
from foxtailshunt.timing import Clock

#: Share of one upstream's capacity from which a key counts as hot.
HOT_SHARE = 0.2
#: Load of an upstream relative to the service's mean from which its hot keys may move.
OVERLOAD_RATIO = 1.5
#: Least drop of the higher of both upstreams' loads, as a share of one upstream's capacity.
MIN_GAIN_SHARE = 0.15
#: Least time between two moves of one key, in seconds.
MIN_MOVE_INTERVAL_S = 30.0
#: Share of one upstream's capacity below which a pinned key counts as cold.
COLD_SHARE = 0.05
#: Time that a pinned key is cold before it returns to its slot's owner, in seconds.
COLD_FOR_S = 60.0
#: Most pins of one service.
MAX_PINS = 64

_WANTED_FOR_S = 10.0


@dataclass(frozen=True, slots=True)
class _Wish:
    target: str
    since: float


class HotKeyWatch:
    """Follows hot keys by the dispatchers' reports; used by one thread.

    :param reports: the dispatchers' reports.
    :param clock: the clock.
    """

    def __init__(self, reports: ReportBook, clock: Clock) -> None:
        self._reports = reports
        self._clock = clock
        self._wishes: dict[str, _Wish] = {}
        self._moved_at: dict[str, float] = {}
        self._cold_since: dict[str, float] = {}

    def plan(self, table: Table, cfg: Configuration, usable: frozenset[str]) -> PinPlan:
        """Return the keys to pin and the pins to give up.

        :param table: the table in force.
        :param cfg: the configuration in force.
        :param usable: upstreams that may be given keys.
        """
        self._drop_old_wishes(table)
        for service in cfg.services.values():
            self._look_for_move(table, service, usable)
        return PinPlan(
            wanted={key: wish.target for key, wish in self._wishes.items()},
            unpin=self._cold_pins(table, cfg),
        )

    def dump(self) -> dict[str, str]:
        """Return where keys are on their way to, by upstream; keys are not named."""
        return {f"key {number}": wish.target for number, wish in enumerate(self._wishes.values())}

    def _drop_old_wishes(self, table: Table) -> None:
        now = self._clock.now()
        pinned = {key for row in table.rows.values() for key in row.pins}
        self._wishes = {
            key: wish
            for key, wish in self._wishes.items()
            if key not in pinned and now - wish.since < _WANTED_FOR_S
        }
        self._moved_at = {
            key: at for key, at in self._moved_at.items() if now - at < MIN_MOVE_INTERVAL_S
        }

    def _look_for_move(self, table: Table, service: Service, usable: frozenset[str]) -> None:
        """Start at most one move of a service at a time."""
        names = [name for name, row in table.rows.items() if row.service == service.name]
        loads = {name: self._load_of(name) for name in names if name in usable}
        pins = sum(len(table.rows[name].pins) for name in names)
        if len(loads) < 2 or self._is_moving(table, service) or pins >= MAX_PINS:
            return
        busiest = max(loads, key=lambda name: (loads[name], name))
        idlest = min(loads, key=lambda name: (loads[name], name))
        mean = sum(loads.values()) / len(loads)
        if loads[busiest] < OVERLOAD_RATIO * mean:
            return
        key = self._best_key(table, service, loads, busiest, idlest)
        if key is not None:
            now = self._clock.now()
            self._wishes[key] = _Wish(idlest, now)
            self._moved_at[key] = now

    def _best_key(
        self, table: Table, service: Service, loads: dict[str, float], busiest: str, idlest: str
    ) -> str | None:
        """Return the key whose move lowers the higher of both loads most, if that is enough."""
        capacity = service.limits.slots
        best: tuple[float, str] | None = None
        for key, load in self._key_load_of(busiest).items():
            is_movable = key not in self._moved_at and self._owns_by_slot(
                table, service, busiest, key
            )
            if load < HOT_SHARE * capacity or not is_movable:
                continue
            gain = loads[busiest] - max(loads[busiest] - load, loads[idlest] + load)
            if gain >= MIN_GAIN_SHARE * capacity:
                best = max(best, (gain, key)) if best else (gain, key)
        return best[1] if best else None

    def _cold_pins(self, table: Table, cfg: Configuration) -> frozenset[str]:
        now = self._clock.now()
        cold: dict[str, float] = {}
        for row in table.rows.values():
            service = cfg.services.get(row.service)
            if service is None:
                continue
            loads = self._key_load_of(row.upstream_id)
            for key in row.pins:
                if loads.get(key, 0.0) < COLD_SHARE * service.limits.slots:
                    cold[key] = self._cold_since.get(key, now)
        self._cold_since = cold
        return frozenset(key for key, since in cold.items() if now - since >= COLD_FOR_S)

    def _is_moving(self, table: Table, service: Service) -> bool:
        in_transit = any(
            transit.pins for transit in table.transits if transit.service == service.name
        )
        slots_on_way = any(
            transit.slots for transit in table.transits if transit.service == service.name
        )
        return in_transit or slots_on_way or bool(self._wishes)

    def _owns_by_slot(self, table: Table, service: Service, upstream_id: str, key: str) -> bool:
        row = table.rows[upstream_id]
        slot = slot_of_key(key, service.slot_count)
        return slot in row.slots and key not in row.excluded

    def _load_of(self, upstream_id: str) -> float:
        report = self._reports.current(upstream_id)
        return report.load if report else 0.0

    def _key_load_of(self, upstream_id: str) -> dict[str, float]:
        report = self._reports.current(upstream_id)
        return report.key_load if report else {}

"""Reads and writes the placement records for one active assigner."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.assigner._placement import (
    Placement,
    choose_rehomed,
    first_placement,
    placement_from_json,
    placement_key,
    placement_to_json,
)
from foxtailshunt.config import Configuration, Service
from foxtailshunt.errors import (
    DocumentError,
    StoreConflictError,
    StoreUnavailableError,
    StoreUnknownError,
)
from foxtailshunt.kvstore import Platform, write_with_token
from foxtailshunt.ownership import Table, slot_of_key
from foxtailshunt.telemetry import Metrics, log_state_change
from foxtailshunt.timing import Clock

REFRESH_INTERVAL_S = 2.0
_RESOLVE_TIMEOUT_S = 0.5

_NO_SLOTS: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class _Record:
    placement: Placement
    revision: int


class PlacementKeeper:
    """Placements by service; used by one thread.

    Only the zone that a slot is homed in gives it away, once nobody in the zone holds it. Before
    anything is assigned, each record is written anew: a compare-and-swap that an assigner of this
    zone had on its way before then fails.

    :param platform: the platform.
    :param zone: the availability zone.
    :param check_lease: called before each write; raises if the lease is not surely held.
    :param clock: the clock.
    :param metrics: where moves are counted.
    """

    def __init__(
        self,
        platform: Platform,
        zone: str,
        check_lease: Callable[[], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._platform = platform
        self._zone = zone
        self._check_lease = check_lease
        self._clock = clock
        self._metrics = metrics
        self._records: dict[str, _Record] = {}
        self._giving: dict[str, dict[str, frozenset[int]]] = {}
        self._refreshed_at = clock.now()

    def refresh(self, cfg: Configuration) -> None:
        """Read the records from time to time, and those of new services at once.

        :param cfg: the configuration in force.
        :raises StoreUnavailableError: a new service's record could not be read or written.
        :raises StoreUnknownError: a new service's record may have been written.
        """
        for service in cfg.services.values():
            if service.name not in self._records:
                try:
                    self._take_over(cfg, service)
                except StoreConflictError:
                    # Another zone wrote it at the same time; the next step reads it again.
                    self._count_write("conflict")
        if self._clock.now() - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._refreshed_at = self._clock.now()
        for name in cfg.services:
            try:
                self._read_again(name)
            except (StoreUnavailableError, DocumentError):
                return

    def homed(self, cfg: Configuration) -> dict[str, frozenset[int]]:
        """Return the slots of each service that are homed in this zone.

        A service's number of slots never changes; a service that the configuration gives another
        number is left out.

        :param cfg: the configuration in force.
        """
        return {
            name: self._records[name].placement.slots_of(self._zone)
            for name, service in cfg.services.items()
            if self._matches(service)
        }

    def choose(self, cfg: Configuration, able: dict[str, bool]) -> dict[str, frozenset[int]]:
        """Choose the slots of each service to release for other zones.

        :param cfg: the configuration in force.
        :param able: whether any upstream of this zone can serve, by service.
        """
        self._giving = {}
        for name, service in cfg.services.items():
            if not self._matches(service):
                continue
            record = self._records[name]
            chosen = choose_rehomed(record.placement, service, self._zone, able[name])
            if chosen:
                self._giving[name] = chosen
        return {name: _NO_SLOTS.union(*chosen.values()) for name, chosen in self._giving.items()}

    def write(self, cfg: Configuration, able: dict[str, bool], table: Table) -> None:
        """Give away what is surely released, and say whether this zone can serve.

        A write that did not surely fail leaves its record unknown: it is read again before
        anything of the service is assigned.

        :param cfg: the configuration in force.
        :param able: whether any upstream of this zone can serve, by service.
        :param table: the table in the store.
        """
        for name, service in cfg.services.items():
            if not self._matches(service):
                continue
            record = self._records[name]
            released = self._released(service, table)
            is_listed = self._zone not in record.placement.unable
            if released or is_listed != able[name]:
                self._write_change(record, released, able[name])

    def dump(self) -> dict[str, object]:
        """Return the number of slots homed here and of those to be given away."""
        return {
            name: {
                "homed": len(record.placement.slots_of(self._zone)),
                "unable_zones": sorted(record.placement.unable),
                "giving": {zone: len(slots) for zone, slots in self._giving.get(name, {}).items()},
            }
            for name, record in list(self._records.items())
        }

    def _matches(self, service: Service) -> bool:
        record = self._records.get(service.name)
        return record is not None and record.placement.slot_count == service.slot_count

    def _take_over(self, cfg: Configuration, service: Service) -> None:
        found = self._platform.read(placement_key(service.name))
        token = uuid.uuid4().hex
        if found is None:
            placement, revision = first_placement(cfg, service, token), 0
        else:
            placement = placement_from_json(found.value).with_token(token)
            revision = found.revision
        revision = self._write(placement, revision)
        self._records[service.name] = _Record(placement, revision)

    def _read_again(self, name: str) -> None:
        found = self._platform.read(placement_key(name))
        if found is not None:
            self._records[name] = _Record(placement_from_json(found.value), found.revision)

    def _released(self, service: Service, table: Table) -> dict[str, frozenset[int]]:
        held = _held_slots(service, table)
        chosen = self._giving.get(service.name, {})
        released = {zone: slots - held for zone, slots in chosen.items()}
        return {zone: slots for zone, slots in released.items() if slots}

    def _write_change(
        self, record: _Record, released: dict[str, frozenset[int]], is_able: bool
    ) -> None:
        name = record.placement.service
        token = uuid.uuid4().hex
        changed = record.placement.with_moved(released, self._zone, token)
        changed = changed.with_ability(self._zone, is_able, token)
        try:
            revision = self._write(changed, record.revision)
        except StoreConflictError:
            del self._records[name]
            self._count_write("conflict")
            return
        except (StoreUnknownError, StoreUnavailableError):
            del self._records[name]
            self._count_write("unknown")
            return
        self._records[name] = _Record(changed, revision)
        self._count_write("written")
        moved = sum(len(slots) for slots in released.values())
        log_state_change("placement.changed", service=name, slots_given=moved, able=is_able)

    def _write(self, placement: Placement, revision: int) -> int:
        self._check_lease()
        return write_with_token(
            self._platform,
            placement_key(placement.service),
            placement_to_json(placement),
            revision,
            _token_of,
            placement.writer_token,
            self._clock,
            _RESOLVE_TIMEOUT_S,
        )

    def _count_write(self, outcome: str) -> None:
        self._metrics.count(
            "foxtailshunt_placement_writes_total",
            "Writes of placement records.",
            {"outcome": outcome},
        )


def _held_slots(service: Service, table: Table) -> frozenset[int]:
    """Return the slots that someone owns, or may still own, in whole or by a pinned key."""
    held: set[int] = set()
    for holder in (*table.rows.values(), *table.transits):
        if holder.service == service.name:
            held |= holder.slots
            held |= {slot_of_key(key, service.slot_count) for key in holder.pins}
    return frozenset(held)


def _token_of(value: str) -> str | None:
    try:
        return placement_from_json(value).writer_token
    except DocumentError:
        return None

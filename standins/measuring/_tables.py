"""Reads the zones' tables out of the platform's store, as an observer."""

from dataclasses import dataclass

from foxtailshunt.kvstore import HttpPlatform
from foxtailshunt.ownership import Table, table_from_json
from foxtailshunt.telemetry import Metrics
from standins.fleet import Fleet

SlotName = tuple[str, int]


@dataclass(frozen=True, slots=True)
class OwnershipPicture:
    """Who owns what in all zones at one moment."""

    #: Upstream of each service and slot.
    owners: dict[SlotName, str]
    #: Number of transits that are not finished.
    transits: int

    def moved_since(self, earlier: "OwnershipPicture") -> int:
        """Return how many slots have another owner than before.

        :param earlier: the earlier picture.
        """
        return sum(self.owners.get(slot) != owner for slot, owner in earlier.owners.items())

    def slots_of(self, upstream_id: str) -> int:
        """Return how many slots an upstream owns.

        :param upstream_id: the upstream.
        """
        return sum(owner == upstream_id for owner in self.owners.values())

    def imbalance(self, service: str, upstreams: list[str]) -> float:
        """Return the largest number of slots of an upstream over the mean.

        :param service: the service.
        :param upstreams: all upstreams of the service.
        """
        counts = dict.fromkeys(upstreams, 0)
        for (name, _), owner in self.owners.items():
            if name == service:
                counts[owner] += 1
        return max(counts.values()) * len(counts) / sum(counts.values())


class TableReader:
    """Reads tables of a fleet.

    :param fleet: the fleet.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._platform = HttpPlatform((fleet.layout.platform_known,), Metrics())

    def read(self) -> OwnershipPicture:
        """Return who owns what, as the store has it."""
        owners: dict[SlotName, str] = {}
        transits = 0
        for zone in self._fleet.layout.zones:
            table = self._read_table(zone)
            transits += len(table.transits)
            for row in table.rows.values():
                owners.update({(row.service, slot): row.upstream_id for slot in row.slots})
        return OwnershipPicture(owners, transits)

    def read_table(self, zone: str) -> Table:
        """Return the table of a zone.

        :param zone: the availability zone.
        """
        return self._read_table(zone)

    def _read_table(self, zone: str) -> Table:
        record = self._platform.read(f"foxtailshunt/zones/{zone}/cells/0/table")
        if record is None:
            raise LookupError(f"zone {zone} has no table")
        return table_from_json(record.value)

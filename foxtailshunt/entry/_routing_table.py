"""Finds the upstream and the dispatchers of a key."""

import threading
from dataclasses import dataclass

from foxtailshunt.membership import View
from foxtailshunt.ownership import Address, Fence, Table, UpstreamRow


@dataclass(frozen=True, slots=True)
class Route:
    """One upstream that owns a key, with its dispatchers."""

    #: The table's row of the upstream.
    row: UpstreamRow
    #: The zone whose table holds the row.
    zone: str
    #: Instance id and address of each dispatcher of the row that the table knows, in order.
    dispatchers: tuple[tuple[str, Address], ...]

    @property
    def upstream_id(self) -> str:
        """Return the upstream's id."""
        return self.row.upstream_id


class _ZoneIndex:
    """Routes of one zone's table by slot and by pinned key."""

    def __init__(self, table: Table) -> None:
        self.fence: Fence = table.fence
        self._by_slot: dict[tuple[str, int], Route] = {}
        self._by_pin: dict[tuple[str, str], Route] = {}
        addresses = {ref.instance_id: ref.address for ref in table.dispatchers}
        for row in table.rows.values():
            self._add(row, table.zone, addresses)

    def find(self, service: str, slot: int, key: str) -> Route | None:
        route = self._by_pin.get((service, key))
        if route is not None:
            return route
        route = self._by_slot.get((service, slot))
        if route is None or key in route.row.excluded:
            return None
        return route

    def routes(self) -> list[Route]:
        routes = {route.upstream_id: route for route in self._by_slot.values()}
        routes.update({route.upstream_id: route for route in self._by_pin.values()})
        return list(routes.values())

    def _add(self, row: UpstreamRow, zone: str, addresses: dict[str, Address]) -> None:
        dispatchers = tuple(
            (instance, addresses[instance]) for instance in row.dispatchers if instance in addresses
        )
        route = Route(row, zone, dispatchers)
        for slot in row.slots:
            self._by_slot[(row.service, slot)] = route
        for pin in row.pins:
            self._by_pin[(row.service, pin)] = route


class RoutingTable:
    """Routes of all zones; follows the view's changes.

    The index of a zone is built anew when its table changes, on the thread that brought the
    change; requests read the index without a lock.

    :param view: where the tables come from.
    """

    def __init__(self, view: View) -> None:
        self._view = view
        self._lock = threading.Lock()
        self._zones: dict[str, _ZoneIndex] = {}
        self._update()
        view.subscribe(self._update)

    def find(self, service: str, slot: int, key: str) -> tuple[Route, ...]:
        """Return the routes of a key; more than one only while zones' tables are not in step.

        :param service: the service's name.
        :param slot: the key's slot.
        :param key: the key.
        """
        found = (zone.find(service, slot, key) for zone in self._zones.values())
        return tuple(route for route in found if route is not None)

    def all_routes(self) -> list[Route]:
        """Return the routes of all upstreams that own anything."""
        return [route for zone in self._zones.values() for route in zone.routes()]

    def _update(self) -> None:
        with self._lock:
            zones = dict(self._zones)
            for table in self._view.tables():
                known = zones.get(table.zone)
                if known is None or known.fence < table.fence:
                    zones[table.zone] = _ZoneIndex(table)
            self._zones = zones

"""Steps for two availability zones that share a service."""

import json

from assigner_support import make_cfg_document, make_member, random_address, wait_until
from assigner_support._assigner_node import FakeDispatcher, start_assigner
from assigner_support._memory_platform import MemoryPlatform
from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigner import CONFIG_KEY, AssignerProgram, placement_key, table_key
from foxtailshunt.ownership import Table, table_from_json
from foxtailshunt.timing import MonotonicClock

_ZONES = ("wanaka", "twizel")


class TwoZonesSubject:
    """One assigner and one dispatcher in each of two zones, and a check of each table written."""

    def __init__(self, context: Context, slots: int) -> None:
        self._slots = slots
        self.platform = MemoryPlatform(MonotonicClock())
        self.platform.after_write = self._check_write
        self.faults: list[str] = []
        self.checked = 0
        self.tables: dict[str, Table] = {}
        self.assigners: dict[str, AssignerProgram] = {}
        self.dispatchers: dict[str, FakeDispatcher] = {}
        self._revision = 0
        addresses = {zone: random_address() for zone in _ZONES}
        for zone, address in addresses.items():
            seeds = tuple(addresses.values())
            program = start_assigner(f"a-{zone}", zone, address, seeds, self.platform)
            context.add_cleanup(program.stop)
            self.assigners[zone] = program
            member = make_member(f"d-{zone}", "dispatcher", zone)
            dispatcher = FakeDispatcher(member, (address,))
            dispatcher.start()
            context.add_cleanup(dispatcher.stop)
            self.dispatchers[zone] = dispatcher

    def configure(self, version: int, upstreams: dict[str, str]) -> None:
        document = make_cfg_document(upstreams, self._slots, zones=_ZONES)
        record = json.dumps({"version": version, "token": "t", "document": document})
        self._revision = self.platform.compare_and_swap(CONFIG_KEY, record, self._revision)

    def owned(self) -> dict[str, int]:
        return {
            name: len(row.slots)
            for table in self.tables.values()
            for name, row in table.rows.items()
        }

    def _check_write(self, key: str, value: str) -> None:
        zones = [zone for zone in _ZONES if key == table_key(zone)]
        if not zones:
            return
        self.tables = {**self.tables, zones[0]: table_from_json(value)}
        self.checked += 1
        seen: set[int] = set()
        for table in self.tables.values():
            for holder in (*table.rows.values(), *table.transits):
                if seen & holder.slots:
                    self.faults.append(f"{holder.upstream_id} at {table.fence}")
                seen |= holder.slots


@given("zones wanaka and twizel share a service of {slots:d} slots")
def start_zones(context: Context, slots: int) -> None:
    context.zones = TwoZonesSubject(context, slots)


@when("their configuration {version:d} has upstreams {text}")
def configure(context: Context, version: int, text: str) -> None:
    upstreams: dict[str, str] = {}
    for part in text.split(", "):
        names, _, zone = part.partition(" in ")
        upstreams |= dict.fromkeys(names.split(), zone)
    context.zones.configure(version, upstreams)


@when("the zones' upstream {name} is lost")
def lose(context: Context, name: str) -> None:
    for dispatcher in context.zones.dispatchers.values():
        dispatcher.unreachable.add(name)


@when("the zones' upstream {name} is back")
def bring_back(context: Context, name: str) -> None:
    for dispatcher in context.zones.dispatchers.values():
        dispatcher.unreachable.discard(name)


@when("twizel's assigner pauses right before it gives slots away until it has taken over again")
def pause(context: Context) -> None:
    zones = context.zones
    zones.refused = []

    def before_cas(key: str) -> None:
        if key != placement_key("desk") or zones.refused:
            return
        zones.refused.append(key)
        # The record is written by the next term first, as a takeover does.
        record = zones.platform.read(key)
        zones.platform.compare_and_swap(key, record.value, record.revision)

    zones.platform.before_cas = before_cas
    zones.configure(2, {"w0": "wanaka"})


@then('the zones\' upstreams own "{text}" slots')
def check_owned(context: Context, text: str) -> None:
    pairs = (part.split("=") for part in text.split())
    expected = {name: int(count) for name, count in pairs}
    wait_until(lambda: context.zones.owned() == expected)


@then("the paused write of the placement was refused")
def check_refused(context: Context) -> None:
    metrics = context.zones.assigners["twizel"]._metrics
    name = "foxtailshunt_placement_writes_total"
    assert metrics.counter_value(name, {"outcome": "conflict"}) == 1


@then("no slot ever had two owners")
def check_owners(context: Context) -> None:
    assert context.zones.checked > 0
    assert context.zones.faults == [], context.zones.faults

"""One assigner program on real sockets, and a zone's dispatchers that report as told."""

import json
from collections.abc import Callable

from assigner_support._memory_platform import MemoryPlatform
from foxtailshunt.assigner import AssignerProgram
from foxtailshunt.config import Settings
from foxtailshunt.membership import SyncAgent, View
from foxtailshunt.ownership import Address, Fence, Table
from foxtailshunt.protocol import FenceMessage, Member, UpstreamReport
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import MonotonicClock


def start_assigner(
    name: str, zone: str, address: Address, peers: tuple[Address, ...], platform: MemoryPlatform
) -> AssignerProgram:
    """Start one assigner program on an in-memory platform."""
    host, port = address
    addresses = [f"{host}:{port + offset}" for offset in range(6)]
    keys = ("assigner", "entry", "dispatcher")
    programs = {
        key: {"listen": addresses[2 * place], "operator": addresses[2 * place + 1]}
        for place, key in enumerate(keys)
    }
    document = {
        "instance_id": name,
        "zone": zone,
        **programs,
        "platform": ["127.0.0.1:1"],
        "peers": [f"{host}:{port}" for host, port in peers],
    }
    settings = Settings.model_validate_json(json.dumps(document))
    program = AssignerProgram(settings, f"boot-{name}", platform, Metrics(), MonotonicClock())
    program.start()
    return program


class FakeDispatcher:
    """Heartbeats as a dispatcher and reports on the upstreams that list it first."""

    def __init__(self, member: Member, seeds: tuple[Address, ...]) -> None:
        self.member = member
        self.view = View(Metrics())
        #: Upstreams that it does not reach.
        self.unreachable: set[str] = set()
        #: Upstreams whose grants under older fences it has not seen lapse or released.
        self.held_back: set[str] = set()
        self.agent = SyncAgent(
            self.view, lambda: self.member, seeds, self._reports, member.zone, Metrics()
        )
        self.view.subscribe(self.agent.wake)

    def start(self) -> None:
        self.agent.start()

    def stop(self) -> None:
        self.agent.stop()

    def _reports(self) -> list[UpstreamReport]:
        table = self.view.table(self.member.zone)
        rows = table.rows.values() if table else ()
        return [
            self._report(row.upstream_id, row.fence)
            for row in rows
            if row.dispatchers and row.dispatchers[0] == self.member.instance_id
        ]

    def _report(self, upstream_id: str, fence: Fence) -> UpstreamReport:
        message = FenceMessage(fence.term, fence.version)
        is_held_back = upstream_id in self.held_back
        is_reached = upstream_id not in self.unreachable
        return UpstreamReport(
            upstream_id=upstream_id,
            confirmed_fence=message if is_reached and not is_held_back else None,
            lapsed=not is_held_back,
            fence=message,
            reachable=is_reached,
            draining=False,
            load=0.0,
            key_load={},
            in_flight=0,
            queued=0,
        )


def slots_by_upstream(table: Table) -> dict[str, int]:
    """Return how many slots each upstream of a table owns."""
    return {name: len(row.slots) for name, row in sorted(table.rows.items())}


def owned_once(table: Table, slot_count: int) -> bool:
    """Return whether each slot has exactly one owner."""
    slots = sorted(slot for row in table.rows.values() for slot in row.slots)
    return slots == list(range(slot_count))


#: Reads a table of a zone.
TableSource = Callable[[], Table | None]

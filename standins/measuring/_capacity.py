"""``scripts/measure capacity``: slopes of control's cost over the sizes that drive it."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from foxtailshunt.ownership import table_to_json
from standins.fleet import PROGRAMS, Fleet, FleetOptions
from standins.measuring._process_stats import read_loopback_bytes, read_process_stats
from standins.measuring._tables import TableReader

_REST_S = 10.0
_SETTLE_S = 3.0


@dataclass(frozen=True, slots=True)
class Size:
    """The sizes of one fleet at rest."""

    #: Instances in each of three availability zones.
    instances_per_zone: int = 2
    #: Upstreams in each availability zone.
    upstreams_per_zone: int = 4
    #: Slots of the one service.
    slots: int = 240
    #: Operations of the one service.
    operations: int = 4


@dataclass(frozen=True, slots=True)
class Cost:
    """What a fleet at rest costs."""

    #: Share of a core by program, mean over its processes.
    cpu_share: dict[str, float]
    #: Resident bytes by program, mean over its processes.
    resident_bytes: dict[str, float]
    #: Bytes a second on the network, by instance, upstream and store traffic included.
    bytes_per_s_per_instance: float
    #: Calls of the store a second, whole fleet.
    store_calls_per_s: float
    #: Bytes of one zone's table.
    table_bytes: int


VARIATIONS = {
    "instances_per_zone": Size(instances_per_zone=4),
    "upstreams_per_zone": Size(upstreams_per_zone=12),
    "slots": Size(slots=3840),
    "operations": Size(operations=400),
}


def measure_capacity(root: Path, report: Callable[[str], None]) -> dict:
    """Measure the base size and each variation, and return the slopes.

    :param root: the checkout.
    :param report: takes a line of progress.
    :returns: the base, each variation and the slope of each cost over each size.
    """
    base_size = Size()
    report(f"base: {base_size}")
    base = _cost_at_rest(base_size)
    result: dict = {"base": {"size": _plain(base_size), "cost": _plain(base)}, "slopes": {}}
    for name, size in VARIATIONS.items():
        report(f"{name}: {size}")
        cost = _cost_at_rest(size)
        step = getattr(size, name) - getattr(base_size, name)
        result[name] = _plain(cost)
        result["slopes"][f"per_{name}"] = _slope(base, cost, step)
    return result


def _slope(base: Cost, cost: Cost, step: int) -> dict:
    slopes: dict = {}
    for program in PROGRAMS:
        cpu = (cost.cpu_share[program] - base.cpu_share[program]) / step
        memory = (cost.resident_bytes[program] - base.resident_bytes[program]) / step
        slopes[f"{program}_cpu_share"] = round(cpu, 7)
        slopes[f"{program}_resident_bytes"] = round(memory)
    network = cost.bytes_per_s_per_instance - base.bytes_per_s_per_instance
    calls = cost.store_calls_per_s - base.store_calls_per_s
    slopes["bytes_per_s_per_instance"] = round(network / step, 2)
    slopes["store_calls_per_s"] = round(calls / step, 4)
    slopes["table_bytes"] = round((cost.table_bytes - base.table_bytes) / step, 2)
    return slopes


def _plain(value: Size | Cost) -> dict:
    return {name: getattr(value, name) for name in value.__dataclass_fields__}


def _cost_at_rest(size: Size) -> Cost:
    with TemporaryDirectory() as directory:
        path = Path(directory) / "configuration.json"
        path.write_text(json.dumps(_document(size)), encoding="utf-8")
        options = FleetOptions(instances_per_zone=size.instances_per_zone)
        with Fleet(path, options) as fleet:
            fleet.start()
            time.sleep(_SETTLE_S)
            return _measure(fleet)


def _measure(fleet: Fleet) -> Cost:
    cpu_before = _cpu(fleet)
    bytes_before = read_loopback_bytes()
    calls_before = _store_calls(fleet)
    started = time.monotonic()
    time.sleep(_REST_S)
    elapsed_s = time.monotonic() - started
    calls = _store_calls(fleet) - calls_before
    sent = read_loopback_bytes() - bytes_before
    cpu_after = _cpu(fleet)
    count = len(fleet.layout.instances)
    table = TableReader(fleet).read_table(fleet.layout.zones[0])
    return Cost(
        cpu_share={p: (cpu_after[p] - cpu_before[p]) / elapsed_s / count for p in PROGRAMS},
        resident_bytes={p: _resident(fleet, p) / count for p in PROGRAMS},
        bytes_per_s_per_instance=sent / elapsed_s / count,
        store_calls_per_s=calls / elapsed_s,
        table_bytes=len(table_to_json(table)),
    )


def _cpu(fleet: Fleet) -> dict[str, float]:
    return {
        program: sum(
            read_process_stats(fleet.process(instance, program).pid).cpu_s
            for instance in fleet.layout.instances
        )
        for program in PROGRAMS
    }


def _resident(fleet: Fleet, program: str) -> int:
    return sum(
        read_process_stats(fleet.process(instance, program).pid).resident_bytes
        for instance in fleet.layout.instances
    )


def _store_calls(fleet: Fleet) -> int:
    host, port = fleet.layout.platform_listen
    counts = fleet.http.request("GET", f"http://{host}:{port}/standin/counts").json()
    return counts["reads"] + counts["writes"]


def _document(size: Size) -> dict:
    zones = ["wanaka", "twizel", "fox-glacier"]
    upstreams = [
        {"id": f"{zone}-{n}", "zone": zone, "address": f"127.10.{number}.{100 + n}:7000"}
        for number, zone in enumerate(zones, start=1)
        for n in range(size.upstreams_per_zone)
    ]
    operations = [
        {
            "name": f"operation-{n}",
            "method": "GET",
            "path": f"/desk/{{key}}/{n}",
            "rank": "urgent",
            "idempotent": True,
            "deadline_ms": 2000,
        }
        for n in range(size.operations)
    ]
    service = {"name": "desk", "slots": size.slots, "max_moves": 64}
    service |= {"upstreams": upstreams, "operations": operations}
    return {"fleet": "capacity", "zones": zones, "services": [service]}

"""``scripts/measure churn``: replaces every instance once under load."""

import time
from collections.abc import Callable
from pathlib import Path

from standins.fleet import Fleet, FleetOptions, InstanceLayout, wait_for
from standins.measuring._probe import KeyProbe
from standins.measuring._proof import prove_fleet
from standins.measuring._tables import TableReader
from standins.records import RunRecord, read_records

_KEYS = tuple(f"key-{number:06d}" for number in range(36))
_PROBED = (("hire-desk", "check-availability"), ("hire-desk", "hold-deposit"))
_PROGRAMS = ("entry", "dispatcher", "assigner")
_STOP_TIMEOUT_S = 30.0
_PAUSE_BETWEEN_S = 2.0


def measure_churn(root: Path, report: Callable[[str], None]) -> dict:
    """Roll all instances of the Kea Ridge example by planned stops.

    :param root: the checkout.
    :param report: takes a line of progress.
    :returns: the figures.
    """
    with Fleet(root / "examples" / "kea-ridge.json", FleetOptions()) as fleet:
        fleet.start()
        return _roll(fleet, report)


def _roll(fleet: Fleet, report: Callable[[str], None]) -> dict:
    tables = TableReader(fleet)
    probe = KeyProbe(fleet, _PROBED, _KEYS)
    probe.start()
    before = tables.read()
    started = time.monotonic()
    stop_s = []
    for instance in fleet.layout.instances:
        report(f"replacing {instance.instance_id}")
        stop_s.append(_replace(fleet, instance))
        time.sleep(_PAUSE_BETWEEN_S)
    moved = tables.read().moved_since(before)
    unserved_s = probe.unserved_s(started)
    report("an upstream leaves")
    leaving_work_s = _leave(fleet, tables)
    outcomes = probe.callers.stop()
    proof = prove_fleet(fleet, outcomes)
    refused = [o for o in outcomes if o.family != "ran"]
    return {
        "replaced": len(fleet.layout.instances),
        "slots_moved": moved,
        "unavailable_s": round(unserved_s, 3),
        "longest_stop_s": round(max(stop_s), 3),
        "leaving_last_new_work_s": leaving_work_s,
        "requests": len(outcomes),
        "no_answer": sum(o.code == 0 for o in refused),
        "not_run": sum(o.family == "not run" for o in refused),
        "unknown": sum(o.family == "unknown" and o.code != 0 for o in refused),
        "owner_overlaps": proof.owner_overlaps,
        "work_outside_grant": proof.work_outside_grant,
        "wrong_answers": proof.wrong_answers,
        "false_not_run": proof.false_not_run,
        "double_runs": proof.double_runs,
    }


def _replace(fleet: Fleet, instance: InstanceLayout) -> float:
    started = time.monotonic()
    for program in _PROGRAMS:
        fleet.process(instance, program).terminate()
    for program in _PROGRAMS:
        fleet.process(instance, program).wait(_STOP_TIMEOUT_S)
    stopped_s = time.monotonic() - started
    fleet.start_instance(instance)
    wait_for(lambda: fleet.entry_ready(instance), instance.instance_id)
    return stopped_s


def _leave(fleet: Fleet, tables: TableReader) -> float:
    """Let an upstream leave and return when its last work began, in seconds after the listing."""
    upstream = next(u for u in fleet.layout.upstreams if u.service == "hire-desk")
    nodes = [{"Node": upstream.upstream_id, "state": "leaving"}]
    listed = time.monotonic()
    fleet.control(fleet.layout.platform_listen, "/standin/instances", nodes)
    wait_for(lambda: tables.read().slots_of(upstream.upstream_id) == 0, "slots moved")
    time.sleep(_PAUSE_BETWEEN_S)
    records = read_records(fleet.records_of(upstream.upstream_id))
    starts = [record.start for record in records if isinstance(record, RunRecord)]
    return round(max(starts) - listed, 3)

"""``scripts/measure path``: what the two hops add to a direct call, and the cost of each."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import urllib3

from foxtailshunt.ownership import slot_of_key
from standins.fleet import Fleet, FleetOptions, wait_for
from standins.load import LoadRun, LoadSpec, StreamSpec, StreamSummary
from standins.measuring._process_stats import read_process_stats
from standins.traffic import Caller, CallerRequest, OperationCatalog

_CALLS = 2000
_WARM_UP_CALLS = 200
_RATE_PER_S = 400.0
_LOAD_S = 10.0
_LOAD_WARM_UP_S = 2.0
_KEY_COUNT = 500
_WORKERS = 60
_TOP_COSTS = 12
_HIGHEST_READING_MS = 2**62
_PROGRAMS = ("entry", "dispatcher")
_STOP_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class _Cost:
    requests: float
    cpu_s: dict[str, float]


def measure_path(root: Path, report: Callable[[str], None]) -> dict:
    """Measure the request path with one instance a zone and no service time.

    :param root: the checkout.
    :param report: takes a line of progress.
    :returns: the figures.
    """
    options = FleetOptions(
        instances_per_zone=1,
        service_ms=0.0,
        upstream_arguments=("--no-fence-checks",),
        profiled=True,
    )
    with Fleet(root / "examples" / "kea-ridge.json", options) as fleet:
        fleet.start()
        report("one caller, one request at a time")
        direct = _time_direct(fleet)
        routed = _time_routed(fleet)
        report(f"load of {_RATE_PER_S:.0f} requests a second")
        cost = _cost_under_load(fleet)
        profiles = _stop_and_read_profiles(fleet)
    return {
        "direct": _latency(direct),
        "routed": _latency(routed),
        "added_p50_ms": round(routed.percentile_ms(50) - direct.percentile_ms(50), 3),
        "added_p99_ms": round(routed.percentile_ms(99) - direct.percentile_ms(99), 3),
        "requests_per_s_per_core": {
            program: round(cost.requests / cost.cpu_s[program]) for program in _PROGRAMS
        },
        "cpu_ms_per_request": {
            program: round(1000 * cost.cpu_s[program] / cost.requests, 3) for program in _PROGRAMS
        },
        "top_costs": profiles,
    }


def _latency(summary: StreamSummary) -> dict[str, float]:
    return {"p50_ms": summary.percentile_ms(50), "p99_ms": summary.percentile_ms(99)}


def _time_direct(fleet: Fleet) -> StreamSummary:
    upstream = fleet.layout.upstreams[0]
    host, port = upstream.listen_address
    pool = urllib3.HTTPConnectionPool(host, port, maxsize=1, retries=False)
    headers = {
        "X-Request-Id": "direct",
        "X-Key": "key-000000",
        "X-Slot": str(slot_of_key("key-000000", 240)),
        "X-Fence": "1.1",
        "X-Deadline-Reading-Ms": str(_HIGHEST_READING_MS),
    }
    summary = StreamSummary()
    for number in range(_WARM_UP_CALLS + _CALLS):
        started = time.perf_counter()
        response = pool.request("GET", "/hire/key-000000/availability", headers=headers)
        elapsed_s = time.perf_counter() - started
        if number >= _WARM_UP_CALLS:
            good = response.headers.get("X-Outcome") == "ran"
            summary.add(str(response.status), elapsed_s, good, False)
    return _checked(summary)


def _time_routed(fleet: Fleet) -> StreamSummary:
    catalog = OperationCatalog(fleet.layout.document)
    caller = Caller(fleet.entries[0], catalog)
    summary = StreamSummary()
    for number in range(_WARM_UP_CALLS + _CALLS):
        req = CallerRequest("hire-desk", "check-availability", "key-000000", None)
        answer = caller.send(req)
        if number >= _WARM_UP_CALLS:
            code = answer.code.name if answer.code is not None else "NO_ANSWER"
            summary.add(code, answer.elapsed_s, answer.owner != "", not answer.right)
    return _checked(summary)


def _checked(summary: StreamSummary) -> StreamSummary:
    if summary.good < summary.sent:
        raise ValueError(f"{summary.sent - summary.good} calls failed: {summary.codes}")
    return summary


def _cost_under_load(fleet: Fleet) -> _Cost:
    stream = StreamSpec("urgent", "hire-desk", "check-availability", _RATE_PER_S, _WORKERS)
    spec = LoadSpec(
        entries=tuple(f"{host}:{port}" for host, port in fleet.entries),
        cfg_path=str(fleet.cfg_path),
        streams=(stream,),
        duration_s=_LOAD_S,
        warm_up_s=_LOAD_WARM_UP_S,
        key_count=_KEY_COUNT,
        seed=3,
        outcomes_path=str(fleet.directory / "outcomes"),
    )
    run = LoadRun(spec, 2)
    idle = _idle_cpu(fleet)
    before = _cpu_by_program(fleet)
    run.start()
    summary = run.wait()["urgent"]
    after = _cpu_by_program(fleet)
    requests = sum(1 for path in run.outcome_paths() for _ in path.open())
    report_s = _LOAD_S
    cpu_s = {
        program: after[program] - before[program] - idle[program] * report_s
        for program in _PROGRAMS
    }
    if summary.good < summary.sent * 0.99:
        raise ValueError(f"only {summary.good} of {summary.sent} were good: {summary.codes}")
    return _Cost(requests, cpu_s)


def _idle_cpu(fleet: Fleet) -> dict[str, float]:
    before = _cpu_by_program(fleet)
    time.sleep(3.0)
    after = _cpu_by_program(fleet)
    return {program: (after[program] - before[program]) / 3.0 for program in _PROGRAMS}


def _cpu_by_program(fleet: Fleet) -> dict[str, float]:
    return {
        program: sum(
            read_process_stats(fleet.process(instance, program).pid).cpu_s
            for instance in fleet.layout.instances
        )
        for program in _PROGRAMS
    }


def _stop_and_read_profiles(fleet: Fleet) -> dict[str, list]:
    instance = fleet.layout.instances[0]
    profiles = {}
    for program in _PROGRAMS:
        process = fleet.process(instance, program)
        process.terminate()
        process.wait(_STOP_TIMEOUT_S)
        path = fleet.profile_path(instance, program)
        wait_for(path.exists, str(path))
        counts = json.loads(path.read_text(encoding="utf-8"))
        total = sum(count for _, count in counts)
        profiles[program] = [[name, round(count / total, 3)] for name, count in counts[:_TOP_COSTS]]
    return profiles

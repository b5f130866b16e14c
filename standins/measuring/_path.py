"""``scripts/measure path``: the latency that a node adds and its cost for a request."""

import time
from collections.abc import Callable
from pathlib import Path

import urllib3

from foxtailshunt.routing import key_number
from standins.fleet import Fleet, FleetOptions
from standins.load import LoadRun, LoadSpec, StreamSpec, StreamSummary
from standins.measuring._process_stats import read_process_stats
from standins.traffic import Caller, CallerRequest, OperationCatalog

_CALLS = 2000
_WARM_UP_CALLS = 200
_RATE_PER_S = 300.0
_LOAD_S = 10.0
_KEY_COUNT = 500
_WORKERS = 60
_IDLE_S = 3.0
_KEY = "key-000000"
_PATH = f"/hire/{_KEY}/availability"


def measure_path(root: Path, report: Callable[[str], None]) -> dict:
    """Measure the request path with one node a zone and no service time at the upstreams.

    :param root: the checkout.
    :param report: called with each line of progress.
    :returns: the figures.
    """
    options = FleetOptions(instances_per_zone=1, work_s=0.0)
    with Fleet(root / "examples" / "kea-ridge.json", options) as fleet:
        fleet.start()
        report("one caller, one request at a time")
        direct = _time_direct(fleet)
        routed = _time_routed(fleet)
        report(f"load of {_RATE_PER_S:.0f} requests a second")
        cpu_s = _cpu_s_per_request(fleet)
        resident_sizes = [_stats(fleet, name).resident_bytes for name in fleet.nodes]
    return {
        "direct": _latency_figures(direct),
        "routed": _latency_figures(routed),
        "added_p50_ms": round(routed.percentile_ms(50) - direct.percentile_ms(50), 3),
        "cpu_ms_per_request": round(1000 * cpu_s, 3),
        "resident_mb": round(max(resident_sizes) / 1e6, 1),
    }


def _latency_figures(summary: StreamSummary) -> dict[str, float]:
    return {"p50_ms": summary.percentile_ms(50), "p99_ms": summary.percentile_ms(99)}


def _time_direct(fleet: Fleet) -> StreamSummary:
    owner = next(o for o in fleet.upstreams.values() if o.grants.holds(key_number(_KEY)))
    pool = urllib3.HTTPConnectionPool(*owner.address, maxsize=1, retries=False)
    headers = {"Attempt-Id": "direct", "Shard-Key": str(key_number(_KEY))}
    summary = StreamSummary()
    for number in range(_WARM_UP_CALLS + _CALLS):
        started = time.perf_counter()
        response = pool.request("GET", _PATH, headers=headers)
        elapsed_s = time.perf_counter() - started
        if number >= _WARM_UP_CALLS:
            summary.add(str(response.status), elapsed_s, response.status == 200, False)
    return _require_success(summary)


def _time_routed(fleet: Fleet) -> StreamSummary:
    caller = Caller(fleet.entries[0], OperationCatalog(fleet.layout.document))
    summary = StreamSummary()
    for number in range(_WARM_UP_CALLS + _CALLS):
        response = caller.send(CallerRequest("hire-desk", "check-availability", _KEY, None))
        if number >= _WARM_UP_CALLS:
            code = response.code.name if response.code is not None else "NO_ANSWER"
            summary.add(code, response.elapsed_s, response.owner != "", not response.right)
    return _require_success(summary)


def _require_success(summary: StreamSummary) -> StreamSummary:
    if summary.good < summary.sent:
        raise ValueError(f"{summary.sent - summary.good} calls failed: {summary.codes}")
    return summary


def _cpu_s_per_request(fleet: Fleet) -> float:
    """Return the processor time of all nodes for a request, idle time subtracted, in seconds."""
    stream = StreamSpec("urgent", "hire-desk", "check-availability", _RATE_PER_S, _WORKERS)
    spec = LoadSpec(
        entries=tuple(f"{host}:{port}" for host, port in fleet.entries),
        cfg_path=str(fleet.cfg_path),
        streams=(stream,),
        duration_s=_LOAD_S,
        warm_up_s=0.0,
        key_count=_KEY_COUNT,
        seed=3,
        outcomes_path=str(fleet.directory / "outcomes"),
    )
    idle_start_s = _total_cpu_s(fleet)
    time.sleep(_IDLE_S)
    idle_cpu_share = (_total_cpu_s(fleet) - idle_start_s) / _IDLE_S
    before_s, started_at = _total_cpu_s(fleet), time.monotonic()
    run = LoadRun(spec, 2)
    run.start()
    summary = run.wait()["urgent"]
    spent_s = _total_cpu_s(fleet) - before_s - idle_cpu_share * (time.monotonic() - started_at)
    if summary.good < summary.sent * 0.99:
        raise ValueError(
            f"only {summary.good} of {summary.sent} requests were good: {summary.codes}"
        )
    return spent_s / summary.sent


def _total_cpu_s(fleet: Fleet) -> float:
    return sum(_stats(fleet, name).cpu_s for name in fleet.nodes)


def _stats(fleet: Fleet, name: str) -> object:
    return read_process_stats(fleet.nodes[name].process.pid)

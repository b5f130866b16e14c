"""``scripts/measure service``: results and latency by rank, under normal load and in a flood."""

from collections.abc import Callable
from pathlib import Path

from standins.fleet import Fleet, FleetOptions
from standins.load import LoadRun, LoadSpec, StreamSpec, StreamSummary

_WORK_S = 0.1
_DURATION_S = 12.0
_WARM_UP_S = 4.0
_KEY_COUNT = 400
_WORKERS = 120
_PROCESSES = 2
#: Requests a second by operation of the hire desk, which can run 180 a second on 9 upstreams.
_NORMAL_RATES = {"check-availability": 53.0, "hold-deposit": 35.0, "usage-report": 15.0}
_RATES_BY_LOAD = {
    "at ease": _NORMAL_RATES,
    "urgent flood": _NORMAL_RATES | {"check-availability": 600.0},
    "deferrable flood": _NORMAL_RATES | {"usage-report": 600.0},
}


def measure_service(root: Path, report: Callable[[str], None]) -> dict:
    """Measure each load on the Kea Ridge example.

    :param root: the checkout.
    :param report: called with each line of progress.
    :returns: figures by load and operation.
    """
    options = FleetOptions(instances_per_zone=1, work_s=_WORK_S)
    result = {}
    with Fleet(root / "examples" / "kea-ridge.json", options) as fleet:
        fleet.start()
        for number, (name, rates) in enumerate(_RATES_BY_LOAD.items()):
            report(name)
            summaries = _run_load(fleet, rates, number)
            result[name] = {stream: _figures(summary) for stream, summary in summaries.items()}
    return result


def _run_load(fleet: Fleet, rates: dict[str, float], seed: int) -> dict[str, StreamSummary]:
    spec = LoadSpec(
        entries=tuple(f"{host}:{port}" for host, port in fleet.entries),
        cfg_path=str(fleet.cfg_path),
        streams=tuple(
            StreamSpec(name, "hire-desk", name, rate, _WORKERS) for name, rate in rates.items()
        ),
        duration_s=_DURATION_S,
        warm_up_s=_WARM_UP_S,
        key_count=_KEY_COUNT,
        seed=seed,
        outcomes_path=str(fleet.directory / f"outcomes-{seed}"),
    )
    run = LoadRun(spec, _PROCESSES)
    run.start()
    return run.wait()


def _figures(summary: StreamSummary) -> dict[str, object]:
    return {
        "sent_per_s": round(summary.sent / summary.duration_s, 1),
        "good_share": round(summary.good / max(1, summary.sent), 3),
        "p50_ms": round(summary.percentile_ms(50), 1),
        "p99_ms": round(summary.percentile_ms(99), 1),
        "wrong": summary.wrong,
        "codes": summary.codes,
    }

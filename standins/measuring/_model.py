"""``scripts/measure model``: random runs of ownership with all rules, and without each."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from standins.ownership.model import RULES, ModelFleet

_SEEDS = 100
_DURATION_S = 20.0


def measure_model(root: Path, report: Callable[[str], None]) -> dict:
    """Run the model and count the runs in which two upstreams held a slot.

    :param root: the checkout.
    :param report: takes a line of progress.
    :returns: for each rule left out, the runs with a fault and the moves of ownership.
    """
    report(f"{_SEEDS} seeds of {_DURATION_S:.0f} s of virtual time for each rule left out")
    with ProcessPoolExecutor(len(RULES)) as pool:
        results = dict(zip(RULES, pool.map(_run_all, RULES), strict=True))
    return {"seeds": _SEEDS, "duration_s": _DURATION_S, "without": results}


def _run_all(rule: str) -> dict[str, int]:
    faulty = moves = 0
    for seed in range(_SEEDS):
        fleet = ModelFleet(seed, RULES[rule])
        faulty += bool(fleet.run(_DURATION_S))
        moves += fleet.assigner.finished_moves
    return {"runs_with_a_fault": faulty, "moves": moves}

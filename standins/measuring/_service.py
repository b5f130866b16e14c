"""``scripts/measure service``: goodput and latency by rank, product and baseline in turn.

Both users' examples are run with one instance an availability zone and a service time of 100 ms, so
that ten times the capacity of one service stays within what one machine can send: 18 slots (Kea
Ridge's hire desk) give 180 requests a second, 16 slots (Nadroga's pass desk) 160.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from standins.fleet import Fleet, FleetOptions
from standins.load import LoadRun, LoadSpec, Outcome, StreamSpec, StreamSummary, read_outcomes
from standins.measuring._baseline_fleet import BaselineFleet
from standins.measuring._proof import Proof, prove_fleet
from standins.measuring._slots_busy import slots_busy

_SERVICE_MS = 100.0
_DURATION_S = 9.0
_WARM_UP_S = 2.0
_LOAD_PROCESSES = 3
_FLOOD_FACTOR = 10
_KEYS = 2000
#: Offered load in calm, as shares of the service's capacity.
_CALM_SHARES = {"urgent": 0.3, "careful": 0.2, "deferrable": 0.08}
_CALM_WORKERS = 60
_FLOOD_WORKERS = 270


class Situation(Enum):
    """A mix of offered load."""

    CALM = "calm"
    DEFERRABLE_FLOOD = "deferrable_flood"
    URGENT_FLOOD = "urgent_flood"


_FLOODED = {Situation.DEFERRABLE_FLOOD: "deferrable", Situation.URGENT_FLOOD: "urgent"}


@dataclass(frozen=True, slots=True)
class User:
    """One user's example."""

    #: Name in the result.
    name: str
    #: Configuration file.
    file_name: str
    #: The service that is loaded.
    service: str
    #: Operation of each rank.
    operations: dict[str, str]


USERS = (
    User(
        "kea_ridge",
        "kea-ridge.json",
        "hire-desk",
        {
            "urgent": "check-availability",
            "careful": "hold-deposit",
            "deferrable": "usage-report",
        },
    ),
    User(
        "nadroga",
        "nadroga.json",
        "pass-desk",
        {"urgent": "look-up-pass", "careful": "issue-pass", "deferrable": "swap-shift"},
    ),
)


class ServiceMeasurement:
    """Runs one user's situations on product and baseline.

    :param root: the checkout.
    :param user: whose example.
    :param rounds: how often product and baseline are run in turn.
    :param report: takes a line of progress.
    """

    def __init__(self, root: Path, user: User, rounds: int, report: Callable[[str], None]) -> None:
        self._rounds = rounds
        self._cfg_path = root / "examples" / user.file_name
        self._user = user
        self._report = report
        self._service = _service_of(self._cfg_path, user.service)
        slots = self._service["upstream_limits"]["slots"] * len(self._service["upstreams"])
        self._slots = slots
        self._capacity_per_s = slots * 1000 / _SERVICE_MS
        self._summaries: dict[tuple[str, Situation], dict[str, StreamSummary]] = {}
        self._busy: dict[Situation, list[float]] = {situation: [] for situation in Situation}
        self._proofs: list[Proof] = []

    def run(self) -> dict:
        """Run all rounds and return the figures."""
        for number in range(self._rounds):
            self._report(f"{self._user.name} round {number + 1} of {self._rounds}: product")
            self._run_product(number)
            self._report(f"{self._user.name} round {number + 1} of {self._rounds}: baseline")
            self._run_baseline(number)
        result: dict = {situation.value: self._figures(situation) for situation in Situation}
        result["urgent_flood"]["floors_kept"] = self._floors_kept()
        result["capacity_per_s"] = self._capacity_per_s
        result["wrong_answers"] = sum(proof.wrong_answers for proof in self._proofs)
        result["double_runs"] = sum(proof.double_runs for proof in self._proofs)
        result["false_not_run"] = sum(proof.false_not_run for proof in self._proofs)
        return result

    def _run_product(self, number: int) -> None:
        options = FleetOptions(instances_per_zone=1, service_ms=_SERVICE_MS)
        with Fleet(self._cfg_path, options) as fleet:
            fleet.start()
            outcomes: list[Outcome] = []
            for situation in Situation:
                run = self._load(fleet, fleet.entries, situation, number)
                self._take("product", situation, run)
                window = (run.counted_from, run.counted_until)
                self._busy[situation].append(
                    slots_busy(fleet, self._user.service, self._slots, window)
                )
                outcomes += run.outcomes
            self._proofs.append(prove_fleet(fleet, outcomes))

    def _run_baseline(self, number: int) -> None:
        options = FleetOptions(
            instances_per_zone=1,
            service_ms=_SERVICE_MS,
            upstream_arguments=("--no-fence-checks",),
        )
        with BaselineFleet(self._cfg_path, options) as fleet:
            fleet.start()
            for situation in Situation:
                run = self._load(fleet.fleet, fleet.fleet.entries, situation, number)
                self._take("baseline", situation, run)

    def _load(
        self,
        fleet: Fleet,
        entries: list[tuple[str, int]],
        situation: Situation,
        number: int,
    ) -> "_LoadResult":
        spec = LoadSpec(
            entries=tuple(f"{host}:{port}" for host, port in entries),
            cfg_path=str(fleet.cfg_path),
            streams=tuple(self._stream(rank, situation) for rank in _CALM_SHARES),
            duration_s=_DURATION_S,
            warm_up_s=_WARM_UP_S,
            key_count=_KEYS,
            seed=number + 1,
            outcomes_path=str(fleet.directory / f"outcomes-{situation.value}"),
        )
        run = LoadRun(spec, _LOAD_PROCESSES)
        run.start()
        summaries = run.wait()
        outcomes = [outcome for path in run.outcome_paths() for outcome in read_outcomes(path)]
        first = min(outcome.sent_at for outcome in outcomes)
        return _LoadResult(summaries, outcomes, first + _WARM_UP_S, first + _DURATION_S)

    def _stream(self, rank: str, situation: Situation) -> StreamSpec:
        flooded = _FLOODED.get(situation) == rank
        share = _FLOOD_FACTOR if flooded else _CALM_SHARES[rank]
        workers = _FLOOD_WORKERS if flooded else _CALM_WORKERS
        operation = self._user.operations[rank]
        rate = share * self._capacity_per_s
        return StreamSpec(rank, self._user.service, operation, rate, workers)

    def _take(self, side: str, situation: Situation, run: "_LoadResult") -> None:
        kept = self._summaries.setdefault((side, situation), {})
        for rank, summary in run.summaries.items():
            if rank not in kept:
                kept[rank] = summary
                continue
            duration_s = kept[rank].duration_s + summary.duration_s
            kept[rank].merge(summary)
            kept[rank].duration_s = duration_s

    def _figures(self, situation: Situation) -> dict:
        figures: dict = {
            side: {
                rank: _rank_figures(summary)
                for rank, summary in self._summaries[side, situation].items()
            }
            for side in ("product", "baseline")
        }
        busy = self._busy[situation]
        figures["slots_busy"] = round(sum(busy) / len(busy), 3)
        return figures

    def _floors_kept(self) -> bool:
        flood = self._summaries["product", Situation.URGENT_FLOOD]
        for rank in ("careful", "deferrable"):
            floor = self._service["floors"][rank]
            wanted = min(floor, _CALM_SHARES[rank]) * self._capacity_per_s
            if flood[rank].goodput_per_s < wanted:
                return False
        return True


@dataclass(frozen=True, slots=True)
class _LoadResult:
    summaries: dict[str, StreamSummary]
    outcomes: list[Outcome]
    counted_from: float
    counted_until: float


def measure_service(root: Path, rounds: int, report: Callable[[str], None]) -> dict:
    """Measure both users' examples.

    :param root: the checkout.
    :param rounds: how often product and baseline are run in turn.
    :param report: takes a line of progress.
    :returns: the figures by user.
    """
    return {user.name: ServiceMeasurement(root, user, rounds, report).run() for user in USERS}


def _rank_figures(summary: StreamSummary) -> dict:
    return {
        "goodput": round(summary.goodput_per_s, 1),
        "p50_ms": round(summary.percentile_ms(50), 1),
        "p99_ms": round(summary.percentile_ms(99), 1),
        "codes": summary.codes,
    }


def _service_of(cfg_path: Path, name: str) -> dict:
    services = json.loads(cfg_path.read_text(encoding="utf-8"))["services"]
    return next(service for service in services if service["name"] == name)

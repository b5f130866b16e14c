"""``scripts/measure ownership``: losses, overlaps, configuration, balance and store calls."""

import json
import statistics
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from standins.fleet import Fleet, FleetOptions, InstanceLayout, UpstreamLayout, wait_for
from standins.measuring._probe import KeyProbe
from standins.measuring._proof import prove_fleet
from standins.measuring._tables import OwnershipPicture, TableReader

_LOSSES = 10
_CONFIG_CHANGES = 5
_REST_S = 10.0
_SETTLE_S = 1.0
_KEYS = tuple(f"key-{number:06d}" for number in range(48))
_PROBED = (("hire-desk", "check-availability"),)


@dataclass(frozen=True, slots=True)
class LossResult:
    """What one loss cost."""

    #: From the loss to the first answer of the slowest key, in seconds.
    served_after_s: float
    #: Slots that changed owner.
    moved: int
    #: Slots that the lost process owned.
    least: int


class OwnershipMeasurement:
    """Losses of one kind after another on a running fleet.

    :param fleet: a started fleet.
    :param report: takes a line of progress.
    """

    def __init__(self, fleet: Fleet, report: Callable[[str], None]) -> None:
        self._fleet = fleet
        self._report = report
        self._tables = TableReader(fleet)
        self._probe = KeyProbe(fleet, _PROBED, _KEYS)

    def run(self) -> dict:
        """Run all losses and configuration changes and return the figures."""
        self._probe.start()
        self._wait_until_settled()
        losses = {
            "upstream": [self._lose_upstream(upstream) for upstream in self._upstream_victims()],
            "dispatcher": self._lose_all("dispatcher"),
            "assigner": self._lose_all("assigner"),
        }
        changes = [self._change_config(number) for number in range(_CONFIG_CHANGES)]
        imbalance = self._imbalance()
        outcomes = self._probe.callers.stop()
        proof = prove_fleet(self._fleet, outcomes)
        return {
            "loss_to_served_s": {kind: _worst(results) for kind, results in losses.items()},
            "loss_to_served_median_s": {kind: _median(results) for kind, results in losses.items()},
            "losses": {kind: len(results) for kind, results in losses.items()},
            "moves_per_loss": _moves(losses["upstream"]),
            "owner_overlaps": proof.owner_overlaps,
            "work_outside_grant": proof.work_outside_grant,
            "wrong_answers": proof.wrong_answers,
            "false_not_run": proof.false_not_run,
            "config_in_force_s": round(max(changes), 3),
            "key_imbalance": imbalance,
        }

    def _lose_all(self, program: str) -> list[LossResult]:
        self._report(f"losing {program}s")
        return [self._lose(*victim) for victim in self._victims(program)]

    def _upstream_victims(self) -> Iterator[UpstreamLayout]:
        hire = [u for u in self._fleet.layout.upstreams if u.service == "hire-desk"]
        for number in range(_LOSSES):
            yield hire[number % len(hire)]

    def _victims(self, program: str) -> Iterator[tuple[InstanceLayout, str]]:
        instances = self._fleet.layout.instances
        for number in range(_LOSSES):
            if program == "assigner":
                zone = self._fleet.layout.zones[number % len(self._fleet.layout.zones)]
                yield self._active_assigner(zone), program
            else:
                yield instances[number % len(instances)], program

    def _active_assigner(self, zone: str) -> InstanceLayout:
        for instance in self._fleet.layout.instances_of(zone):
            dump = self._fleet.dump(instance.operator_address("assigner"))
            if dump["active"]:
                return instance
        raise LookupError(f"no active assigner in {zone}")

    def _lose_upstream(self, upstream: UpstreamLayout) -> LossResult:
        before = self._tables.read()
        moment = time.monotonic()
        self._fleet.processes[upstream.upstream_id].kill()
        served_after_s = self._probe.wait_until_served(moment)
        wait_for(lambda: self._tables.read().slots_of(upstream.upstream_id) == 0, "slots moved")
        self._wait_until_settled()
        moved = self._tables.read().moved_since(before)
        self._fleet.start_upstream(upstream)
        wait_for(lambda: self._tables.read().slots_of(upstream.upstream_id) > 0, "slots returned")
        self._wait_until_settled()
        return LossResult(served_after_s, moved, before.slots_of(upstream.upstream_id))

    def _lose(self, instance: InstanceLayout, program: str) -> LossResult:
        before = self._tables.read()
        moment = time.monotonic()
        self._fleet.process(instance, program).kill()
        served_after_s = self._probe.wait_until_served(moment)
        self._wait_until_settled()
        moved = self._tables.read().moved_since(before)
        self._fleet.start_program(instance, program)
        wait_for(lambda: self._answers(instance, program), f"{instance.instance_id} {program}")
        self._wait_until_settled()
        return LossResult(served_after_s, moved, 0)

    def _answers(self, instance: InstanceLayout, program: str) -> bool:
        try:
            return bool(self._fleet.dump(instance.operator_address(program)))
        except Exception:
            return False

    def _wait_until_settled(self) -> None:
        picture = self._tables.read()
        unchanged_since = time.monotonic()
        while time.monotonic() - unchanged_since < _SETTLE_S:
            time.sleep(0.1)
            newer = self._tables.read()
            if newer != picture or newer.transits:
                picture, unchanged_since = newer, time.monotonic()

    def _change_config(self, number: int) -> float:
        document = json.loads(self._fleet.layout.document)
        document["services"][0]["floors"]["careful"] = 0.2 + (number + 1) / 100
        path = self._fleet.directory / f"change-{number}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        version = self._highest_version() + 1
        self._fleet.apply(path)
        accepted = time.monotonic()
        wait_for(lambda: self._all_at(version), f"configuration {version}")
        return time.monotonic() - accepted

    def _dumps(self) -> Iterator[dict]:
        for instance in self._fleet.layout.instances:
            for program in ("entry", "dispatcher", "assigner"):
                yield self._fleet.dump(instance.operator_address(program))

    def _highest_version(self) -> int:
        return max(dump["cfg_version"] for dump in self._dumps())

    def _all_at(self, version: int) -> bool:
        return all(dump["cfg_version"] >= version for dump in self._dumps())

    def _imbalance(self) -> dict[str, float]:
        picture: OwnershipPicture = self._tables.read()
        upstreams: dict[str, list[str]] = {}
        for upstream in self._fleet.layout.upstreams:
            upstreams.setdefault(upstream.service, []).append(upstream.upstream_id)
        return {name: round(picture.imbalance(name, ids), 3) for name, ids in upstreams.items()}


def measure_ownership(root: Path, sizes: tuple[int, ...], report: Callable[[str], None]) -> dict:
    """Measure ownership on the Kea Ridge example.

    :param root: the checkout.
    :param sizes: instances in each zone for which the store's calls are counted.
    :param report: takes a line of progress.
    :returns: the figures.
    """
    cfg_path = root / "examples" / "kea-ridge.json"
    report("losses on 9 instances, 12 upstreams, 3 availability zones")
    with Fleet(cfg_path, FleetOptions()) as fleet:
        fleet.start()
        result = OwnershipMeasurement(fleet, report).run()
    result["store_calls_per_s"] = {}
    for per_zone in sizes:
        count = per_zone * 3
        report(f"store calls at rest with {count} instances")
        result["store_calls_per_s"][str(count)] = _store_calls_at_rest(cfg_path, per_zone)
    return result


def _store_calls_at_rest(cfg_path: Path, per_zone: int) -> float:
    with Fleet(cfg_path, FleetOptions(instances_per_zone=per_zone)) as fleet:
        fleet.start()
        time.sleep(2 * _SETTLE_S)
        before = _count_calls(fleet)
        time.sleep(_REST_S)
        return round((_count_calls(fleet) - before) / _REST_S, 1)


def _count_calls(fleet: Fleet) -> int:
    host, port = fleet.layout.platform_listen
    counts = fleet.http.request("GET", f"http://{host}:{port}/standin/counts").json()
    return counts["reads"] + counts["writes"]


def _worst(results: list[LossResult]) -> float:
    return round(max(result.served_after_s for result in results), 3)


def _median(results: list[LossResult]) -> float:
    return round(statistics.median(result.served_after_s for result in results), 3)


def _moves(results: list[LossResult]) -> dict[str, int]:
    return {
        "moved": sum(result.moved for result in results),
        "least_possible": sum(result.least for result in results),
    }

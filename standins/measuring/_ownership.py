"""``scripts/measure ownership``: recovery from losses, configuration changes and store calls."""

import json
import statistics
import time
from collections.abc import Callable, Iterator
from pathlib import Path

from standins.fleet import Fleet, FleetOptions, InstanceLayout, UpstreamLayout, wait_for
from standins.traffic import (
    BackgroundCallers,
    BackgroundMix,
    OperationCatalog,
    audit_outcomes,
)

_LOSSES = 6
_CONFIG_CHANGES = 5
_IDLE_S = 10.0
_STABILIZATION_S = 3.0
_PAUSE_S = 0.1
_SEED = 7
_KEYS = tuple(f"key-{number:06d}" for number in range(48))
_OPERATIONS = (("hire-desk", "check-availability"),)


class OwnershipMeasurement:
    """Measures the recovery of a running fleet from losses of each kind, one at a time.

    :param fleet: a started fleet.
    :param report: called with each line of progress.
    """

    def __init__(self, fleet: Fleet, report: Callable[[str], None]) -> None:
        self._fleet = fleet
        self._report = report
        mix = BackgroundMix(_OPERATIONS, _KEYS, len(_KEYS), _PAUSE_S, _SEED)
        catalog = OperationCatalog(fleet.layout.document)
        self._callers = BackgroundCallers(fleet.entries, catalog, mix)

    def run(self) -> dict:
        """Simulate all losses and configuration changes and return the figures."""
        self._callers.start()
        self._wait_until_served(time.monotonic())
        recovery_times_s = {
            "upstream": [self._lose_upstream(upstream) for upstream in self._upstreams_to_lose()],
            "node": [self._lose_node(instance) for instance in self._instances_to_lose()],
            "leader": [self._lose_node(self._leader()) for _ in range(_LOSSES)],
        }
        change_times_s = [self._change_config(number) for number in range(_CONFIG_CHANGES)]
        outcomes = self._callers.stop()
        findings = audit_outcomes(outcomes, self._fleet.runs())
        return {
            "loss_to_served_s": {
                name: round(max(times_s), 3) for name, times_s in recovery_times_s.items()
            },
            "loss_to_served_median_s": {
                name: round(statistics.median(times_s), 3)
                for name, times_s in recovery_times_s.items()
            },
            "losses": _LOSSES,
            "owner_overlaps": len(self._fleet.overlaps()),
            "broken_promises": len(findings),
            "config_in_force_s": round(max(change_times_s), 3),
        }

    def _upstreams_to_lose(self) -> Iterator[UpstreamLayout]:
        hire_desk = [u for u in self._fleet.layout.upstreams if u.service == "hire-desk"]
        for number in range(_LOSSES):
            yield hire_desk[number % len(hire_desk)]

    def _instances_to_lose(self) -> Iterator[InstanceLayout]:
        for number in range(_LOSSES):
            yield self._fleet.layout.instances[number % len(self._fleet.layout.instances)]

    def _leader(self) -> InstanceLayout:
        found: list[InstanceLayout] = []

        def find() -> bool:
            instances = self._fleet.layout.instances
            found.extend(i for i in instances if self._fleet.node(i).dump()["leads"])
            return bool(found)

        wait_for(find, "a leader")
        return found[0]

    def _lose_upstream(self, upstream: UpstreamLayout) -> float:
        self._report(f"simulating the loss of {upstream.upstream_id}")
        moment = time.monotonic()
        self._fleet.crash_upstream(upstream)
        recovery_s = self._wait_until_served(moment)
        self._fleet.start_upstream(upstream)
        time.sleep(_STABILIZATION_S)
        return recovery_s

    def _lose_node(self, instance: InstanceLayout) -> float:
        self._report(f"simulating the loss of {instance.instance_id}")
        moment = time.monotonic()
        self._fleet.node(instance).process.kill()
        recovery_s = self._wait_until_served(moment)
        self._fleet.start_node(instance)
        self._fleet.wait_until_ready(instance)
        time.sleep(_STABILIZATION_S)
        return recovery_s

    def _wait_until_served(self, moment: float) -> float:
        """Wait until each key served a request sent after a moment; return the time in seconds."""
        expected = set(_KEYS)
        wait_for(lambda: expected <= self._callers.served_since(moment), "every key served")
        first_answered_at: dict[str, float] = {}
        for outcome in self._callers.answered_since(moment):
            if outcome.sent_at >= moment and outcome.family == "ran":
                first_answered_at.setdefault(outcome.key, outcome.answered_at)
        return max(first_answered_at.values()) - moment

    def _change_config(self, number: int) -> float:
        document = json.loads(self._fleet.layout.document)
        document["services"][0]["connections"] = 131 + number
        path = self._fleet.directory / f"change-{number}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        nodes = list(self._fleet.nodes.values())
        version = max(node.dump()["versions"]["configuration"] for node in nodes) + 1
        self._fleet.apply(path)
        accepted_at = time.monotonic()
        wait_for(
            lambda: all(n.dump()["versions"]["configuration"] >= version for n in nodes),
            f"configuration {version}",
        )
        return time.monotonic() - accepted_at


def measure_ownership(root: Path, sizes: tuple[int, ...], report: Callable[[str], None]) -> dict:
    """Measure ownership on the Kea Ridge example.

    :param root: the checkout.
    :param sizes: numbers of nodes in each zone for which idle store calls are measured.
    :param report: called with each line of progress.
    :returns: the figures.
    """
    cfg_path = root / "examples" / "kea-ridge.json"
    report("losses on 9 nodes, 12 upstreams, 3 availability zones")
    with Fleet(cfg_path, FleetOptions()) as fleet:
        fleet.start()
        result = OwnershipMeasurement(fleet, report).run()
    result["store_calls_per_s"] = {}
    for per_zone in sizes:
        count = per_zone * 3
        report(f"idle store calls with {count} nodes")
        result["store_calls_per_s"][str(count)] = _idle_store_calls_per_s(cfg_path, per_zone)
    return result


def _idle_store_calls_per_s(cfg_path: Path, per_zone: int) -> float:
    with Fleet(cfg_path, FleetOptions(instances_per_zone=per_zone)) as fleet:
        fleet.start()
        time.sleep(_STABILIZATION_S)
        before = fleet.server.calls("/api/")
        time.sleep(_IDLE_S)
        return round((fleet.server.calls("/api/") - before) / _IDLE_S, 1)

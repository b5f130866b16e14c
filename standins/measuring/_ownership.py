"""``scripts/measure ownership``: losses, configuration and store calls."""

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
_REST_S = 10.0
_SETTLE_S = 3.0
_PAUSE_S = 0.1
_SEED = 7
_KEYS = tuple(f"key-{number:06d}" for number in range(48))
_PROBED = (("hire-desk", "check-availability"),)


class OwnershipMeasurement:
    """Losses of one kind after another on a running fleet.

    :param fleet: a started fleet.
    :param report: takes a line of progress.
    """

    def __init__(self, fleet: Fleet, report: Callable[[str], None]) -> None:
        self._fleet = fleet
        self._report = report
        mix = BackgroundMix(_PROBED, _KEYS, len(_KEYS), _PAUSE_S, _SEED)
        catalog = OperationCatalog(fleet.layout.document)
        self._callers = BackgroundCallers(fleet.entries, catalog, mix)

    def run(self) -> dict:
        """Run all losses and configuration changes and return the figures."""
        self._callers.start()
        self._wait_until_served(time.monotonic())
        served_after = {
            "upstream": [self._lose_upstream(upstream) for upstream in self._upstreams()],
            "node": [self._lose_node(instance) for instance in self._nodes()],
            "leader": [self._lose_node(self._leader()) for _ in range(_LOSSES)],
        }
        changes = [self._change_config(number) for number in range(_CONFIG_CHANGES)]
        outcomes = self._callers.stop()
        findings = audit_outcomes(outcomes, self._fleet.runs())
        return {
            "loss_to_served_s": {
                name: round(max(all_s), 3) for name, all_s in served_after.items()
            },
            "loss_to_served_median_s": {
                name: round(statistics.median(all_s), 3) for name, all_s in served_after.items()
            },
            "losses": _LOSSES,
            "owner_overlaps": len(self._fleet.overlaps()),
            "broken_promises": len(findings),
            "config_in_force_s": round(max(changes), 3),
        }

    def _upstreams(self) -> Iterator[UpstreamLayout]:
        hire = [u for u in self._fleet.layout.upstreams if u.service == "hire-desk"]
        for number in range(_LOSSES):
            yield hire[number % len(hire)]

    def _nodes(self) -> Iterator[InstanceLayout]:
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
        self._report(f"losing {upstream.upstream_id}")
        moment = time.monotonic()
        self._fleet.crash_upstream(upstream)
        served_after_s = self._wait_until_served(moment)
        self._fleet.start_upstream(upstream)
        time.sleep(_SETTLE_S)
        return served_after_s

    def _lose_node(self, instance: InstanceLayout) -> float:
        self._report(f"losing {instance.instance_id}")
        moment = time.monotonic()
        self._fleet.node(instance).process.kill()
        served_after_s = self._wait_until_served(moment)
        self._fleet.start_node(instance)
        self._fleet.wait_until_ready(instance)
        time.sleep(_SETTLE_S)
        return served_after_s

    def _wait_until_served(self, moment: float) -> float:
        """Wait until each key got an answer to a request sent after a moment; return how long."""
        wanted = set(_KEYS)
        wait_for(lambda: wanted <= self._callers.served_since(moment), "every key served")
        first: dict[str, float] = {}
        for outcome in self._callers.answered_since(moment):
            if outcome.sent_at >= moment and outcome.family == "ran":
                first.setdefault(outcome.key, outcome.answered_at)
        return max(first.values()) - moment

    def _change_config(self, number: int) -> float:
        document = json.loads(self._fleet.layout.document)
        document["services"][0]["connections"] = 131 + number
        path = self._fleet.directory / f"change-{number}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        nodes = list(self._fleet.nodes.values())
        version = max(node.dump()["versions"]["configuration"] for node in nodes) + 1
        self._fleet.apply(path)
        accepted = time.monotonic()
        wait_for(
            lambda: all(n.dump()["versions"]["configuration"] >= version for n in nodes),
            f"configuration {version}",
        )
        return time.monotonic() - accepted


def measure_ownership(root: Path, sizes: tuple[int, ...], report: Callable[[str], None]) -> dict:
    """Measure ownership on the Kea Ridge example.

    :param root: the checkout.
    :param sizes: nodes in each zone for which the store's calls are counted.
    :param report: takes a line of progress.
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
        report(f"store calls at rest with {count} nodes")
        result["store_calls_per_s"][str(count)] = _store_calls_at_rest(cfg_path, per_zone)
    return result


def _store_calls_at_rest(cfg_path: Path, per_zone: int) -> float:
    with Fleet(cfg_path, FleetOptions(instances_per_zone=per_zone)) as fleet:
        fleet.start()
        time.sleep(_SETTLE_S)
        before = fleet.server.calls("/api/")
        time.sleep(_REST_S)
        return round((fleet.server.calls("/api/") - before) / _REST_S, 1)

"""A fleet with callers on every key, into which a test injects faults."""

import json
import subprocess
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from urllib3.exceptions import HTTPError

from foxtailshunt.errors import Family
from foxtailshunt.fleet import Member, rank_by_rendezvous
from foxtailshunt.routing import key_number
from standins.fleet import (
    Fleet,
    FleetOptions,
    InstanceLayout,
    ManagedProcess,
    NodeProcess,
    UpstreamLayout,
    wait_for,
)
from standins.keyowner import KeyOwner
from standins.load import Outcome
from standins.metadata import StoreFault
from standins.traffic import (
    BackgroundCallers,
    BackgroundMix,
    Caller,
    CallerRequest,
    OperationCatalog,
    audit_outcomes,
)

_DATA = Path(__file__).resolve().parent.parent / "data"
_KEYS = tuple(f"key-{number:03d}" for number in range(24))
_SERVICE = "desk"
_OPERATIONS = ((_SERVICE, "look-up"), (_SERVICE, "pay"))
#: Pause of a caller between two requests, in seconds.
_CALLER_PAUSE_S = 0.06
#: Pause that keeps the load too low for rebalancing moves, even on a busy machine.
_LOW_RATE_PAUSE_S = 0.3
_SEED = 7
_CONFIG_KEY = "foxtailshunt/config"
_STOP_TIMEOUT_S = 30.0
#: Time without a move after which the owners are regarded as stable, in seconds.
_STABLE_S = 4.0
_STABLE_POLL_S = 0.1
_STABLE_TIMEOUT_S = 60.0


class FleetSubject:
    """A running fleet with its callers and the state that the checks need.

    :param name: name of a configuration in ``features/data``.
    :param proxied: whether connections pass through the fault-injecting proxy.
    :param low_rate: whether callers send so rarely that upstreams stay nearly idle.
    """

    def __init__(self, name: str, proxied: bool, low_rate: bool = False) -> None:
        self._pause_s = _LOW_RATE_PAUSE_S if low_rate else _CALLER_PAUSE_S
        self.fleet = Fleet(_DATA / f"{name}.json", FleetOptions(proxied=proxied))
        self.callers: BackgroundCallers
        self.fault_at = 0.0
        self.chosen_upstream: UpstreamLayout
        self.chosen_instance: InstanceLayout
        self.chosen_process: ManagedProcess
        self.owners_before_replacement: dict[str, str] = {}
        self.term_before_fault = 0
        self.operator_results: list[subprocess.CompletedProcess[str]] = []
        self.version_before_race = 0
        self._change_count = 0

    def start(self) -> None:
        """Start the fleet and its callers and wait until every key has been served."""
        self.fleet.start()
        catalog = OperationCatalog(self.fleet.layout.document)
        mix = BackgroundMix(_OPERATIONS, _KEYS, len(_KEYS), self._pause_s, _SEED)
        self.callers = BackgroundCallers(self.fleet.entries, catalog, mix)
        self.callers.start()
        self.wait_until_served(time.monotonic())

    def close(self) -> None:
        """Stop the fleet."""
        self.fleet.close()

    def mark_fault(self) -> None:
        """Record the current time as the start of a fault."""
        self.fault_at = time.monotonic()

    def wait_until_served(self, sent_after: float, keys: frozenset[str] = frozenset(_KEYS)) -> None:
        """Wait until each key has had a correct response to a request sent after a given time.

        :param sent_after: time on the monotonic clock, in seconds.
        :param keys: the keys.
        """
        wait_for(lambda: keys <= self.callers.served_since(sent_after), "every key served")

    def guarantee_violations(self) -> list[str]:
        """Stop the callers and return a line for each violated guarantee."""
        outcomes = self.callers.stop()
        runs = self.fleet.runs()
        assert outcomes and runs, "no request was sent or run, so the audit would prove nothing"
        assert all(owner.grants.history for owner in self.keyed_owners()), "no key was granted"
        findings = audit_outcomes(outcomes, runs)
        lines = [f"{finding.fault.value}: {finding.request_id}" for finding in findings]
        return lines + self.fleet.overlaps()

    def keyed_owners(self) -> Iterable[KeyOwner]:
        """Return the initially started upstreams whose service is divided by key."""
        count = len(self.fleet.layout.upstreams)
        return (owner for owner in self.fleet.owners[:count] if owner.keyed)

    def dump(self) -> dict[str, Any]:
        """Return the leader's dump, or the one with the newest term if there is no leader."""
        dumps = self._dumps()
        leading = [dump for dump in dumps if dump["leads"]]
        return max(leading or dumps, key=lambda dump: dump["versions"]["term"])

    def keys_of(self, upstream: UpstreamLayout) -> int:
        """Return how many keys an upstream owns, is about to own or has yet to hand over.

        :param upstream: the upstream.
        """
        return sum(
            item["last"] - item["first"] + 1
            for item in self.dump()["ranges"]
            if upstream.upstream_id in (item["owner"], item["giver"])
        )

    def wait_until_owners_stable(self) -> None:
        """Wait until no key has changed its owner for some seconds."""
        before, unchanged_since = self.owners(), time.monotonic()
        end = unchanged_since + _STABLE_TIMEOUT_S
        while time.monotonic() - unchanged_since < _STABLE_S:
            assert time.monotonic() < end, "the owners of the keys keep changing"
            time.sleep(_STABLE_POLL_S)
            current = self.owners()
            if current != before:
                before, unchanged_since = current, time.monotonic()

    def owners(self) -> dict[str, str]:
        """Return the owner of each key that the callers use."""
        ranges = self.dump()["ranges"]
        return {
            key: item["owner"]
            for key in _KEYS
            for item in ranges
            if item["first"] <= key_number(key) <= item["last"]
        }

    def busiest_upstream(self, zone: str) -> UpstreamLayout:
        """Return the upstream of a zone that owns most of the keys that the callers use.

        :param zone: the availability zone.
        """
        owned = list(self.owners().values())
        upstreams = self.fleet.layout.upstreams_of(zone)
        busiest = max(upstreams, key=lambda upstream: owned.count(upstream.upstream_id))
        assert busiest.upstream_id in owned, f"no upstream of {zone} owns a key"
        return busiest

    def sender_of(self, upstream: UpstreamLayout) -> InstanceLayout:
        """Return the instance whose node sends to an upstream.

        :param upstream: the upstream.
        """
        members = [
            Member(item["instance_id"], item["boot_id"], item["zone"], tuple(item["address"]))
            for item in self.dump()["members"]
            if item["zone"] == upstream.zone and not item["leaving"]
        ]
        sender = rank_by_rendezvous(upstream.upstream_id, members)[0]
        return self.instance(sender.instance_id)

    def instance(self, instance_id: str) -> InstanceLayout:
        """Return the instance with an id.

        :param instance_id: the id.
        """
        return next(item for item in self.fleet.layout.instances if item.instance_id == instance_id)

    def leader(self) -> InstanceLayout:
        """Wait for a leader and return its instance."""
        leader_ids: list[str] = []

        def find_leader() -> bool:
            leader_ids.extend(dump["instance"] for dump in self._dumps() if dump["leads"])
            return bool(leader_ids)

        wait_for(find_leader, "a leader")
        return self.instance(leader_ids[0])

    def term(self) -> int:
        """Return the newest term that a running node knows."""
        return max(dump["versions"]["term"] for dump in self._dumps())

    def all_at_version(self, version: int) -> bool:
        """Return whether a configuration is in force at every node.

        :param version: version of the configuration.
        """
        return all(self._version_at(node) == version for node in self.fleet.nodes.values())

    def interrupted_requests(self) -> list[Outcome]:
        """Return the requests since the fault that an upstream ran but whose responses were lost.

        A request that arrives while the node closes its idle connection is not forwarded to an
        upstream and therefore is not included.
        """
        ran = set(self.fleet.runs())
        return [
            outcome
            for outcome in self.callers.outcomes()
            if outcome.sent_at >= self.fault_at
            and outcome.family == "unknown"
            and outcome.request_id in ran
        ]

    def newest_version(self) -> int:
        """Return the version of the configuration in the store."""
        record = self.fleet.store.read(_CONFIG_KEY)
        assert record is not None
        return int(json.loads(record.value)["version"])

    def apply_change(self) -> None:
        """Apply a configuration that differs from all earlier ones."""
        self.fleet.apply(self._write_change())

    def apply_without(self, upstream: UpstreamLayout) -> None:
        """Apply a configuration that no longer contains an upstream.

        :param upstream: the upstream.
        """
        document = json.loads(self.fleet.layout.document)
        for service in document["services"]:
            kept = [item for item in service["upstreams"] if item["id"] != upstream.upstream_id]
            service["upstreams"] = kept
        path = self.fleet.directory / "without.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        self.fleet.apply(path)

    def race_operators(self, count: int) -> None:
        """Have several operators apply different configurations concurrently.

        :param count: number of operators.
        """
        self.version_before_race = self.newest_version()
        paths = [self._write_change() for _ in range(count)]
        store = self.fleet.store_text
        with ThreadPoolExecutor(count) as pool:
            runs = [
                pool.submit(self.fleet.run_operator, "apply", str(path), "--store", store)
                for path in paths
            ]
            self.operator_results = [run.result() for run in runs]

    def set_store_outage(self, fault: StoreFault) -> None:
        """Start or end an outage of the store for every node; operators can still reach it.

        :param fault: how the store fails; ``NONE`` ends the outage.
        """
        for instance in self.fleet.layout.instances:
            self.fleet.server.faults_by_host[instance.host] = fault

    def lose_next_config_response(self) -> None:
        """Make the store lose the response to the next write of the configuration."""
        self.fleet.server.responses_to_lose_by_key[_CONFIG_KEY] = 1

    def cut_from_store(self, instances: list[InstanceLayout]) -> None:
        """Block the connections of instances to the store.

        :param instances: the instances.
        """
        for instance in instances:
            self.fleet.proxy.cut({instance.host}, self.fleet.layout.store_advertised)

    def cut_from_other_zones(self, zone: str) -> None:
        """Block all connections between a zone and the others, in both directions.

        :param zone: the availability zone.
        """
        layout = self.fleet.layout
        inside = layout.instances_of(zone)
        outside = [instance for instance in layout.instances if instance.zone != zone]
        self._cut_connections(inside, outside, [u for u in layout.upstreams if u.zone != zone])
        self._cut_connections(outside, inside, layout.upstreams_of(zone))

    def restore_connectivity(self) -> None:
        """Unblock all connections."""
        self.fleet.proxy.heal()

    def wait_until_instance_serves(
        self, instance: InstanceLayout, service: str, operation: str, keys: Iterable[str]
    ) -> None:
        """Wait until an instance's node serves keys.

        :param instance: the instance.
        :param service: the service.
        :param operation: the operation.
        :param keys: the keys.
        """
        caller = Caller(instance.callers, OperationCatalog(self.fleet.layout.document))
        for key in keys:
            req = CallerRequest(service, operation, key, None)
            wait_for(
                lambda req=req: caller.send(req).family is Family.RAN, f"key {key} at {instance}"
            )
        caller.close()

    def families_of(self, instance: InstanceLayout, count: int) -> list[str]:
        """Send requests to an instance and return the result family of each response.

        :param instance: the instance.
        :param count: number of requests.
        """
        caller = Caller(instance.callers, OperationCatalog(self.fleet.layout.document))
        responses = [
            caller.send(CallerRequest(_SERVICE, "look-up", _KEYS[number % len(_KEYS)], None))
            for number in range(count)
        ]
        caller.close()
        return [response.family.value for response in responses]

    def replace_gracefully(self, instance: InstanceLayout) -> None:
        """Stop an instance's node gracefully and start a new one.

        :param instance: the instance.
        """
        node = self.fleet.node(instance)
        node.process.terminate()
        assert node.process.wait(_STOP_TIMEOUT_S) == 0
        self.fleet.start_node(instance)
        self.fleet.wait_until_ready(instance)

    def print_state(self) -> None:
        """Print each node's dump and the end of its log."""
        for node in self.fleet.nodes.values():
            print(f"--- {node.name}, exit code {node.process.exit_code}")
            print(node.process.log()[-3000:])
            try:
                print(json.dumps(node.dump()))
            except (HTTPError, OSError) as exc:
                print(f"--- {node.name} returned no dump: {exc}")

    def _dumps(self) -> list[dict[str, Any]]:
        dumps = []
        for node in self.fleet.running_nodes():
            try:
                dumps.append(node.dump())
            except (HTTPError, OSError):
                # The node is starting or stopping.
                continue
        assert dumps, "no node returns a dump"
        return dumps

    def _version_at(self, node: NodeProcess) -> int | None:
        try:
            return int(node.dump()["versions"]["configuration"])
        except (HTTPError, OSError):
            return None

    def _cut_connections(
        self,
        sources: list[InstanceLayout],
        targets: list[InstanceLayout],
        upstreams: list[UpstreamLayout],
    ) -> None:
        hosts = {source.host for source in sources}
        for target in targets:
            self.fleet.proxy.cut(hosts, target.peer_advertised)
        for upstream in upstreams:
            self.fleet.proxy.cut(hosts, upstream.advertised_address)

    def _write_change(self) -> Path:
        self._change_count += 1
        document = json.loads(self.fleet.layout.document)
        document["services"][0]["connections"] = 40 + self._change_count
        path = self.fleet.directory / f"change-{self._change_count}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        return path

"""A fleet under faults with callers on every key."""

import json
import subprocess
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from urllib3.exceptions import HTTPError

from foxtailshunt.errors import Family
from foxtailshunt.kvstore import HttpPlatform
from foxtailshunt.ownership import Address, slot_of_key
from foxtailshunt.telemetry import Metrics
from standins.fleet import (
    PROGRAMS,
    Fleet,
    FleetOptions,
    InstanceLayout,
    ManagedProcess,
    UpstreamLayout,
    wait_for,
)
from standins.load import Outcome
from standins.measuring._proof import Proof, prove_fleet
from standins.measuring._tables import TableReader
from standins.records import RunRecord, read_records
from standins.traffic import (
    BackgroundCallers,
    BackgroundMix,
    Caller,
    CallerRequest,
    OperationCatalog,
)

_DATA = Path(__file__).resolve().parent.parent / "data"
_KEYS = tuple(f"key-{number:03d}" for number in range(24))
_OPERATIONS = (("desk", "look-up"), ("desk", "pay"))
_PAUSE_S = 0.02
_SEED = 7
_SLOTS = 32
_CONFIG_KEY = "foxtailshunt/config"
_STOP_TIMEOUT_S = 30.0
_REST_S = 0.8
_REST_POLL_S = 0.1
_REST_LIMIT_S = 60.0


class FleetSubject:
    """A running fleet, its callers, and what to check at the end.

    :param name: name of a configuration in ``features/data``.
    :param proxied: whether links run through the fault-injecting proxy.
    """

    def __init__(self, name: str, proxied: bool) -> None:
        self.fleet = Fleet(_DATA / f"{name}.json", FleetOptions(proxied=proxied))
        self.tables: TableReader
        self.callers: BackgroundCallers
        self.fault_at = 0.0
        self.chosen_upstream: UpstreamLayout
        self.chosen_instance: InstanceLayout
        self.chosen_process: ManagedProcess
        self.noted_owners: dict[tuple[str, int], str] = {}
        self.operator_results: list[subprocess.CompletedProcess[str]] = []
        self.version_before_race = 0
        self._changes = 0

    def start(self) -> None:
        """Start the fleet and its callers and wait until every key was served."""
        self.fleet.start()
        self.tables = TableReader(self.fleet)
        self.platform = HttpPlatform((self.fleet.layout.platform_listen,), Metrics())
        catalog = OperationCatalog(self.fleet.layout.document)
        mix = BackgroundMix(_OPERATIONS, _KEYS, len(_KEYS), _PAUSE_S, _SEED)
        self.callers = BackgroundCallers(self.fleet.entries, catalog, mix)
        self.callers.start()
        self.wait_until_served(time.monotonic())
        self._wait_until_at_rest()

    def close(self) -> None:
        """End everything."""
        self.fleet.close()

    def mark_fault(self) -> None:
        """Note that a fault begins now."""
        self.fault_at = time.monotonic()

    def wait_until_served(self, moment: float, keys: frozenset[str] = frozenset(_KEYS)) -> None:
        """Wait until keys got a right answer to a request sent after a moment.

        :param moment: seconds of the monotonic clock.
        :param keys: the keys.
        """
        wait_for(lambda: keys <= self.callers.served_since(moment), "every key served")

    def prove(self) -> Proof:
        """Stop the callers and check every record."""
        outcomes = self.callers.stop()
        return prove_fleet(self.fleet, outcomes)

    def busiest_upstream(self, zone: str) -> UpstreamLayout:
        """Return an upstream of a zone that owns slots.

        :param zone: the availability zone.
        """
        picture = self.tables.read()
        owning = [
            u for u in self.fleet.layout.upstreams_of(zone) if picture.slots_of(u.upstream_id)
        ]
        return max(owning, key=lambda upstream: picture.slots_of(upstream.upstream_id))

    def dispatcher_of(self, upstream: UpstreamLayout) -> InstanceLayout:
        """Return the instance whose dispatcher stands first for an upstream.

        :param upstream: the upstream.
        """
        row = self.tables.read_table(upstream.zone).rows[upstream.upstream_id]
        instances = self.fleet.layout.instances
        return next(i for i in instances if i.instance_id == row.dispatchers[0])

    def active_assigner(self, zone: str) -> InstanceLayout:
        """Return the instance whose assigner is active in a zone.

        :param zone: the availability zone.
        """
        found: list[InstanceLayout] = []
        wait_for(lambda: self._find_active(zone, found), f"an active assigner in {zone}")
        return found[0]

    def all_at_version(self, version: int, instances: list[InstanceLayout]) -> bool:
        """Return whether every process of some instances has a configuration in force.

        :param version: the version.
        :param instances: the instances.
        """
        return all(
            self._version_at(instance.operator_address(program)) == version
            for instance in instances
            for program in PROGRAMS
        )

    def cut_requests(self) -> list[Outcome]:
        """Return the requests of the time since the fault whose outcome callers do not know."""
        outcomes = self.callers.outcomes()
        return [o for o in outcomes if o.sent_at >= self.fault_at and o.family == "unknown"]

    def _version_at(self, address: Address) -> int | None:
        try:
            return int(self.fleet.dump(address)["cfg_version"])
        except (HTTPError, OSError):
            return None

    def newest_version(self) -> int:
        """Return the version of the configuration in the store."""
        record = self.platform.read(_CONFIG_KEY)
        assert record is not None
        return int(json.loads(record.value)["version"])

    def apply_change(self) -> None:
        """Apply a configuration that differs from all before."""
        self.fleet.apply(self._write_change())

    def race_operators(self, count: int) -> None:
        """Let operators apply different configurations at the same time.

        :param count: number of operators.
        """
        self.version_before_race = self.newest_version()
        paths = [self._write_change() for _ in range(count)]
        platform = self.fleet.platform_text
        with ThreadPoolExecutor(count) as pool:
            runs = [
                pool.submit(self.fleet.run_operator, "apply", str(path), "--platform", platform)
                for path in paths
            ]
            self.operator_results = [run.result() for run in runs]

    def set_platform_faults(self, **faults: object) -> None:
        """Set faults of the platform stand-in.

        :param faults: fields of its fault document.
        """
        self.fleet.control(self.fleet.layout.platform_listen, "/standin/faults", faults)

    def set_store_outage(self, outage: str) -> None:
        """Begin or end an outage of the store for every instance; the features still reach it.

        :param outage: an outage of the platform stand-in, ``none`` to end it.
        """
        hosts = [instance.host for instance in self.fleet.layout.instances]
        self.set_platform_faults(caller_outages=dict.fromkeys(hosts, outage))

    def lose_next_config_answer(self) -> None:
        """Let the platform lose the answer to the next write of the configuration."""
        self.set_platform_faults(lose_next_answers=1, lose_answers_of=_CONFIG_KEY)

    def list_as_leaving(self, upstream: UpstreamLayout) -> None:
        """Let the platform's list show an upstream as leaving.

        :param upstream: the upstream.
        """
        nodes = [{"Node": upstream.upstream_id, "state": "leaving"}]
        self.fleet.control(self.fleet.layout.platform_listen, "/standin/instances", nodes)

    def cut_from_platform(self, instances: list[InstanceLayout]) -> None:
        """Cut instances off from the platform.

        :param instances: the instances.
        """
        for instance in instances:
            self.fleet.proxy.cut({instance.host}, self.fleet.layout.platform_known)

    def cut_from_other_zones(self, zone: str) -> None:
        """Cut every link between a zone and the others, in both directions.

        :param zone: the availability zone.
        """
        layout = self.fleet.layout
        inside = layout.instances_of(zone)
        outside = [instance for instance in layout.instances if instance.zone != zone]
        self._cut_side(inside, outside, [u for u in layout.upstreams if u.zone != zone])
        self._cut_side(outside, inside, layout.upstreams_of(zone))

    def heal(self) -> None:
        """End all cuts."""
        self.fleet.proxy.heal()

    def wait_until_zone_served(self, zone: str) -> None:
        """Wait until each key of a zone is served through each entry of the zone.

        :param zone: the availability zone.
        """
        for instance in self.fleet.layout.instances_of(zone):
            self.wait_until_entry_serves(instance)

    def wait_until_entry_serves(self, instance: InstanceLayout) -> None:
        """Wait until an instance's entry serves every key of its zone.

        :param instance: the instance.
        """
        catalog = OperationCatalog(self.fleet.layout.document)
        caller = Caller(instance.known_address("entry"), catalog)
        for key in self._keys_of(instance.zone):
            req = CallerRequest("desk", "look-up", key, None)
            wait_for(lambda req=req: caller.send(req).family is Family.RAN, f"key {key}")
        caller.close()

    def replace_gracefully(self, instance: InstanceLayout) -> None:
        """Stop an instance's programs and start them again.

        :param instance: the instance.
        """
        for program in PROGRAMS:
            self.fleet.process(instance, program).terminate()
        for program in PROGRAMS:
            assert self.fleet.process(instance, program).wait(_STOP_TIMEOUT_S) == 0
        self.fleet.start_instance(instance)
        wait_for(lambda: self.fleet.entry_ready(instance), instance.instance_id)

    def runs_at(self, upstream: UpstreamLayout) -> list[RunRecord]:
        """Return the runs that an upstream recorded.

        :param upstream: the upstream.
        """
        paths = self.fleet.records_of(upstream.upstream_id)
        return [record for record in read_records(paths) if isinstance(record, RunRecord)]

    def _wait_until_at_rest(self) -> None:
        """Wait until owners and senders have been the same for a while, evenly spread.

        A sender that is being replaced for balance answers some requests "unknown".
        """
        before = self.tables.read(), self._senders()
        unchanged_since = time.monotonic()
        end = unchanged_since + _REST_LIMIT_S
        while time.monotonic() - unchanged_since < _REST_S:
            assert time.monotonic() < end, "the fleet does not come to rest"
            time.sleep(_REST_POLL_S)
            now = self.tables.read(), self._senders()
            whole = len(now[0].owners) == sum(self.fleet.layout.slot_counts.values())
            if now != before or not whole or not self._is_even(now[1]):
                before, unchanged_since = now, time.monotonic()

    def _senders(self) -> dict[str, tuple[str, ...]]:
        """Return the first dispatcher of each upstream, by zone."""
        return {
            zone: tuple(
                row.dispatchers[0] if row.dispatchers else ""
                for _, row in sorted(self.tables.read_table(zone).rows.items())
            )
            for zone in self.fleet.layout.zones
        }

    def _is_even(self, senders: dict[str, tuple[str, ...]]) -> bool:
        for zone, names in senders.items():
            instances = [item.instance_id for item in self.fleet.layout.instances_of(zone)]
            counts = [names.count(instance_id) for instance_id in instances]
            if max(counts) - min(counts) > 1:
                return False
        return True

    def _keys_of(self, zone: str) -> list[str]:
        owners = self.tables.read().owners
        zones = {u.upstream_id: u.zone for u in self.fleet.layout.upstreams}
        return [key for key in _KEYS if zones[owners["desk", slot_of_key(key, _SLOTS)]] == zone]

    def _cut_side(
        self,
        sources: list[InstanceLayout],
        targets: list[InstanceLayout],
        upstreams: list[UpstreamLayout],
    ) -> None:
        hosts = {source.host for source in sources}
        for target in targets:
            for program in ("dispatcher", "assigner"):
                self.fleet.proxy.cut(hosts, target.known_address(program))
        for upstream in upstreams:
            self.fleet.proxy.cut(hosts, upstream.known_address)

    def _write_change(self) -> Path:
        self._changes += 1
        document = json.loads(self.fleet.layout.document)
        document["services"][0]["retry_budget"] = 0.1 + self._changes / 100
        path = self.fleet.directory / f"change-{self._changes}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        return path

    def _find_active(self, zone: str, found: list[InstanceLayout]) -> bool:
        for instance in self.fleet.layout.instances_of(zone):
            process = self.fleet.process(instance, "assigner")
            if not process.running or process.frozen:
                continue
            if self.fleet.dump(instance.operator_address("assigner"))["active"]:
                found.append(instance)
                return True
        return False

    def print_state(self) -> None:
        """Show each process's dump and the end of its log."""
        for process in self.fleet.processes.values():
            print(f"--- {process.name}, exit code {process.exit_code}\n{process.log()[-1500:]}")
        for instance in self.fleet.layout.instances:
            for program in PROGRAMS:
                self._print_dump(instance, program)

    def _print_dump(self, instance: InstanceLayout, program: str) -> None:
        try:
            dump = self.fleet.dump(instance.operator_address(program))
        except (HTTPError, OSError) as exc:
            print(f"--- {instance.instance_id} {program} gave no dump: {exc}")
        else:
            print(f"--- {instance.instance_id} {program}\n{json.dumps(dump)}")

"""Fakes and builders shared by the steps of membership and of the assigner."""

import json
import random
import time
from collections.abc import Callable

from foxtailshunt.membership import AssignerStatus, MemberRegistry, SyncAgent, SyncService, View
from foxtailshunt.ownership import Address
from foxtailshunt.protocol import Member, ProtocolServer, UpstreamReport
from foxtailshunt.protocol.gen import Assigner
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import MonotonicClock

_PATIENCE_S = 20.0
_POLL_S = 0.01


class ManualClock:
    """A clock that moves only when a test says so."""

    def __init__(self) -> None:
        self.time_s = 1000.0

    def now(self) -> float:
        return self.time_s

    def wall_time(self) -> float:
        return self.time_s


def random_address() -> Address:
    """Return a loopback address that parallel runs hardly share."""
    octets = [random.randint(1, 254) for _ in range(3)]
    return (f"127.{octets[0]}.{octets[1]}.{octets[2]}", random.randint(20_000, 60_000))


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a state, with a generous bound."""
    deadline = time.monotonic() + _PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline, "the state did not come"
        time.sleep(_POLL_S)


def make_member(instance_id: str, role: str, zone: str = "wanaka", **changes: object) -> Member:
    """Return a member with plain values."""
    values: dict[str, object] = {
        "instance_id": instance_id,
        "role": role,
        "zone": zone,
        "host": "127.0.0.1",
        "port": 1,
        "boot_id": f"boot-{instance_id}-{role}",
        "stopping": False,
        "cfg_version": 0,
        "operator_address": "",
    }
    return Member(**{**values, **changes})


def make_cfg_document(
    upstreams: dict[str, str],
    slots: int = 8,
    max_moves: int = 16,
    zones: tuple[str, ...] = (),
) -> str:
    """Return a configuration with one service.

    :param upstreams: zone by upstream id; an id that ends in ``-plain`` checks no fences.
    """
    named = sorted(set(upstreams.values()) | set(zones)) or ["wanaka"]
    operation = {
        "name": "get",
        "method": "GET",
        "path": "/k/{key}",
        "rank": "urgent",
        "idempotent": True,
        "deadline_ms": 1000,
    }
    entries = [
        {
            "id": upstream_id,
            "zone": zone,
            "address": f"127.0.0.1:{1000 + number}",
            "checks_fences": not upstream_id.endswith("-plain"),
        }
        for number, (upstream_id, zone) in enumerate(sorted(upstreams.items()))
    ]
    return json.dumps(
        {
            "fleet": "test",
            "zones": named,
            "services": [
                {
                    "name": "desk",
                    "slots": slots,
                    "upstreams": entries,
                    "operations": [operation],
                    "max_moves": max_moves,
                }
            ],
        }
    )


class SyncNode:
    """The membership parts of one assigner, served on a real socket."""

    def __init__(self, name: str, zone: str, address: Address, seeds: tuple[Address, ...]) -> None:
        clock = MonotonicClock()
        self.address = address
        self.active = False
        self.reports: list[UpstreamReport] = []
        self.view = View(Metrics())
        self.registry = MemberRegistry(clock, Metrics())
        self._name, self._zone = name, zone
        self._service = SyncService(
            self.member,
            self.view,
            self.registry,
            lambda sender, reports: self.reports.extend(reports),
            lambda: AssignerStatus(self.active, 0.0),
            clock,
        )
        self._server = ProtocolServer(Assigner, self._service, address, lambda: None)
        self.agent = SyncAgent(
            self.view,
            self.member,
            seeds,
            list,
            zone,
            Metrics(),
            own_address=address,
            registry=self.registry,
        )

    def member(self) -> Member:
        host, port = self.address
        return make_member(self._name, "assigner", self._zone, host=host, port=port)

    def start(self) -> None:
        self._server.start()
        self.agent.start()

    def stop(self) -> None:
        self.agent.stop()
        self._service.stop()
        self._server.stop(grace_s=1.0)

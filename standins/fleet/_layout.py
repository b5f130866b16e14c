"""Addresses of a fleet: one loopback IP number for each instance and upstream."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from foxtailshunt.ownership import Address

_ENTRY_PORT = 8000
_DISPATCHER_PORT = 9000
_ASSIGNER_PORT = 9200
_OPERATOR_OFFSET = 100
#: A proxied process listens this far above the port that it is known by.
_BEHIND_PROXY_OFFSET = 500
_PLATFORM_PORT = 8500
_FIRST_INSTANCE_HOST = 10


@dataclass(frozen=True, slots=True)
class InstanceLayout:
    """Addresses of one instance."""

    #: Unique in the fleet.
    instance_id: str
    #: The availability zone.
    zone: str
    #: IP number of the instance.
    host: str
    #: Whether its processes are reached through the proxy.
    proxied: bool

    def known_address(self, program: str) -> Address:
        """Return the address that others use.

        :param program: ``entry``, ``dispatcher`` or ``assigner``.
        """
        ports = {
            "entry": _ENTRY_PORT,
            "dispatcher": _DISPATCHER_PORT,
            "assigner": _ASSIGNER_PORT,
        }
        return self.host, ports[program]

    def listen_address(self, program: str) -> Address:
        """Return the address that the program binds.

        :param program: ``entry``, ``dispatcher`` or ``assigner``.
        """
        host, port = self.known_address(program)
        behind = self.proxied and program != "entry"
        return host, port + (_BEHIND_PROXY_OFFSET if behind else 0)

    def operator_address(self, program: str) -> Address:
        """Return the operators' address of a program.

        :param program: ``entry``, ``dispatcher`` or ``assigner``.
        """
        host, port = self.known_address(program)
        return host, port + _OPERATOR_OFFSET


@dataclass(frozen=True, slots=True)
class UpstreamLayout:
    """Addresses of one upstream."""

    #: Id in the configuration.
    upstream_id: str
    #: The service that it serves.
    service: str
    #: The availability zone.
    zone: str
    #: The address in the configuration.
    known_address: Address
    #: The address that the stand-in binds.
    listen_address: Address
    #: Requests it works on at one time.
    slots: int
    #: False if it obeys any sender.
    checks_fences: bool


class Layout:
    """Addresses of a whole fleet, derived from a configuration file.

    :param cfg_path: the configuration file; its addresses all start with ``127.N.``.
    :param net: replaces N, so that fleets can run side by side.
    :param instances_per_zone: instances in each availability zone.
    :param proxied: whether peers, upstreams and platform are reached through the proxy.
    """

    def __init__(self, cfg_path: Path, net: int, instances_per_zone: int, proxied: bool) -> None:
        self.net = net
        self.proxied = proxied
        self.document = _rebase(cfg_path.read_text(encoding="utf-8"), net)
        self._cfg = json.loads(self.document)
        self.zones: tuple[str, ...] = tuple(self._cfg["zones"])
        self.instances = self._make_instances(instances_per_zone)
        self.upstreams = self._make_upstreams()

    @property
    def slot_counts(self) -> dict[str, int]:
        """Return the number of slots by service."""
        return {service["name"]: service["slots"] for service in self._cfg["services"]}

    @property
    def platform_known(self) -> Address:
        """Return the platform's address as the settings name it."""
        return f"127.{self.net}.0.1", _PLATFORM_PORT

    @property
    def platform_listen(self) -> Address:
        """Return the address that the platform stand-in binds."""
        host, port = self.platform_known
        return host, port + (_BEHIND_PROXY_OFFSET if self.proxied else 0)

    def settings_of(self, instance: InstanceLayout) -> dict[str, Any]:
        """Return the settings document of an instance.

        :param instance: an instance of this layout.
        """
        peers = [_text(peer.known_address("assigner")) for peer in self.instances]
        document: dict[str, Any] = {
            "instance_id": instance.instance_id,
            "zone": instance.zone,
            "platform": [_text(self.platform_known)],
            "peers": peers,
            "source_host": instance.host,
        }
        for program in ("entry", "dispatcher", "assigner"):
            document[program] = self._program_settings(instance, program)
        return document

    def upstreams_of(self, zone: str) -> list[UpstreamLayout]:
        """Return the upstreams of a zone.

        :param zone: the availability zone.
        """
        return [upstream for upstream in self.upstreams if upstream.zone == zone]

    def instances_of(self, zone: str) -> list[InstanceLayout]:
        """Return the instances of a zone.

        :param zone: the availability zone.
        """
        return [instance for instance in self.instances if instance.zone == zone]

    def _program_settings(self, instance: InstanceLayout, program: str) -> dict[str, str]:
        listen = instance.listen_address(program)
        known = instance.known_address(program)
        document = {"listen": _text(listen), "operator": _text(instance.operator_address(program))}
        if listen != known:
            document["advertise"] = _text(known)
        return document

    def _make_instances(self, per_zone: int) -> list[InstanceLayout]:
        instances = []
        for zone_number, zone in enumerate(self.zones, start=1):
            for number in range(per_zone):
                host = f"127.{self.net}.{zone_number}.{_FIRST_INSTANCE_HOST + number}"
                name = f"{zone}-{number + 1}"
                instances.append(InstanceLayout(name, zone, host, self.proxied))
        return instances

    def _make_upstreams(self) -> list[UpstreamLayout]:
        upstreams = []
        for service in self._cfg["services"]:
            slots = service.get("upstream_limits", {}).get("slots", 2)
            for upstream in service["upstreams"]:
                upstreams.append(self._make_upstream(service["name"], slots, upstream))
        return upstreams

    def _make_upstream(self, service: str, slots: int, upstream: dict[str, Any]) -> UpstreamLayout:
        host, _, port_text = upstream["address"].rpartition(":")
        port = int(port_text)
        offset = _BEHIND_PROXY_OFFSET if self.proxied else 0
        return UpstreamLayout(
            upstream_id=upstream["id"],
            service=service,
            zone=upstream["zone"],
            known_address=(host, port),
            listen_address=(host, port + offset),
            slots=slots,
            checks_fences=upstream.get("checks_fences", True),
        )


def _rebase(document: str, net: int) -> str:
    cfg = json.loads(document)
    for service in cfg["services"]:
        for upstream in service["upstreams"]:
            octets = upstream["address"].split(".")
            octets[1] = str(net)
            upstream["address"] = ".".join(octets)
    return json.dumps(cfg, indent=1)


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"

"""Addresses of a test fleet: one loopback IP address for each instance and upstream."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from foxtailshunt.network import Address, format_address

_CALLERS_PORT = 8000
_READINESS_PORT = 8050
_OPERATOR_PORT = 8100
_PEER_PORT = 9000
_STORE_PORT = 8500
#: Difference between the port that a proxied process listens on and its advertised port.
_PROXIED_PORT_OFFSET = 500
_FIRST_INSTANCE_OCTET = 10
_GRACE = "6s"
_REPEAT_RATIO = 0.2
_REPEAT_RESERVE = 60


@dataclass(frozen=True, slots=True)
class InstanceLayout:
    """Addresses of an instance and its node."""

    #: Id of the instance; unique in the fleet.
    instance_id: str
    #: Availability zone.
    zone: str
    #: IP address of the instance.
    host: str
    #: Whether other nodes connect to it through the proxy.
    proxied: bool

    @property
    def callers(self) -> Address:
        """Return the address that callers connect to."""
        return self.host, _CALLERS_PORT

    @property
    def operator(self) -> Address:
        """Return the address that serves metrics and state dumps."""
        return self.host, _OPERATOR_PORT

    @property
    def peer_advertised(self) -> Address:
        """Return the address that other nodes connect to."""
        return self.host, _PEER_PORT

    @property
    def peer_listen(self) -> Address:
        """Return the address that the node listens on for other nodes."""
        return self.host, _PEER_PORT + (_PROXIED_PORT_OFFSET if self.proxied else 0)

    @property
    def readiness(self) -> Address:
        """Return the address of the readiness check of the load balancer."""
        return self.host, _READINESS_PORT


@dataclass(frozen=True, slots=True)
class UpstreamLayout:
    """Addresses of an upstream."""

    #: Id in the configuration; the stand-in registers under it.
    upstream_id: str
    #: Service of the upstream.
    service: str
    #: Whether the service is sharded by key.
    keyed: bool
    #: Availability zone.
    zone: str
    #: Address in the configuration, which nodes connect to.
    advertised_address: Address
    #: Address that the stand-in listens on.
    listen_address: Address


class Layout:
    """Addresses of a fleet, derived from a configuration file.

    :param cfg_path: configuration file; its upstream addresses all start with ``127.N.``.
    :param net: octet that replaces N, so that fleets can run in parallel.
    :param instances_per_zone: number of instances in each availability zone.
    :param proxied: whether connections to nodes, upstreams and the store go through the proxy.
    """

    def __init__(self, cfg_path: Path, net: int, instances_per_zone: int, proxied: bool) -> None:
        self.net = net
        self.proxied = proxied
        self.document = _replace_net(cfg_path.read_text(encoding="utf-8"), net)
        self._cfg = json.loads(self.document)
        self.zones: tuple[str, ...] = tuple(self._cfg["zones"])
        self.instances = self._make_instances(instances_per_zone)
        self.upstreams = self._make_upstreams()

    @property
    def keyed_services(self) -> tuple[str, ...]:
        """Return the names of the services that are sharded by key."""
        services = self._cfg["services"]
        return tuple(service["name"] for service in services if service.get("keyed", True))

    @property
    def store_advertised(self) -> Address:
        """Return the address of the store in the settings of the nodes."""
        return f"127.{self.net}.0.1", _STORE_PORT

    @property
    def store_listen(self) -> Address:
        """Return the address that the stand-in of the store listens on."""
        host, port = self.store_advertised
        return host, port + (_PROXIED_PORT_OFFSET if self.proxied else 0)

    def settings_of(self, instance: InstanceLayout) -> dict[str, Any]:
        """Return the settings document of the node of an instance.

        :param instance: instance of this layout.
        """
        return {
            "instance_id": instance.instance_id,
            "zone": instance.zone,
            "host": instance.host,
            "callers": format_address(instance.callers),
            "readiness": format_address(instance.readiness),
            "peer_port": instance.peer_advertised[1],
            "peer_listen_port": instance.peer_listen[1],
            "operator_port": instance.operator[1],
            "store": format_address(self.store_advertised),
            "grace": _GRACE,
            "interface": "own",
            "peers": self._peers_of(instance),
            "repeat_ratio": _REPEAT_RATIO,
            "repeat_reserve": _REPEAT_RESERVE,
        }

    def _peers_of(self, instance: InstanceLayout) -> list[str]:
        others = [item for item in self.instances if item.instance_id != instance.instance_id]
        # Only some of the peers, as in an outdated peer list.
        return [format_address(item.peer_advertised) for item in others[:3]]

    def upstreams_of(self, zone: str) -> list[UpstreamLayout]:
        """Return the upstreams of a zone.

        :param zone: availability zone.
        """
        return [upstream for upstream in self.upstreams if upstream.zone == zone]

    def instances_of(self, zone: str) -> list[InstanceLayout]:
        """Return the instances of a zone.

        :param zone: availability zone.
        """
        return [instance for instance in self.instances if instance.zone == zone]

    def _make_instances(self, per_zone: int) -> list[InstanceLayout]:
        instances = []
        for zone_number, zone in enumerate(self.zones, start=1):
            for number in range(per_zone):
                host = f"127.{self.net}.{zone_number}.{_FIRST_INSTANCE_OCTET + number}"
                name = f"{zone}-{number + 1}"
                instances.append(InstanceLayout(name, zone, host, self.proxied))
        return instances

    def _make_upstreams(self) -> list[UpstreamLayout]:
        return [
            self._make_upstream(service["name"], service.get("keyed", True), upstream)
            for service in self._cfg["services"]
            for upstream in service["upstreams"]
        ]

    def _make_upstream(self, service: str, keyed: bool, upstream: dict[str, Any]) -> UpstreamLayout:
        host, _, port_text = upstream["address"].rpartition(":")
        offset = _PROXIED_PORT_OFFSET if self.proxied else 0
        return UpstreamLayout(
            upstream_id=upstream["id"],
            service=service,
            keyed=keyed,
            zone=upstream["zone"],
            advertised_address=(host, int(port_text)),
            listen_address=(host, int(port_text) + offset),
        )


def _replace_net(document: str, net: int) -> str:
    cfg = json.loads(document)
    for service in cfg["services"]:
        for upstream in service["upstreams"]:
            octets = upstream["address"].split(".")
            octets[1] = str(net)
            upstream["address"] = ".".join(octets)
    return json.dumps(cfg, indent=1)

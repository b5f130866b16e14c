"""Collects the state of the whole fleet from the operator ports of its nodes."""

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.network import Address, format_address
from foxtailshunt.operator._dump_client import DumpClient
from foxtailshunt.operator._node_dump import (
    DumpedMember,
    NodeDump,
    read_first_reachable_node,
    read_node,
)
from foxtailshunt.routing import KEY_COUNT

_THREADS = 16


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """State of one node."""

    #: Availability zone of the node.
    zone: str
    #: Instance of the node.
    instance: str
    #: Operator address of the node; empty if the node did not publish one.
    operator_address: str
    #: True if the operator port responded.
    reachable: bool
    #: True if the node is the leader.
    leads: bool
    #: Configuration version in force; None if the node did not respond.
    cfg_version: int | None
    #: Number of queued requests and of requests in flight; None if the node did not respond.
    load: tuple[int, int] | None
    #: True once the node is leaving the fleet.
    stopping: bool


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """State of one upstream."""

    #: Service of the upstream.
    service: str
    #: Id of the upstream.
    upstream: str
    #: Availability zone of the upstream; empty if it is not registered.
    zone: str
    #: Number of keys that the upstream owns.
    keys: int
    #: Number of keys whose handover to the upstream is in progress.
    moving_keys: int
    #: True if the upstream is leaving or not registered.
    leaving: bool


@dataclass(frozen=True, slots=True)
class EvacuationStatus:
    """Progress of the evacuation of one zone."""

    #: The zone.
    zone: str
    #: Number of keys that upstreams of the zone still hold.
    keys_left: int
    #: Instances that responded and do not know of the evacuation.
    unaware_nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """State of the whole fleet."""

    #: Newest configuration version in force on any node.
    cfg_version: int
    #: Instance of the leader; None if no node that responded is the leader.
    leader: str | None
    #: Fraction of the keys of all keyed services that have an owner and no handover in progress.
    owned_share: float
    #: All nodes in the member list of the first node.
    nodes: tuple[NodeStatus, ...]
    #: All upstreams that are registered or own keys.
    upstreams: tuple[UpstreamStatus, ...]
    #: Zones that are being evacuated according to any node.
    evacuations: tuple[EvacuationStatus, ...] = ()


def collect_status(addresses: Iterable[Address], client: DumpClient) -> FleetStatus:
    """Read the member list from one node, and then the state of every member.

    :param addresses: operator addresses; the first node that responds supplies the member list.
    :param client: client that fetches the dumps.
    :raises DumpError: no node responded.
    """
    first = read_first_reachable_node(client, addresses)
    with ThreadPoolExecutor(_THREADS) as executor:
        dumps = list(executor.map(lambda member: _read_member(member, client), first.members))
    received = [dump for dump in dumps if dump is not None] or [first]
    newest = max(received, key=lambda item: (item.versions.term, item.versions.ownership))
    nodes = [_node_status(member, dump) for member, dump in zip(first.members, dumps, strict=True)]
    return FleetStatus(
        cfg_version=max(item.versions.configuration for item in received),
        leader=next((item.instance for item in received if item.leads), None),
        owned_share=_owned_share(newest),
        nodes=tuple(sorted(nodes, key=lambda item: (item.zone, item.instance))),
        upstreams=_upstreams(newest),
        evacuations=_evacuations(received, newest),
    )


def _read_member(member: DumpedMember, client: DumpClient) -> NodeDump | None:
    if member.operator_address is None:
        return None
    try:
        return read_node(client, member.operator_address)
    except FoxtailshuntError:
        # The node is reported as unreachable.
        return None


def _node_status(member: DumpedMember, dump: NodeDump | None) -> NodeStatus:
    address = member.operator_address
    return NodeStatus(
        zone=member.zone,
        instance=member.instance_id,
        operator_address=format_address(address) if address is not None else "",
        reachable=dump is not None,
        leads=dump is not None and dump.leads,
        cfg_version=dump.versions.configuration if dump is not None else None,
        load=(dump.waiting, dump.running) if dump is not None else None,
        stopping=member.leaving or (dump is not None and dump.stopping),
    )


def _owned_share(dump: NodeDump) -> float:
    keyed = [item.name for item in dump.services if item.keyed]
    if not keyed:
        return 1.0
    owned = sum(
        item.last - item.first + 1
        for item in dump.ranges
        if item.service in keyed and not item.moving
    )
    return owned / (KEY_COUNT * len(keyed))


def _evacuations(dumps: list[NodeDump], newest: NodeDump) -> tuple[EvacuationStatus, ...]:
    zone_of = {item.upstream_id: item.zone for item in newest.upstreams}
    return tuple(
        EvacuationStatus(
            zone,
            sum(
                item.last - item.first + 1
                for item in newest.ranges
                if zone_of.get(item.giver or item.owner) == zone
            ),
            tuple(sorted(dump.instance for dump in dumps if zone not in dump.evacuated_zones)),
        )
        for zone in sorted({zone for dump in dumps for zone in dump.evacuated_zones})
    )


def _upstreams(dump: NodeDump) -> tuple[UpstreamStatus, ...]:
    # For each upstream, the number of owned keys and the number of keys in handover.
    key_counts: dict[tuple[str, str], list[int]] = {}
    for upstream in dump.upstreams:
        key_counts[(upstream.service, upstream.upstream_id)] = [0, 0]
    for item in dump.ranges:
        counts = key_counts.setdefault((item.service, item.owner), [0, 0])
        counts[item.moving] += item.last - item.first + 1
    registered = {item.upstream_id: item for item in dump.upstreams}
    statuses = []
    for (service, upstream_id), (owned, moving) in sorted(key_counts.items()):
        registration = registered.get(upstream_id)
        zone = registration.zone if registration is not None else ""
        leaving = registration is None or registration.leaving
        statuses.append(UpstreamStatus(service, upstream_id, zone, owned, moving, leaving))
    return tuple(statuses)

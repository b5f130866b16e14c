"""The state of the whole fleet for operators."""

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
    """One node."""

    #: Its availability zone.
    zone: str
    #: Its instance.
    instance: str
    #: Its operator address; empty if it told none.
    operator_address: str
    #: True if its operator port answered.
    reachable: bool
    #: True if it leads.
    leads: bool
    #: The configuration version in force; None if it did not answer.
    cfg_version: int | None
    #: Requests that wait there and that it has at upstreams; None if it did not answer.
    load: tuple[int, int] | None
    #: True once it is leaving.
    stopping: bool


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """One upstream."""

    #: Its service.
    service: str
    #: Its id.
    upstream: str
    #: Its availability zone; empty if it is not registered.
    zone: str
    #: Number of keys that it owns.
    keys: int
    #: Number of keys that are on their way to it.
    moving_keys: int
    #: True once it is leaving.
    leaving: bool


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The whole fleet."""

    #: The newest configuration version that a node has in force.
    cfg_version: int
    #: Instance of the leader; None if no node that answered leads.
    leader: str | None
    #: Share of all keys of keyed services that have an owner and are not on their way.
    owned_share: float
    #: Every node that the others know.
    nodes: tuple[NodeStatus, ...]
    #: Every upstream that is registered or owns keys.
    upstreams: tuple[UpstreamStatus, ...]


def collect_status(addresses: Iterable[Address], dumps: DumpClient) -> FleetStatus:
    """Ask one node for the others, and then every node for its state.

    :param addresses: operator addresses; the first node that answers names the others.
    :param dumps: asks nodes.
    :raises DumpError: no node answered.
    """
    first = read_first_reachable_node(dumps, addresses)
    with ThreadPoolExecutor(_THREADS) as executor:
        answers = list(executor.map(lambda member: _ask(member, dumps), first.members))
    dumped = [answer for answer in answers if answer is not None] or [first]
    newest = max(dumped, key=lambda item: (item.versions.term, item.versions.ownership))
    nodes = [
        _node_status(member, answer) for member, answer in zip(first.members, answers, strict=True)
    ]
    return FleetStatus(
        cfg_version=max(item.versions.configuration for item in dumped),
        leader=next((item.instance for item in dumped if item.leads), None),
        owned_share=_owned_share(newest),
        nodes=tuple(sorted(nodes, key=lambda item: (item.zone, item.instance))),
        upstreams=_upstreams(newest),
    )


def _ask(member: DumpedMember, dumps: DumpClient) -> NodeDump | None:
    if member.operator_address is None:
        return None
    try:
        return read_node(dumps, member.operator_address)
    except FoxtailshuntError:
        # Shown as unreachable.
        return None


def _node_status(member: DumpedMember, dump: NodeDump | None) -> NodeStatus:
    place = member.operator_address
    return NodeStatus(
        zone=member.zone,
        instance=member.instance_id,
        operator_address=format_address(place) if place is not None else "",
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


def _upstreams(dump: NodeDump) -> tuple[UpstreamStatus, ...]:
    keys: dict[tuple[str, str], list[int]] = {}
    for upstream in dump.upstreams:
        keys[(upstream.service, upstream.upstream_id)] = [0, 0]
    for item in dump.ranges:
        counts = keys.setdefault((item.service, item.owner), [0, 0])
        counts[item.moving] += item.last - item.first + 1
    registered = {item.upstream_id: item for item in dump.upstreams}
    found = []
    for (service, upstream_id), (owned, moving) in sorted(keys.items()):
        entry = registered.get(upstream_id)
        zone = entry.zone if entry is not None else ""
        leaving = entry is None or entry.leaving
        found.append(UpstreamStatus(service, upstream_id, zone, owned, moving, leaving))
    return tuple(found)

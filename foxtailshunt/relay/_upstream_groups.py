"""Divides the upstreams of a service without keys into groups, each with a sending node.

One sending node knows the free slots of its upstreams exactly, but every request passes through
its link and its processor. A service with many upstreams therefore has several sending nodes. The
module performs no I/O.
"""

import threading
from collections.abc import Collection, Iterable
from dataclasses import dataclass

import xxhash

from foxtailshunt.fleet import FleetView, Member, Upstream, rank_by_rendezvous

#: Number of upstreams from which a service has several sending nodes. One node sends for fewer of
#: them without a shortage of its processor or link, and knows all free slots.
MIN_DIVIDED_UPSTREAMS = 12
#: Mean number of upstreams in a group. Their slots even out differences in latency; the requests
#: that they serve take about a third of the processor of a small instance.
UPSTREAMS_PER_GROUP = 3


@dataclass(frozen=True, slots=True)
class UpstreamGroup:
    """Upstreams of a service without keys that have the same sending node."""

    #: Name of the group, unique in its service; empty if it is the only one.
    name: str
    #: Availability zone of the upstreams; None if they are in several.
    zone: str | None
    #: The upstreams; none of them is leaving.
    upstreams: tuple[Upstream, ...]
    #: Nodes that may send to the upstreams, the preferred one first.
    senders: tuple[Member, ...]

    @property
    def slots(self) -> int:
        """Return the number of requests that the upstreams process concurrently."""
        return sum(item.slots for item in self.upstreams)


def form_groups(
    service: str, upstreams: Iterable[Upstream], members: Iterable[Member]
) -> tuple[UpstreamGroup, ...]:
    """Divide the upstreams of a service into groups.

    All nodes with the same view form the same groups. A change of the upstreams or members
    affects few groups.

    :param service: name of the service.
    :param upstreams: upstreams of the service.
    :param members: nodes of the fleet.
    """
    members = tuple(members)
    available = [item for item in upstreams if not item.leaving]
    usual = [item for item in available if not item.avoided_zones]
    avoiding = [item for item in available if item.avoided_zones]
    groups = _form_usual_groups(service, usual, members, len(available))
    # Their requests come from other nodes than those to the rest of their group.
    for zone, avoided in sorted({(item.zone, item.avoided_zones) for item in avoiding}):
        found = [item for item in avoiding if (item.zone, item.avoided_zones) == (zone, avoided)]
        name = f"{zone}/avoiding {' '.join(avoided)}"
        candidates = sender_candidates(members, zone, avoided)
        senders = tuple(rank_by_rendezvous(f"{service}/{name}", candidates))
        groups.append(UpstreamGroup(name, zone, tuple(found), senders))
    return tuple(groups)


def sender_candidates(
    members: Iterable[Member], zone: str, avoided_zones: Collection[str]
) -> list[Member]:
    """Return the nodes that may send to the upstreams of a zone.

    :param members: nodes of the fleet.
    :param zone: the zone of the upstreams, whose nodes are preferred.
    :param avoided_zones: zones whose nodes send only if no others are left.
    """
    serving = [member for member in members if not member.leaving]
    suitable = [member for member in serving if member.zone not in avoided_zones]
    return [member for member in suitable if member.zone == zone] or suitable or serving


def _form_usual_groups(
    service: str, available: list[Upstream], members: Iterable[Member], count: int
) -> list[UpstreamGroup]:
    """Divide upstreams to which all zones may send.

    :param count: number of upstreams of the service.
    """
    if count < MIN_DIVIDED_UPSTREAMS:
        serving = [member for member in members if not member.leaving]
        if not available and count:
            return []
        senders = tuple(rank_by_rendezvous(service, serving))
        return [UpstreamGroup("", None, tuple(available), senders)]
    groups = []
    taken: set[str] = set()
    for zone in sorted({item.zone for item in available}):
        in_zone = [item for item in available if item.zone == zone]
        candidates = sender_candidates(members, zone, ())
        for name, found in _divide(zone, in_zone).items():
            ranked = rank_by_rendezvous(f"{service}/{name}", candidates)
            # A node sends for several groups only if there are fewer nodes than groups.
            ranked.sort(key=lambda member: member.instance_id in taken)
            taken.update(member.instance_id for member in ranked[:1])
            groups.append(UpstreamGroup(name, zone, tuple(found), tuple(ranked)))
    return groups


def _divide(zone: str, upstreams: list[Upstream]) -> dict[str, list[Upstream]]:
    """Return the upstreams of a zone by the name of their group.

    Each upstream has two candidate groups by hash and is put into the smaller one, which evens out
    the groups. The newest upstream comes last, so that it changes no other group when it joins
    unless the number of groups changes.
    """
    count = max(1, round(len(upstreams) / UPSTREAMS_PER_GROUP))
    groups: dict[str, list[Upstream]] = {f"{zone}/{index}": [] for index in range(count)}
    for item in sorted(upstreams, key=lambda item: (item.started_ms, item.upstream_id)):
        ranked = sorted(groups, key=lambda name: _score(name, item.upstream_id), reverse=True)
        smaller = min(ranked[:2], key=lambda name: len(groups[name]))
        groups[smaller].append(item)
    return {name: found for name, found in groups.items() if found}


def _score(group: str, upstream_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{group}\0{upstream_id}".encode())


class UpstreamGroups:
    """The groups of each service according to the node's view; safe to use from any thread.

    :param view: the node's view of upstreams and members.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._lock = threading.Lock()
        #: Groups by service, with the parts of the view from which they were formed.
        self._formed: dict[str, tuple[object, object, tuple[UpstreamGroup, ...]]] = {}
        #: Groups of a service and, by upstream, the one that contains it.
        self._by_upstream: dict[str, tuple[tuple[UpstreamGroup, ...], dict[str, UpstreamGroup]]] = (
            {}
        )

    def of_service(self, service: str) -> tuple[UpstreamGroup, ...]:
        """Return the groups of a service.

        :param service: name of the service.
        """
        members = self._view.members
        upstreams = self._view.upstreams_by_service.get(service, ())
        with self._lock:
            formed = self._formed.get(service)
            if formed is None or formed[0] is not upstreams or formed[1] is not members:
                groups = form_groups(service, upstreams, members)
                formed = self._formed[service] = (upstreams, members, groups)
            return formed[2]

    def group_of(self, service: str, upstream_id: str) -> UpstreamGroup | None:
        """Return the group that contains an upstream, or None.

        :param service: name of the service.
        :param upstream_id: the upstream.
        """
        groups = self.of_service(service)
        found = self._by_upstream.get(service)
        if found is None or found[0] is not groups:
            by_upstream = {item.upstream_id: group for group in groups for item in group.upstreams}
            found = self._by_upstream[service] = (groups, by_upstream)
        return found[1].get(upstream_id)

    def upstreams_of(self, service: str, name: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a group.

        :param service: name of the service.
        :param name: name of the group.
        :returns: all upstreams of the service if another node formed the group from another view.
        """
        for group in self.of_service(service):
            if group.name == name:
                return group.upstreams
        return self._view.upstreams_by_service.get(service, ())

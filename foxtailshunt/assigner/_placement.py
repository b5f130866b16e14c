"""Which availability zone each slot of a service is homed in."""

import json
from dataclasses import dataclass, replace

from foxtailshunt.assigner._assignment import quotas
from foxtailshunt.config import Configuration, Service
from foxtailshunt.errors import DocumentError
from foxtailshunt.ownership import slots_from_ranges, slots_to_ranges


@dataclass(frozen=True, slots=True)
class Placement:
    """The homes of one service's slots; written to the store by compare-and-swap only."""

    #: The service.
    service: str
    #: Number of slots of the service.
    slot_count: int
    #: Identifies the write.
    writer_token: str
    #: Slots by zone; together all slots, each once.
    homes: dict[str, frozenset[int]]
    #: Zones that said that none of their upstreams can serve; they are given nothing.
    unable: frozenset[str]

    def slots_of(self, zone: str) -> frozenset[int]:
        """Return the slots homed in a zone.

        :param zone: the availability zone.
        """
        return self.homes.get(zone, frozenset())

    def with_token(self, token: str) -> "Placement":
        """Return the same placement as another write.

        :param token: identifies the write.
        """
        return replace(self, writer_token=token)

    def with_ability(self, zone: str, is_able: bool, token: str) -> "Placement":
        """Return the placement with what a zone says of itself.

        :param zone: the zone.
        :param is_able: whether any of its upstreams can serve.
        :param token: identifies the write.
        """
        unable = self.unable - {zone} if is_able else self.unable | {zone}
        return replace(self, unable=unable, writer_token=token)

    def with_moved(self, slots: dict[str, frozenset[int]], source: str, token: str) -> "Placement":
        """Return the placement with slots of one zone homed in others.

        :param slots: slots to give to each zone.
        :param source: the zone that they are homed in.
        :param token: identifies the write.
        """
        homes = dict(self.homes)
        for zone, given in slots.items():
            given &= homes.get(source, frozenset())
            homes[source] = homes.get(source, frozenset()) - given
            homes[zone] = homes.get(zone, frozenset()) | given
        return replace(self, homes=homes, writer_token=token)


def placement_key(service: str) -> str:
    """Return the store's key of a service's placement.

    :param service: the service.
    """
    return f"foxtailshunt/placement/{service}"


def first_placement(cfg: Configuration, service: Service, token: str) -> Placement:
    """Return the placement that a service starts with.

    :param cfg: the configuration.
    :param service: the service.
    :param token: identifies the write.
    """
    homes: dict[str, set[int]] = {}
    for slot, zone in enumerate(cfg.homes(service)):
        homes.setdefault(zone, set()).add(slot)
    return Placement(
        service.name,
        service.slot_count,
        token,
        {zone: frozenset(slots) for zone, slots in homes.items()},
        frozenset(),
    )


def placement_to_json(placement: Placement) -> str:
    """Return the document of a placement.

    :param placement: the placement.
    """
    homes = {
        zone: slots_to_ranges(slots) for zone, slots in sorted(placement.homes.items()) if slots
    }
    document = {
        "service": placement.service,
        "slot_count": placement.slot_count,
        "writer_token": placement.writer_token,
        "homes": homes,
        "unable": sorted(placement.unable),
    }
    return json.dumps(document, separators=(",", ":"))


def placement_from_json(text: str) -> Placement:
    """Read a placement's document.

    :param text: the document.
    :raises DocumentError: it is malformed, or does not give each slot one zone.
    """
    try:
        value = json.loads(text)
        placement = Placement(
            str(value["service"]),
            int(value["slot_count"]),
            str(value["writer_token"]),
            {zone: slots_from_ranges(ranges) for zone, ranges in value["homes"].items()},
            frozenset(value["unable"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise DocumentError(f"malformed placement: {type(exc).__name__}: {exc}")
    _check_complete(placement)
    return placement


def choose_rehomed(
    placement: Placement, service: Service, zone: str, is_able: bool
) -> dict[str, frozenset[int]]:
    """Choose slots that a zone should give to other zones.

    :param placement: the placement now.
    :param service: the service.
    :param zone: the zone that would give.
    :param is_able: False if none of the zone's upstreams of the service can serve.
    :returns: slots for each zone that gets some; at most ``max_moves`` while the zone can serve.
    """
    weights = _zone_weights(service)
    for name in placement.unable | (frozenset() if is_able else {zone}):
        weights.pop(name, None)
    counts = {name: len(slots) for name, slots in placement.homes.items()}
    target = quotas(service.slot_count, weights, counts)
    excess = counts.get(zone, 0) - target.get(zone, 0)
    if is_able:
        excess = min(excess, service.max_moves)
    wanted = {name: target[name] - counts.get(name, 0) for name in sorted(target) if name != zone}
    available = sorted(placement.slots_of(zone), reverse=True)[: max(excess, 0)]
    result: dict[str, frozenset[int]] = {}
    for name in sorted(wanted, key=lambda name: (-wanted[name], name)):
        take = max(wanted[name], 0)
        given, available = available[:take], available[take:]
        if given:
            result[name] = frozenset(given)
    return result


def _zone_weights(service: Service) -> dict[str, float]:
    weights: dict[str, float] = {}
    for upstream in service.upstreams:
        weights[upstream.zone] = weights.get(upstream.zone, 0.0) + 1.0
    return weights


def _check_complete(placement: Placement) -> None:
    listed = sorted(slot for slots in placement.homes.values() for slot in slots)
    if listed != list(range(placement.slot_count)):
        raise DocumentError(f"placement of '{placement.service}' does not home each slot once")

"""The regions of a deployment, and which zones a route may use."""

from collections.abc import Mapping


class Regions:
    """The region of each zone; immutable.

    :param zone: zone of this node.
    :param region: region of this node; None if the settings state none.
    :param zone_regions: region of each zone.
    """

    def __init__(
        self, zone: str = "", region: str | None = None, zone_regions: Mapping[str, str] = {}
    ) -> None:
        self._zone = zone
        self._zone_regions = dict(zone_regions)
        self._region = region or self._zone_regions.get(zone)
        if self._region is not None:
            self._zone_regions.setdefault(zone, self._region)

    def allowed_zones(self, allowed_regions: frozenset[str] | None) -> frozenset[str] | None:
        """Return the zones whose upstreams a request may be sent to; None if all are allowed.

        A zone of unknown region is not allowed.

        :param allowed_regions: the regions that its route allows; None if it allows all.
        """
        if allowed_regions is None:
            return None
        return frozenset(
            zone for zone, region in self._zone_regions.items() if region in allowed_regions
        )

    def relay_zones(self, allowed_zones: frozenset[str] | None) -> frozenset[str] | None:
        """Return the zones whose nodes may get the body of a request; None if all may.

        They are those that the route allows and those of this node's region.

        :param allowed_zones: the zones that the route allows; None if it allows all.
        """
        if allowed_zones is None:
            return None
        near = (zone for zone, region in self._zone_regions.items() if region == self._region)
        return allowed_zones.union(near, (self._zone,))

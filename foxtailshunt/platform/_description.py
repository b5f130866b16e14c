"""Describes the platform's configuration document for checks and comparisons."""

from typing import Any

from foxtailshunt.checks import DescribedRoute, DescribedService, Description, FieldNames
from foxtailshunt.platform._configuration import (
    DecodedConfiguration,
    WireConfiguration,
    WireRoute,
    convert_configuration,
    read_wire_configuration,
)

_NAMES = FieldNames(
    timeout="timeout",
    latency_objective="aim",
    max_upstreams="max_attempts",
    header_timeout="limits.header_timeout",
    idle_timeout="limits.idle_timeout",
)


def describe_configuration(document: bytes) -> Description:
    """Return the entries of a configuration document.

    :param document: the bytes of the document.
    :raises DocumentError: the document is malformed; its faults name each invalid field.
    """
    wire = read_wire_configuration(document)
    decoded = convert_configuration(wire)
    ignored = [
        (f"routes.{name}.service", "the route has a traffic_split, which is used instead")
        for name, route in wire.routes.items()
        if route.traffic_split and route.service is not None
    ]
    for message in decoded.ignored_values:
        location, _, reason = message.partition(": ")
        ignored.append((location, reason))
    return Description(
        version=decoded.version,
        routes=tuple(
            DescribedRoute(f"routes.{name}", route) for name, route in decoded.routes.items()
        ),
        services=tuple(
            DescribedService(f"services.{name}", info) for name, info in decoded.services.items()
        ),
        limits=decoded.limits,
        names=_NAMES,
        entries=_list_entries(wire, decoded),
        ignored_values=tuple(ignored),
    )


def _list_entries(wire: WireConfiguration, decoded: DecodedConfiguration) -> dict[str, Any]:
    """Return all entries; values that mean the same are equal, however they are written."""
    limits = wire.limits.model_dump()
    for name in ("header_timeout", "idle_timeout"):
        limits[name] = _show_duration(limits[name])
    return {
        "routes": {
            name: _list_route_entries(item, decoded.routes[name].route.allowed_regions)
            for name, item in wire.routes.items()
        },
        "services": {
            name: {
                "max_conns": info.max_connections,
                "sharded": info.keyed,
                "warmup": _show_duration(info.warmup_s),
                "warmup_per_s": info.warmup_rate,
            }
            for name, info in decoded.services.items()
        },
        "limits": limits,
    }


def _list_route_entries(wire: WireRoute, regions: frozenset[str] | None) -> dict[str, Any]:
    entries = wire.model_dump(exclude={"service", "traffic_split"})
    entries["timeout"] = _show_duration(wire.timeout)
    entries["aim"] = _show_duration(wire.aim)
    entries["allowed_regions"] = None if regions is None else sorted(regions)
    if wire.traffic_split:
        # Several shares of one service are listed as they are, in order.
        entries["traffic_split"] = [[item.service, item.weight] for item in wire.traffic_split]
    else:
        entries["service"] = wire.service
    return entries


def _show_duration(seconds: float) -> str:
    return f"{seconds:.12g}s"

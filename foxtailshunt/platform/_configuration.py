"""Decodes the platform's configuration document."""

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, Field, ValidationError

from foxtailshunt.errors import DocumentError, DocumentFault
from foxtailshunt.platform._durations import Seconds, parse_warmup_s
from foxtailshunt.routing import (
    FrontLimits,
    HostRoute,
    HostRoutes,
    Route,
    RouteTable,
    ServiceInfo,
    WeightedService,
)

_VERSION = re.compile(r"r(\d+)")
#: Maximum of ``warmup_per_s``; an upstream sustains a few requests per second while it is cold.
MAX_WARMUP_RATE = 1_000_000.0
#: Warm-up that is assumed if ``warmup`` is malformed, in seconds. Upstreams are cold for 3 s after
#: a start; without a value their limit would not be applied.
ASSUMED_WARMUP_S = 3.0
#: Maximum length of a message about a malformed value, in characters.
MAX_MESSAGE_CHARS = 200
#: Maximum length of a rejected value in a message, in characters; log lines carry it.
_MAX_SHOWN_CHARS = 60


def _parse_version(value: Any) -> int:
    match = _VERSION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"not a version: {value!r}")
    return int(match[1])


class WireTrafficShare(BaseModel):
    """A service that gets a share of a route's requests."""

    service: str
    weight: float = Field(ge=0)


class WireRoute(BaseModel):
    """A route in the document."""

    host: str
    prefix: str
    #: ``safe`` means that a request may be executed more than once; it may have side effects.
    route_type: str
    timeout: Seconds
    #: The latency objective; the limit is ``timeout``.
    aim: Seconds
    #: 0 is the highest priority.
    priority: int = Field(ge=0)
    service: str | None = None
    traffic_split: list[WireTrafficShare] | None = None
    #: Number of upstreams that one request may be sent to; not the number of retries.
    max_attempts: int = Field(ge=1)
    #: Names of the regions whose upstreams may get the requests; absent or empty for all. Checked
    #: later, as the values of a warm-up are.
    allowed_regions: Any = None


class WireService(BaseModel):
    """A service in the document."""

    max_conns: int = Field(default=64, ge=1)
    #: True if the service is sharded by key.
    sharded: bool = False
    #: How long an upstream is cold after a start, and the requests per second that it sustains
    #: until then. Checked later, so that a malformed value does not invalidate the document.
    warmup: Any = None
    warmup_per_s: Any = None


class _WireLimits(BaseModel):
    max_header_bytes: int = Field(gt=0)
    max_body_bytes: int = Field(gt=0)
    header_timeout: Seconds
    idle_timeout: Seconds


class WireConfiguration(BaseModel):
    """The whole document."""

    version: Annotated[int, BeforeValidator(_parse_version)]
    routes: dict[str, WireRoute]
    services: dict[str, WireService]
    limits: _WireLimits


@dataclass(frozen=True, slots=True)
class DecodedConfiguration:
    """The content of a configuration document."""

    #: Number of the version.
    version: int
    #: Routes by name, in the order of the document.
    routes: dict[str, HostRoute]
    #: Services by name.
    services: dict[str, ServiceInfo]
    #: Limits on callers' requests.
    limits: FrontLimits
    #: Messages about malformed optional values that are not used.
    ignored_values: tuple[str, ...]


def decode_configuration(document: bytes) -> RouteTable:
    """Decode a configuration document.

    :param document: the stored bytes.
    :raises DocumentError: the document is malformed; the message names the field.
    """
    decoded = convert_configuration(read_wire_configuration(document))
    routes = HostRoutes(decoded.routes.values())
    return RouteTable(
        decoded.version, routes, decoded.services, decoded.limits, decoded.ignored_values
    )


def read_wire_configuration(document: bytes) -> WireConfiguration:
    """Validate a configuration document.

    :param document: the stored bytes.
    :raises DocumentError: the document is malformed; the message names the first field.
    """
    try:
        wire = WireConfiguration.model_validate_json(document)
    except ValidationError as exc:
        raise _document_error(
            DocumentFault(".".join(str(part) for part in error["loc"]) or "document", error["msg"])
            for error in exc.errors()
        ) from exc
    faults = [
        DocumentFault(f"routes.{name}", "no service")
        for name, route in wire.routes.items()
        if not route.traffic_split and route.service is None
    ]
    if faults:
        raise _document_error(faults)
    return wire


def convert_configuration(wire: WireConfiguration) -> DecodedConfiguration:
    """Return the content of a document in the project's types.

    :param wire: the valid document.
    """
    ignored: list[str] = []
    routes = {
        name: HostRoute(route.host, route.prefix, _to_route(name, route, ignored))
        for name, route in wire.routes.items()
    }
    services = {name: _to_service(name, item, ignored) for name, item in wire.services.items()}
    limits = FrontLimits(
        max_header_bytes=wire.limits.max_header_bytes,
        max_body_bytes=wire.limits.max_body_bytes,
        header_timeout_s=wire.limits.header_timeout,
        idle_timeout_s=wire.limits.idle_timeout,
    )
    return DecodedConfiguration(wire.version, routes, services, limits, tuple(ignored))


def _document_error(faults: Iterable[DocumentFault]) -> DocumentError:
    """Return an error whose message is bounded, since nodes log it; it names the first fault."""
    listed = tuple(faults)
    return DocumentError(str(listed[0]), listed)


def _to_service(name: str, wire: WireService, ignored: list[str]) -> ServiceInfo:
    """Return a service; adds a message for each malformed optional value."""
    warmup_s = rate = 0.0
    try:
        rate = _parse_warmup_rate(wire.warmup_per_s)
    except ValueError as exc:
        ignored.append(f"services.{name}.warmup_per_s: {exc}"[:MAX_MESSAGE_CHARS])
    try:
        warmup_s = _parse_warmup_s(wire.warmup)
    except ValueError as exc:
        ignored.append(f"services.{name}.warmup: {exc}"[:MAX_MESSAGE_CHARS])
        warmup_s = ASSUMED_WARMUP_S
    return ServiceInfo(
        name=name,
        keyed=wire.sharded,
        max_connections=wire.max_conns,
        warmup_s=warmup_s,
        warmup_rate=rate,
    )


def _parse_warmup_rate(value: Any) -> float:
    if value is None:
        return 0.0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"not a number: {str(value)[:_MAX_SHOWN_CHARS]!r}")
    if not (0 <= value <= MAX_WARMUP_RATE and math.isfinite(value)):
        raise ValueError(f"not between 0 and {MAX_WARMUP_RATE:.0f}")
    return float(value)


def _parse_warmup_s(value: Any) -> float:
    if value is None or (value == 0 and not isinstance(value, bool)):
        return 0.0
    return parse_warmup_s(value)


def _to_route(name: str, wire: WireRoute, ignored: list[str]) -> Route:
    if wire.traffic_split:
        services = tuple(WeightedService(part.service, part.weight) for part in wire.traffic_split)
    else:
        # A document in which neither is given is rejected before.
        services = (WeightedService(wire.service or "", 1.0),)
    return Route(
        name=name,
        idempotent=wire.route_type == "safe",
        timeout_s=wire.timeout,
        latency_objective_s=wire.aim,
        rank=wire.priority,
        max_upstreams=wire.max_attempts,
        services=services,
        allowed_regions=_to_allowed_regions(name, wire.allowed_regions, ignored),
    )


def _to_allowed_regions(name: str, value: Any, ignored: list[str]) -> frozenset[str] | None:
    """Return the regions that a route allows; a malformed value allows fewer, not more."""
    if value is None or value == []:
        return None
    items = value if isinstance(value, list) else []
    regions = frozenset(item for item in items if isinstance(item, str) and item)
    if not isinstance(value, list) or len(regions) < len(set(map(str, items))):
        shown = str(value)[:_MAX_SHOWN_CHARS]
        message = f"routes.{name}.allowed_regions: not a list of names: {shown!r}"
        ignored.append(message[:MAX_MESSAGE_CHARS])
    return regions

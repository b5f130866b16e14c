"""Validated models of the operators' configuration file, and the routes that it describes."""

import ipaddress
from collections.abc import Iterable
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from foxtailshunt.errors import DocumentError
from foxtailshunt.network import parse_address
from foxtailshunt.routing import (
    FrontLimits,
    Operation,
    OperationRoutes,
    RankFloor,
    Route,
    RouteTable,
    ServiceInfo,
    WeightedService,
)

#: Largest configuration document, in bytes.
MAX_FILE_BYTES = 1_000_000
#: Ranks in the order in which they are served.
RANKS = ("urgent", "careful", "deferrable")


def _check_address(text: str) -> str:
    host, _ = parse_address(text)
    ipaddress.IPv4Address(host)
    return text


AddressText = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Share = Annotated[float, Field(ge=0, le=1)]
Milliseconds = Annotated[int, Field(ge=10, le=600_000)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


class OperationModel(_Model):
    """One operation."""

    name: Name
    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path: Annotated[str, Field(pattern=r"^/[^?#\s]*$", max_length=256)]
    key_query: Name | None = None
    rank: Literal["urgent", "careful", "deferrable"]
    idempotent: bool
    deadline_ms: Milliseconds
    aim_ms: Milliseconds | None = None
    max_upstreams: Annotated[int, Field(ge=1, le=10)] = 2

    def count_keys(self) -> int:
        """Return in how many places the key stands."""
        return self.path.split("/").count("{key}") + (self.key_query is not None)


class UpstreamModel(_Model):
    """One upstream."""

    id: Name
    zone: Name
    address: AddressText


class FloorSharesModel(_Model):
    """Capacity shares of the lower ranks."""

    careful: Share = 0.2
    deferrable: Share = 0.05

    @model_validator(mode="after")
    def check_sum(self) -> "FloorSharesModel":
        """Check that urgent work keeps a share."""
        if self.careful + self.deferrable >= 1:
            raise ValueError("the floors must add up to less than 1")
        return self


class ServiceModel(_Model):
    """One service."""

    name: Name
    keyed: bool = True
    upstreams: Annotated[tuple[UpstreamModel, ...], Field(min_length=1, strict=False)]
    operations: Annotated[tuple[OperationModel, ...], Field(min_length=1, strict=False)]
    connections: Annotated[int, Field(ge=1, le=100_000)] = 40
    floors: FloorSharesModel = FloorSharesModel()

    @model_validator(mode="after")
    def check_operations(self) -> "ServiceModel":
        """Check that operations have names of their own, no two share a path, and keys stand."""
        _check_unique("operation name", (operation.name for operation in self.operations))
        patterns = (f"{item.method} {_path_shape(item.path)}" for item in self.operations)
        _check_unique("operation", patterns)
        wanted = 1 if self.keyed else 0
        for operation in self.operations:
            if operation.count_keys() != wanted:
                raise ValueError(
                    f"operation {operation.name}: the key must stand {_times(wanted)}: "
                    "as {key} in path, or as key_query"
                )
        return self


class CallersModel(_Model):
    """Limits on what callers send to one node."""

    max_header_bytes: Annotated[int, Field(ge=1_024, le=16_384)] = 16_384
    max_body_bytes: Annotated[int, Field(ge=0, le=64_000_000)] = 65_536
    header_timeout_ms: Milliseconds = 3_000
    idle_timeout_ms: Milliseconds = 15_000


class FileModel(_Model):
    """The whole file."""

    fleet: Name
    zones: Annotated[tuple[Name, ...], Field(min_length=1, strict=False)]
    services: Annotated[tuple[ServiceModel, ...], Field(min_length=1, strict=False)]
    callers: CallersModel = CallersModel()

    @model_validator(mode="after")
    def check_references(self) -> "FileModel":
        """Check names across services."""
        _check_unique("zone", self.zones)
        _check_unique("service name", (service.name for service in self.services))
        upstreams = [upstream for service in self.services for upstream in service.upstreams]
        _check_unique("upstream id", (upstream.id for upstream in upstreams))
        _check_unique("upstream address", (upstream.address for upstream in upstreams))
        _check_paths(self.services)
        for upstream in upstreams:
            if upstream.zone not in self.zones:
                raise ValueError(f"upstream {upstream.id} names the unknown zone {upstream.zone}")
        return self


def read_configuration(text: str) -> FileModel:
    """Validate a configuration file.

    :param text: the file's content.
    :raises DocumentError: the file is not valid; the message names each place.
    """
    if len(text.encode()) > MAX_FILE_BYTES:
        raise DocumentError(f"the configuration is over {MAX_FILE_BYTES} bytes")
    try:
        return FileModel.model_validate_json(text)
    except ValidationError as exc:
        raise DocumentError(describe_validation_error(exc))


def to_route_table(model: FileModel, version: int) -> RouteTable:
    """Return what a configuration puts into force.

    :param model: the configuration.
    :param version: the version that the store's record gives it.
    """
    operations = OperationRoutes(
        Operation(item.method, item.path, item.key_query, _to_route(service.name, item))
        for service in model.services
        for item in service.operations
    )
    callers = model.callers
    limits = FrontLimits(
        max_header_bytes=callers.max_header_bytes,
        max_body_bytes=callers.max_body_bytes,
        header_timeout_s=callers.header_timeout_ms / 1000,
        idle_timeout_s=callers.idle_timeout_ms / 1000,
    )
    services = {service.name: _to_service(service) for service in model.services}
    return RouteTable(version, operations, services, limits)


def describe_validation_error(exc: ValidationError) -> str:
    """Return one line that names each faulty place of a document.

    :param exc: what pydantic reported.
    """
    places = []
    for error in exc.errors(include_url=False, include_input=False, include_context=False):
        place = ".".join(str(part) for part in error["loc"]) or "document"
        places.append(f"{place}: {error['msg']}")
    return "; ".join(places)


def _check_unique(what: str, values: Iterable[str]) -> None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise ValueError(f"{what} '{value}' stands twice")
        seen.add(value)


def _check_paths(services: Iterable[ServiceModel]) -> None:
    """Check that no two operations match the same requests; services share one path space."""
    owners: dict[str, str] = {}
    for service in services:
        for operation in service.operations:
            shape = f"{operation.method} {_path_shape(operation.path)}"
            owner = owners.setdefault(shape, service.name)
            if owner != service.name:
                path = _path_shape(operation.path)
                raise ValueError(f"the path {path} of {owner} stands in {service.name} too")


def _path_shape(path: str) -> str:
    segments = path.split("/")
    return "/".join("{}" if segment.startswith("{") else segment for segment in segments)


def _times(count: int) -> str:
    return "once" if count else "nowhere, since the service is not divided by key"


def _to_route(service: str, model: OperationModel) -> Route:
    return Route(
        name=f"{service}.{model.name}",
        idempotent=model.idempotent,
        timeout_s=model.deadline_ms / 1000,
        # Without an aim the rank alone decides who goes first.
        latency_objective_s=0.0 if model.aim_ms is None else model.aim_ms / 1000,
        rank=RANKS.index(model.rank),
        max_upstreams=model.max_upstreams,
        services=(WeightedService(service, 1.0),),
    )


def _to_service(model: ServiceModel) -> ServiceInfo:
    shares = model.floors.model_dump()
    return ServiceInfo(
        name=model.name,
        keyed=model.keyed,
        max_connections=model.connections,
        floors=tuple(RankFloor(RANKS.index(name), share) for name, share in shares.items()),
        upstream_addresses=frozenset(parse_address(item.address) for item in model.upstreams),
    )

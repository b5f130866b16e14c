"""Validation models for the configuration file, and its conversion to a route table."""

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

from foxtailshunt.errors import DocumentError, DocumentFault
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

#: Maximum size of the configuration file, in bytes.
MAX_FILE_BYTES = 1_000_000
#: Rank names by descending priority; a rank's number is its index.
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
    """One operation of a service: method, path pattern and limits."""

    name: Name
    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path: Annotated[str, Field(pattern=r"^/[^?#\s]*$", max_length=256)]
    key_query: Name | None = None
    rank: Literal["urgent", "careful", "deferrable"]
    idempotent: bool
    deadline_ms: Milliseconds
    aim_ms: Milliseconds | None = None
    max_upstreams: Annotated[int, Field(ge=1, le=10)] = 2

    def count_key_places(self) -> int:
        """Return the number of places in path and query that hold the key."""
        return self.path.split("/").count("{key}") + (self.key_query is not None)


class UpstreamModel(_Model):
    """One upstream of a service."""

    id: Name
    zone: Name
    address: AddressText


class FloorSharesModel(_Model):
    """Minimum capacity shares reserved for the lower ranks."""

    careful: Share = 0.2
    deferrable: Share = 0.05

    @model_validator(mode="after")
    def check_sum(self) -> "FloorSharesModel":
        """Check that a share of the capacity is left for the rank ``urgent``."""
        if self.careful + self.deferrable >= 1:
            raise ValueError("the floors must add up to less than 1")
        return self


class ServiceModel(_Model):
    """One service with its operations and upstreams."""

    name: Name
    keyed: bool = True
    upstreams: Annotated[tuple[UpstreamModel, ...], Field(min_length=1, strict=False)]
    operations: Annotated[tuple[OperationModel, ...], Field(min_length=1, strict=False)]
    connections: Annotated[int, Field(ge=1, le=100_000)] = 40
    floors: FloorSharesModel = FloorSharesModel()

    @model_validator(mode="after")
    def check_operations(self) -> "ServiceModel":
        """Check that operation names and paths are unique and hold the key where needed."""
        _check_unique("operation name", (operation.name for operation in self.operations))
        patterns = (f"{item.method} {_path_pattern(item.path)}" for item in self.operations)
        _check_unique("operation", patterns)
        key_count = 1 if self.keyed else 0
        for operation in self.operations:
            if operation.count_key_places() != key_count:
                raise ValueError(
                    f"operation {operation.name}: the key must occur {_count_text(key_count)}: "
                    "as {key} in path, or as key_query"
                )
        return self


class CallersModel(_Model):
    """Limits for callers' requests and connections at one node."""

    max_header_bytes: Annotated[int, Field(ge=1_024, le=16_384)] = 16_384
    max_body_bytes: Annotated[int, Field(ge=0, le=64_000_000)] = 65_536
    header_timeout_ms: Milliseconds = 3_000
    idle_timeout_ms: Milliseconds = 15_000


class FileModel(_Model):
    """Content of the configuration file."""

    fleet: Name
    zones: Annotated[tuple[Name, ...], Field(min_length=1, strict=False)]
    services: Annotated[tuple[ServiceModel, ...], Field(min_length=1, strict=False)]
    callers: CallersModel = CallersModel()

    @model_validator(mode="after")
    def check_references(self) -> "FileModel":
        """Check that names are unique across services and that zones exist."""
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
    :raises DocumentError: if the file is invalid; the message names each invalid field.
    """
    if len(text.encode()) > MAX_FILE_BYTES:
        raise DocumentError(f"the configuration is over {MAX_FILE_BYTES} bytes")
    try:
        return FileModel.model_validate_json(text)
    except ValidationError as exc:
        raise DocumentError(describe_validation_error(exc), list_faults(exc))


def to_route_table(model: FileModel, version: int, era: int = 0) -> RouteTable:
    """Return the route table that a configuration describes.

    :param model: the configuration.
    :param version: version of the configuration's record in the store.
    :param era: era of the store that the record states.
    """
    operations = OperationRoutes(
        to_operation(service.name, item)
        for service in model.services
        for item in service.operations
    )
    services = {service.name: to_service_info(service) for service in model.services}
    limits = to_front_limits(model.callers)
    return RouteTable(version, operations, services, limits, era=era)


def to_operation(service: str, model: OperationModel) -> Operation:
    """Return an operation of the route table.

    :param service: name of the operation's service.
    :param model: the operation in the file.
    """
    return Operation(model.method, model.path, model.key_query, _to_route(service, model))


def to_front_limits(model: CallersModel) -> FrontLimits:
    """Return the limits of the route table.

    :param model: the limits in the file.
    """
    return FrontLimits(
        max_header_bytes=model.max_header_bytes,
        max_body_bytes=model.max_body_bytes,
        header_timeout_s=model.header_timeout_ms / 1000,
        idle_timeout_s=model.idle_timeout_ms / 1000,
    )


def describe_validation_error(exc: ValidationError) -> str:
    """Return a one-line message that names each invalid field of a document.

    :param exc: the error raised by pydantic.
    """
    return "; ".join(str(fault) for fault in list_faults(exc))


def list_faults(exc: ValidationError) -> tuple[DocumentFault, ...]:
    """Return all invalid fields of a document.

    :param exc: the error raised by pydantic.
    """
    errors = exc.errors(include_url=False, include_input=False, include_context=False)
    parents = {error["loc"][:end] for error in errors for end in range(len(error["loc"]))}
    return tuple(
        DocumentFault(".".join(str(part) for part in error["loc"]) or "document", error["msg"])
        for error in errors
        # A list counts as too short if its items are invalid, which are listed themselves.
        if error["type"] != "too_short" or error["loc"] not in parents
    )


def _check_unique(kind: str, values: Iterable[str]) -> None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise ValueError(f"{kind} '{value}' is listed more than once")
        seen.add(value)


def _check_paths(services: Iterable[ServiceModel]) -> None:
    """Check that no two operations match the same requests; all services share one path space."""
    services_by_pattern: dict[str, str] = {}
    for service in services:
        for operation in service.operations:
            pattern = f"{operation.method} {_path_pattern(operation.path)}"
            first_service = services_by_pattern.setdefault(pattern, service.name)
            if first_service != service.name:
                path = _path_pattern(operation.path)
                raise ValueError(
                    f"the path {path} of {first_service} is also a path of {service.name}"
                )


def _path_pattern(path: str) -> str:
    segments = path.split("/")
    return "/".join("{}" if segment.startswith("{") else segment for segment in segments)


def _count_text(count: int) -> str:
    return "once" if count else "nowhere, since the service is not divided by key"


def _to_route(service: str, model: OperationModel) -> Route:
    return Route(
        name=f"{service}.{model.name}",
        idempotent=model.idempotent,
        timeout_s=model.deadline_ms / 1000,
        # Without a latency objective, only the rank determines the order.
        latency_objective_s=0.0 if model.aim_ms is None else model.aim_ms / 1000,
        rank=RANKS.index(model.rank),
        max_upstreams=model.max_upstreams,
        services=(WeightedService(service, 1.0),),
    )


def to_service_info(model: ServiceModel) -> ServiceInfo:
    """Return a service of the route table.

    :param model: the service in the file.
    """
    shares = model.floors.model_dump()
    return ServiceInfo(
        name=model.name,
        keyed=model.keyed,
        max_connections=model.connections,
        floors=tuple(RankFloor(RANKS.index(name), share) for name, share in shares.items()),
        upstream_addresses=frozenset(parse_address(item.address) for item in model.upstreams),
    )

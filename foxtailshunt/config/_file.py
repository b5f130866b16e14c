"""Validated models of the operators' configuration file, and their conversion to data classes."""

from collections.abc import Iterable
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from foxtailshunt.config._address import AddressText, parse_address
from foxtailshunt.config._configuration import (
    Configuration,
    EntryLimits,
    FloorShares,
    Operation,
    QueueLimits,
    Rank,
    Service,
    Upstream,
    UpstreamLimits,
)
from foxtailshunt.errors import DocumentError

#: Largest configuration document, in bytes.
MAX_FILE_BYTES = 1_000_000

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=1, le=100_000)]


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
    deadline_ms: Annotated[int, Field(ge=10, le=600_000)]

    @model_validator(mode="after")
    def check_key(self) -> "OperationModel":
        """Check that the key stands in exactly one place."""
        in_path = self.path.split("/").count("{key}")
        if in_path + (self.key_query is not None) != 1:
            raise ValueError("the key must stand once: as {key} in path, or as key_query")
        return self


class UpstreamModel(_Model):
    """One upstream."""

    id: Name
    zone: Name
    address: AddressText
    checks_fences: bool = True


class UpstreamLimitsModel(_Model):
    """Limits towards each upstream."""

    slots: Count = 2
    connections: Count = 40
    slow_start_ms: Annotated[int, Field(ge=0, le=600_000)] = 2000


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


class QueueLimitsModel(_Model):
    """Queue lengths."""

    urgent: Count = 64
    careful: Count = 64
    deferrable: Count = 64


class ServiceModel(_Model):
    """One service."""

    name: Name
    slots: Annotated[int, Field(ge=1, le=65_536)]
    upstreams: Annotated[tuple[UpstreamModel, ...], Field(min_length=1, strict=False)]
    operations: Annotated[tuple[OperationModel, ...], Field(min_length=1, strict=False)]
    upstream_limits: UpstreamLimitsModel = UpstreamLimitsModel()
    floors: FloorSharesModel = FloorSharesModel()
    queues: QueueLimitsModel = QueueLimitsModel()
    retry_budget: Share = 0.1
    offline_limit_s: Annotated[float, Field(gt=0, le=86_400)] | None = None
    max_moves: Count = 16

    @model_validator(mode="after")
    def check_names(self) -> "ServiceModel":
        """Check that operations have names of their own and no two share method and path."""
        _check_unique("operation name", (operation.name for operation in self.operations))
        patterns = (f"{item.method} {_path_shape(item.path)}" for item in self.operations)
        _check_unique("operation", patterns)
        return self


class EntryLimitsModel(_Model):
    """Limits of each entry process."""

    urgent: Count = 48
    careful: Count = 32
    deferrable: Count = 16
    max_body_bytes: Annotated[int, Field(ge=0, le=1_000_000)] = 65_536
    max_connections: Count = 1024


class FileModel(_Model):
    """The whole file."""

    fleet: Name
    zones: Annotated[tuple[Name, ...], Field(min_length=1, strict=False)]
    services: Annotated[tuple[ServiceModel, ...], Field(min_length=1, strict=False)]
    entry: EntryLimitsModel = EntryLimitsModel()
    request_memory_s: Annotated[float, Field(ge=1, le=3600)] = 120.0
    request_clock_skew_s: Annotated[float, Field(ge=0, le=60)] = 2.0

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


def configuration_from_json(text: str, version: int) -> Configuration:
    """Validate a configuration file.

    :param text: the file's content.
    :param version: the version that the store's record gives it.
    :returns: the configuration.
    :raises DocumentError: the file is not valid; the message names each place.
    """
    if len(text.encode()) > MAX_FILE_BYTES:
        raise DocumentError(f"the configuration is over {MAX_FILE_BYTES} bytes")
    try:
        model = FileModel.model_validate_json(text)
    except ValidationError as exc:
        raise DocumentError(describe_validation_error(exc))
    return _to_configuration(model, version)


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


def _to_configuration(model: FileModel, version: int) -> Configuration:
    return Configuration(
        version=version,
        fleet=model.fleet,
        zones=model.zones,
        services={service.name: _to_service(service) for service in model.services},
        entry=EntryLimits(**model.entry.model_dump()),
        request_memory_s=model.request_memory_s,
        request_clock_skew_s=model.request_clock_skew_s,
    )


def _to_service(model: ServiceModel) -> Service:
    limits = model.upstream_limits
    return Service(
        name=model.name,
        slot_count=model.slots,
        upstreams=tuple(_to_upstream(upstream) for upstream in model.upstreams),
        operations=tuple(_to_operation(operation) for operation in model.operations),
        limits=UpstreamLimits(limits.slots, limits.connections, limits.slow_start_ms / 1000),
        floors=FloorShares(model.floors.careful, model.floors.deferrable),
        queues=QueueLimits(**model.queues.model_dump()),
        retry_budget=model.retry_budget,
        offline_limit_s=model.offline_limit_s,
        max_moves=model.max_moves,
    )


def _to_upstream(model: UpstreamModel) -> Upstream:
    return Upstream(model.id, model.zone, parse_address(model.address), model.checks_fences)


def _to_operation(model: OperationModel) -> Operation:
    return Operation(
        name=model.name,
        method=model.method,
        path=model.path,
        key_query=model.key_query,
        rank=Rank(model.rank),
        idempotent=model.idempotent,
        deadline_s=model.deadline_ms / 1000,
    )

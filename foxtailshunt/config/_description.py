"""Describes a configuration file for checks and comparisons."""

from collections.abc import Iterable, Mapping
from typing import Any

from foxtailshunt.checks import DescribedRoute, DescribedService, Description, FieldNames
from foxtailshunt.config._file import (
    RANKS,
    FileModel,
    ServiceModel,
    read_configuration,
    to_front_limits,
    to_operation,
    to_service_info,
)
from foxtailshunt.config._record import config_record_from_json

_NAMES = FieldNames(
    timeout="deadline_ms",
    latency_objective="aim_ms",
    max_upstreams="max_upstreams",
    header_timeout="callers.header_timeout_ms",
    idle_timeout="callers.idle_timeout_ms",
)


def describe_record(value: bytes) -> tuple[tuple[int, int], Description]:
    """Return the place of a record in the order of configurations, and its configuration.

    :param value: the stored bytes.
    :raises DocumentError: the record is malformed.
    """
    record = config_record_from_json(value)
    return record.order, describe_file(record.document)


def describe_file(text: str) -> Description:
    """Return the entries of a configuration file.

    :param text: the file's content.
    :raises DocumentError: the file is invalid; the message names each invalid field.
    """
    model = read_configuration(text)
    routes = tuple(
        DescribedRoute(
            f"services.{service.name}.operations.{item.name}",
            to_operation(service.name, item),
            "max_upstreams" in item.model_fields_set,
        )
        for service in model.services
        for item in service.operations
    )
    return Description(
        version=None,
        routes=routes,
        services=tuple(_describe_service(service) for service in model.services),
        limits=to_front_limits(model.callers),
        names=_NAMES,
        entries=_list_entries(model),
        zones={zone: f"zones.{zone}" for zone in model.zones},
        used_zones=frozenset(item.zone for service in model.services for item in service.upstreams),
    )


def _describe_service(service: ServiceModel) -> DescribedService:
    location = f"services.{service.name}"
    floors = service.floors.model_fields_set
    return DescribedService(
        location,
        to_service_info(service),
        {RANKS.index(name): f"{location}.floors.{name}" for name in floors},
    )


def _list_entries(model: FileModel) -> dict[str, Any]:
    entries = model.model_dump()
    services = _by_name(entries["services"], "name")
    for service in services.values():
        service["upstreams"] = _by_name(service["upstreams"], "id")
        service["operations"] = _by_name(service["operations"], "name")
    return {**entries, "zones": {zone: zone for zone in model.zones}, "services": services}


def _by_name(items: Iterable[Mapping[str, Any]], name: str) -> dict[str, dict[str, Any]]:
    return {
        item[name]: {key: value for key, value in item.items() if key != name} for item in items
    }

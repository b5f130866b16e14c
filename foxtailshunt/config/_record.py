"""The record of the operators' configuration in the platform's store."""

import json
from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from foxtailshunt.config._file import (
    describe_validation_error,
    read_configuration,
    to_route_table,
)
from foxtailshunt.errors import DocumentError
from foxtailshunt.routing import RouteTable

#: The key of the record in the platform's store.
CONFIG_KEY = "foxtailshunt/config"


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """One accepted version of the operators' file."""

    #: Rises by one with each accepted change, from 1.
    version: int
    #: Identifies the write, so that a lost answer can be resolved by reading back.
    token: str
    #: The content of the operators' file.
    document: str


class _RecordModel(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    version: Annotated[int, Field(ge=1)]
    token: str
    document: str


def config_record_to_json(record: ConfigRecord) -> str:
    """Return the value that stands in the store.

    :param record: the record.
    """
    values = {"version": record.version, "token": record.token, "document": record.document}
    return json.dumps(values, ensure_ascii=False)


def config_record_from_json(text: str | bytes) -> ConfigRecord:
    """Read the value that stands in the store.

    :param text: the value.
    :raises DocumentError: it is malformed; the message names the place.
    """
    try:
        model = _RecordModel.model_validate_json(text)
    except ValidationError as exc:
        raise DocumentError(f"record {CONFIG_KEY}: {describe_validation_error(exc)}")
    return ConfigRecord(model.version, model.token, model.document)


def decode_config_record(value: bytes) -> RouteTable:
    """Return what a record in the store puts into force.

    :param value: the stored bytes.
    :raises DocumentError: it is malformed; the message names the place.
    """
    record = config_record_from_json(value)
    return to_route_table(read_configuration(record.document), record.version)

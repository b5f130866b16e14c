"""The record that holds the configuration in the platform's store."""

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
from foxtailshunt.fleet import MAX_ERA
from foxtailshunt.routing import RouteTable

#: Key of the record in the platform's store.
CONFIG_KEY = "foxtailshunt/config"


@dataclass(frozen=True, slots=True)
class ConfigRecord:
    """One accepted version of the configuration file."""

    #: Version number; starts at 1 and grows by one with each accepted change. After the store's
    #: return from an older copy it continues from the copy, so it is used again.
    version: int
    #: Identifies the write; if the store's response is lost, the writer reads the record back
    #: and compares it.
    token: str
    #: Content of the configuration file.
    document: str
    #: Era of the store in which it was written; it precedes the version in the order of records.
    era: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return the place of the record in the order of configurations."""
        return self.era, self.version


class _RecordModel(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    version: Annotated[int, Field(ge=1)]
    token: str
    document: str
    era: Annotated[int, Field(ge=0, le=MAX_ERA)] = 0


def config_record_to_json(record: ConfigRecord) -> str:
    """Serialize a record to the value kept in the store.

    :param record: the record.
    """
    values = {"version": record.version, "token": record.token, "document": record.document}
    if record.era:
        # Earlier builds do not accept the field.
        values["era"] = record.era
    return json.dumps(values, ensure_ascii=False)


def config_record_from_json(text: str | bytes) -> ConfigRecord:
    """Parse a record from the value kept in the store.

    :param text: the value.
    :raises DocumentError: if the value is malformed; the message names the invalid field.
    """
    try:
        model = _RecordModel.model_validate_json(text)
    except ValidationError as exc:
        raise DocumentError(f"record {CONFIG_KEY}: {describe_validation_error(exc)}")
    return ConfigRecord(model.version, model.token, model.document, model.era)


def decode_config_record(value: bytes) -> RouteTable:
    """Return the route table of a record in the store.

    :param value: the stored bytes.
    :raises DocumentError: if the value is malformed; the message names the invalid field.
    """
    record = config_record_from_json(value)
    return to_route_table(read_configuration(record.document), record.version, record.era)

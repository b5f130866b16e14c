"""The configuration file written by operators and its record in the store."""

from foxtailshunt.config._description import describe_file, describe_record
from foxtailshunt.config._file import FileModel, read_configuration, to_route_table
from foxtailshunt.config._record import (
    CONFIG_KEY,
    ConfigRecord,
    config_record_from_json,
    config_record_to_json,
    decode_config_record,
)

__all__ = [
    "CONFIG_KEY",
    "ConfigRecord",
    "FileModel",
    "config_record_from_json",
    "config_record_to_json",
    "decode_config_record",
    "describe_file",
    "describe_record",
    "read_configuration",
    "to_route_table",
]

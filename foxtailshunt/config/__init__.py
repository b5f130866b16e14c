"""The operators' configuration file and a process's settings file."""

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
from foxtailshunt.config._file import configuration_from_json
from foxtailshunt.config._record import (
    CONFIG_KEY,
    ConfigRecord,
    config_record_from_json,
    config_record_to_json,
)
from foxtailshunt.config._settings import Settings, load_settings

__all__ = [
    "CONFIG_KEY",
    "ConfigRecord",
    "Configuration",
    "EntryLimits",
    "FloorShares",
    "Operation",
    "QueueLimits",
    "Rank",
    "Service",
    "Settings",
    "Upstream",
    "UpstreamLimits",
    "config_record_from_json",
    "config_record_to_json",
    "configuration_from_json",
    "load_settings",
]

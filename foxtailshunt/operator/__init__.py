"""What the operators' command line does, apart from reading arguments and printing."""

from foxtailshunt.operator._apply import ApplyResult, ConfigApplier
from foxtailshunt.operator._check import CheckResult, check_file, read_file
from foxtailshunt.operator._dump_client import DumpClient, DumpError
from foxtailshunt.operator._exit_codes import ExitCode, exit_code_of
from foxtailshunt.operator._explain import Explanation, explain_key
from foxtailshunt.operator._fleet_reader import FleetReader, FleetView
from foxtailshunt.operator._status import (
    FleetStatus,
    ProcessStatus,
    UpstreamStatus,
    collect_status,
)
from foxtailshunt.operator._store_reader import read_store

__all__ = [
    "ApplyResult",
    "CheckResult",
    "ConfigApplier",
    "DumpClient",
    "DumpError",
    "ExitCode",
    "Explanation",
    "FleetReader",
    "FleetStatus",
    "FleetView",
    "ProcessStatus",
    "UpstreamStatus",
    "check_file",
    "collect_status",
    "exit_code_of",
    "explain_key",
    "read_file",
    "read_store",
]

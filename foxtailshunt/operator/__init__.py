"""Operations behind the operator command line, without its argument parsing and output."""

from foxtailshunt.operator._apply import ApplyResult, ConfigApplier
from foxtailshunt.operator._check import (
    CheckFinding,
    CheckResult,
    Comparison,
    check_file,
    read_file,
)
from foxtailshunt.operator._conditional_write import ConditionalWrite, ConditionalWriter, Store
from foxtailshunt.operator._document_formats import FORMATS, OWN_FORMAT, DocumentFormat
from foxtailshunt.operator._dump_client import DumpClient, DumpError
from foxtailshunt.operator._exit_codes import ExitCode, exit_code_of
from foxtailshunt.operator._explain import Explanation, explain_key
from foxtailshunt.operator._node_dump import NodeDump, read_first_reachable_node, read_node
from foxtailshunt.operator._request_trace import (
    LogLine,
    RequestTrace,
    format_line,
    read_log_lines,
    trace_request,
)
from foxtailshunt.operator._status import (
    EvacuationStatus,
    FleetStatus,
    NodeStatus,
    UpstreamStatus,
    collect_status,
)
from foxtailshunt.operator._version_in_force import VersionReader

__all__ = [
    "FORMATS",
    "OWN_FORMAT",
    "ApplyResult",
    "CheckFinding",
    "CheckResult",
    "Comparison",
    "ConditionalWrite",
    "ConditionalWriter",
    "ConfigApplier",
    "DocumentFormat",
    "DumpClient",
    "DumpError",
    "ExitCode",
    "EvacuationStatus",
    "Explanation",
    "FleetStatus",
    "LogLine",
    "NodeDump",
    "NodeStatus",
    "RequestTrace",
    "Store",
    "UpstreamStatus",
    "VersionReader",
    "check_file",
    "collect_status",
    "exit_code_of",
    "explain_key",
    "format_line",
    "read_file",
    "read_first_reachable_node",
    "read_log_lines",
    "read_node",
    "trace_request",
]

"""Ownership of keys: slots, tables, assignment, grants and assents."""

from foxtailshunt.ownership._codec import (
    MAX_TABLE_BYTES,
    slots_from_ranges,
    slots_to_ranges,
    table_from_json,
    table_to_json,
)
from foxtailshunt.ownership._records import (
    ZERO_FENCE,
    Address,
    Arrival,
    Fence,
    ProcessRef,
    Table,
    Transit,
    UpstreamRow,
)
from foxtailshunt.ownership._send_right import (
    LoadSource,
    SendPermission,
    SendRight,
    UpstreamLoad,
)
from foxtailshunt.ownership._slots import slot_of_key

__all__ = [
    "MAX_TABLE_BYTES",
    "ZERO_FENCE",
    "Address",
    "Arrival",
    "Fence",
    "LoadSource",
    "ProcessRef",
    "SendPermission",
    "SendRight",
    "Table",
    "Transit",
    "UpstreamLoad",
    "UpstreamRow",
    "slot_of_key",
    "slots_from_ranges",
    "slots_to_ranges",
    "table_from_json",
    "table_to_json",
]

"""Addresses, source address, socket options and socket readiness."""

from foxtailshunt.network._address import Address, format_address, parse_address
from foxtailshunt.network._socket_options import (
    KEEPALIVE_SOCKET_OPTIONS,
    RESET_ON_CLOSE_SOCKET_OPTIONS,
    UPSTREAM_SOCKET_OPTIONS,
)
from foxtailshunt.network._socket_wait import (
    WaitOutcome,
    caller_disconnected,
    is_idle,
    wait_readable,
)
from foxtailshunt.network._source_address import set_source_host, source_address

__all__ = [
    "KEEPALIVE_SOCKET_OPTIONS",
    "RESET_ON_CLOSE_SOCKET_OPTIONS",
    "UPSTREAM_SOCKET_OPTIONS",
    "Address",
    "WaitOutcome",
    "caller_disconnected",
    "format_address",
    "is_idle",
    "parse_address",
    "set_source_host",
    "source_address",
    "wait_readable",
]

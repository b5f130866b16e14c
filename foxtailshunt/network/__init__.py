"""Addresses, the network identity of this process, and how its sockets behave."""

from foxtailshunt.network._address import Address, format_address, parse_address
from foxtailshunt.network._readiness import Readiness, caller_is_gone, is_quiet, wait_readable
from foxtailshunt.network._socket_options import (
    KEEPALIVE_SOCKET_OPTIONS,
    ORDER_SOCKET_OPTIONS,
    UPSTREAM_SOCKET_OPTIONS,
)
from foxtailshunt.network._source import set_source_host, source_address

__all__ = [
    "KEEPALIVE_SOCKET_OPTIONS",
    "ORDER_SOCKET_OPTIONS",
    "UPSTREAM_SOCKET_OPTIONS",
    "Address",
    "Readiness",
    "caller_is_gone",
    "format_address",
    "is_quiet",
    "parse_address",
    "set_source_host",
    "source_address",
    "wait_readable",
]

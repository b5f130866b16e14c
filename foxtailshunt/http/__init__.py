"""Strict parsing of callers' HTTP requests, built on cheroot."""

from foxtailshunt.http._socket_files import SocketReader, SocketWriter, make_socket_file
from foxtailshunt.http._strict_request import MAX_HEAD_BYTES, StrictHttpRequest

__all__ = [
    "MAX_HEAD_BYTES",
    "SocketReader",
    "SocketWriter",
    "StrictHttpRequest",
    "make_socket_file",
]

"""Strict HTTP: callers' requests, built on cheroot, and responses of upstreams."""

from foxtailshunt.http._channel import HttpChannel, format_request
from foxtailshunt.http._chunked_body import BodyTooLargeError, read_chunked_body
from foxtailshunt.http._response import (
    MAX_RESPONSE_BODY_BYTES,
    MAX_RESPONSE_HEAD_BYTES,
    HttpResponse,
    MalformedResponseError,
    read_response,
)
from foxtailshunt.http._socket_files import SocketReader, SocketWriter
from foxtailshunt.http._strict_request import MAX_HEAD_BYTES, StrictHttpRequest

__all__ = [
    "MAX_HEAD_BYTES",
    "MAX_RESPONSE_BODY_BYTES",
    "MAX_RESPONSE_HEAD_BYTES",
    "BodyTooLargeError",
    "HttpChannel",
    "HttpResponse",
    "MalformedResponseError",
    "SocketReader",
    "SocketWriter",
    "StrictHttpRequest",
    "format_request",
    "read_chunked_body",
    "read_response",
]

"""HTTP server of the stand-ins, with faulty responses on request."""

from standins.http._ports import free_port
from standins.http._process import AddressParam, serve_until_terminated
from standins.http._request import Request
from standins.http._responses import (
    CompleteResponse,
    ConnectionClosed,
    Response,
    ResponseWithExtra,
    ResponseWithoutLength,
    TruncatedResponse,
    WithheldResponse,
    json_response,
)
from standins.http._server import Handler, HttpServer

__all__ = [
    "AddressParam",
    "Response",
    "TruncatedResponse",
    "ResponseWithExtra",
    "ConnectionClosed",
    "Handler",
    "HttpServer",
    "Request",
    "WithheldResponse",
    "ResponseWithoutLength",
    "CompleteResponse",
    "free_port",
    "json_response",
    "serve_until_terminated",
]

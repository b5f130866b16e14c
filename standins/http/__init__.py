"""The small HTTP server that the stand-ins share."""

from standins.http._answers import (
    Answer,
    CutAnswer,
    DoubledAnswer,
    DroppedAnswer,
    SilentAnswer,
    UnframedAnswer,
    WholeAnswer,
    json_answer,
)
from standins.http._process import AddressParam, serve_until_terminated
from standins.http._request import Request
from standins.http._server import Handler, HttpServer

__all__ = [
    "AddressParam",
    "Answer",
    "CutAnswer",
    "DoubledAnswer",
    "DroppedAnswer",
    "Handler",
    "HttpServer",
    "Request",
    "SilentAnswer",
    "UnframedAnswer",
    "WholeAnswer",
    "json_answer",
    "serve_until_terminated",
]

"""Reads HTTP responses strictly and within limits.

``http.client`` takes the end of the connection within a head as the end of the head, ignores a
``Content-Length`` that is not a number, and reads heads and trailers of any length.
"""

import http.client
import io
from dataclasses import dataclass
from typing import Any

#: Maximum size of a response's head, including those of interim responses, in bytes.
MAX_RESPONSE_HEAD_BYTES = 65_536
#: Maximum size of an upstream's response body, in bytes: it has to fit into a frame between nodes.
MAX_RESPONSE_BODY_BYTES = 3 * 1024 * 1024
#: Limit on the bytes after the head, as a multiple of the limit of the body; leaves room for the
#: framing of small chunks.
_FRAMING_FACTOR = 2
_FIRST_FINAL_STATUS = 200


class MalformedResponseError(http.client.HTTPException):
    """The received bytes are not a complete response within the limits.

    :param message: what is wrong with them.
    """


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    #: HTTP status.
    status: int
    #: Headers in the order in which they were received.
    headers: tuple[tuple[str, str], ...]
    #: Body.
    body: bytes
    #: True if the connection can't be used for another request.
    closes_connection: bool


def read_response(
    source: io.BufferedReader, method: str, max_body_bytes: int = MAX_RESPONSE_BODY_BYTES
) -> HttpResponse:
    """Read one response.

    :param source: the connection; stays open.
    :param method: method of the request.
    :param max_body_bytes: maximum size of the body, in bytes.
    :raises http.client.HTTPException: the response is malformed, incomplete or too large.
    :raises OSError: reading failed.
    """
    bounded: Any = _BoundedSource(source)
    response = http.client.HTTPResponse(bounded, method=method)
    bounded.allow(MAX_RESPONSE_HEAD_BYTES)
    response.begin()
    _check_head(response)
    if response.length is not None and response.length > max_body_bytes:
        raise MalformedResponseError("the body is too large")
    bounded.allow(_FRAMING_FACTOR * max_body_bytes)
    body = response.read(max_body_bytes + 1)
    if len(body) > max_body_bytes:
        raise MalformedResponseError("the body is too large")
    if response.length not in (None, 0):
        raise http.client.IncompleteRead(body, response.length)
    return HttpResponse(
        response.status, tuple(response.getheaders()), body, bool(response.will_close)
    )


def _check_head(response: http.client.HTTPResponse) -> None:
    if response.status < _FIRST_FINAL_STATUS:
        raise MalformedResponseError(f"unexpected interim status {response.status}")
    if response.headers.defects:
        raise MalformedResponseError("the head has a line that is not a header")
    coding = response.headers.get("Transfer-Encoding")
    if coding is not None and coding.strip().lower() != "chunked":
        raise MalformedResponseError(f"unsupported transfer coding {coding[:40]!r}")
    lengths = set(response.headers.get_all("Content-Length", ()))
    if len(lengths) > 1 or any(not (text.isascii() and text.isdigit()) for text in lengths):
        raise MalformedResponseError("Content-Length is not one number")


class _BoundedSource:
    """File of a connection that http.client can neither close nor read without limit."""

    def __init__(self, source: io.BufferedReader) -> None:
        self._source = source
        self._left = 0
        self._has_read = False

    def allow(self, size: int) -> None:
        """Allow a number of further bytes.

        :param size: the number of bytes.
        """
        self._left = size

    def makefile(self, mode: str) -> "_BoundedSource":
        """Return this file; called by http.client, which takes it for a socket."""
        return self

    def readline(self, limit: int) -> bytes:
        """Read a line.

        :param limit: maximum number of bytes to return.
        :raises MalformedResponseError: the connection ended within the response.
        """
        line = self._take(self._source.readline(min(limit, self._left + 1)))
        if not line.endswith(b"\n") and len(line) < limit and (line or self._has_read):
            raise MalformedResponseError("the connection ended within a line or between lines")
        self._has_read = True
        return line

    def read(self, size: int) -> bytes:
        """Read a number of bytes, or fewer at the end of the connection.

        :param size: number of bytes.
        """
        return self._take(self._source.read(min(size, self._left + 1)))

    def _take(self, data: bytes) -> bytes:
        self._left -= len(data)
        if self._left < 0:
            raise MalformedResponseError("the response is too large")
        return data

    def flush(self) -> None:
        """Do nothing, since the file is only read."""

    def close(self) -> None:
        """Do nothing, since the connection is used for further responses."""

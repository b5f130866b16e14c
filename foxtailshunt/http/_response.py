"""Reads HTTP responses strictly and within limits.

``http.client`` decodes the head only. It takes the end of the connection within a head as the end
of the head and a carriage return within a line as the end of the line, ignores a ``Content-Length``
that is not a number, and reads heads of any length; these are checked here. Bodies are read here,
since it also reads chunks of negative size, without limit.
"""

import http.client
import io
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

#: Maximum size of a response's head, including those of interim responses, in bytes.
MAX_RESPONSE_HEAD_BYTES = 65_536
#: Maximum size of an upstream's response body, in bytes: it has to fit into a frame between nodes.
MAX_RESPONSE_BODY_BYTES = 3 * 1024 * 1024
#: Limit on the bytes after the head, as a multiple of the limit of the body; leaves room for the
#: framing of small chunks.
_FRAMING_FACTOR = 2
#: Limit on the framing of a chunked body: this number of bytes, plus a share of the content. Each
#: chunk takes processor time, however small it is.
_MAX_FRAMING_BYTES, _MAX_FRAMING_SHARE = 65_536, 0.25
_FIRST_FINAL_STATUS = 200
#: Size of the pieces in which a body without a length is read, in bytes.
_PIECE_BYTES = 65_536
_MAX_LENGTH_DIGITS = 18
#: Statuses are 100 to 599. ``http.client`` accepts up to 999, and whatever ``int()`` reads as a
#: number, such as ``+200`` and ``2_00``.
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n")
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r?\n")
_CHUNK_END = b"\r\n"
_LINE_ENDS = (b"\r\n", b"\n")


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
    source: io.BufferedReader,
    method: str,
    max_body_bytes: int = MAX_RESPONSE_BODY_BYTES,
    reserve: Callable[[int], None] | None = None,
) -> HttpResponse:
    """Read one response.

    :param source: the connection; stays open.
    :param method: method of the request.
    :param max_body_bytes: maximum size of the body, in bytes.
    :param reserve: called with the size of each part of the body before it is read; may raise an
        exception to end the reading. None for no call.
    :raises http.client.HTTPException: the response is malformed, incomplete or too large.
    :raises OSError: reading failed.
    """
    bounded: Any = _BoundedSource(source, reserve)
    response = http.client.HTTPResponse(bounded, method=method)
    bounded.allow(MAX_RESPONSE_HEAD_BYTES)
    bounded.expect_status_line()
    response.begin()
    _check_head(response)
    bounded.end_head()
    bounded.allow(_FRAMING_FACTOR * max_body_bytes)
    body = _read_body(bounded, response, max_body_bytes)
    return HttpResponse(
        response.status, tuple(response.getheaders()), body, bool(response.will_close)
    )


def _check_head(response: http.client.HTTPResponse) -> None:
    if response.status < _FIRST_FINAL_STATUS:
        raise MalformedResponseError(f"unexpected interim status {response.status}")
    if response.headers.defects:
        raise MalformedResponseError("the head has a line that is not a header")
    codings = response.headers.get_all("Transfer-Encoding", ())
    lengths = response.headers.get_all("Content-Length", ())
    if codings and lengths:
        raise MalformedResponseError("both Transfer-Encoding and Content-Length are present")
    if codings and [text.strip().lower() for text in codings] != ["chunked"]:
        raise MalformedResponseError(f"unsupported transfer coding {codings[0][:40]!r}")
    if len(set(lengths)) > 1 or not all(_is_length(text) for text in lengths):
        raise MalformedResponseError("Content-Length is not one number")


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= _MAX_LENGTH_DIGITS


def _read_body(
    source: "_BoundedSource", response: http.client.HTTPResponse, max_body_bytes: int
) -> bytes:
    if response.length == 0:
        return b""
    if "Transfer-Encoding" in response.headers:
        return _read_chunks(source, max_body_bytes)
    if response.length is None:
        return _read_to_end(source, max_body_bytes)
    if response.length > max_body_bytes:
        raise MalformedResponseError("the body is too large")
    return _read_exactly(source, response.length)


def _read_to_end(source: "_BoundedSource", max_body_bytes: int) -> bytes:
    body = bytearray()
    while part := source.read(_PIECE_BYTES):
        body += part
        if len(body) > max_body_bytes:
            raise MalformedResponseError("the body is too large")
    return bytes(body)


def _read_chunks(source: "_BoundedSource", max_body_bytes: int) -> bytes:
    """Return the content of all chunks, after reading the trailers."""
    # One buffer: an object for each chunk would take many times the memory of a small one.
    body = bytearray()
    framing_bytes = 0
    while True:
        line = source.readline(MAX_RESPONSE_HEAD_BYTES)
        matched = _CHUNK_SIZE_LINE.fullmatch(line)
        if matched is None:
            raise MalformedResponseError(f"malformed chunk size {line[:40]!r}")
        size = int(matched[1], 16)
        if size > max_body_bytes - len(body):
            raise MalformedResponseError("the body is too large")
        if size == 0:
            break
        body += _read_exactly(source, size)
        framing_bytes += len(line) + len(_CHUNK_END)
        if framing_bytes > _MAX_FRAMING_BYTES + _MAX_FRAMING_SHARE * len(body):
            raise MalformedResponseError("the chunks are too small")
        if _read_exactly(source, len(_CHUNK_END)) != _CHUNK_END:
            raise MalformedResponseError("a chunk does not end after its size")
    source.allow(MAX_RESPONSE_HEAD_BYTES)
    while (line := source.readline(MAX_RESPONSE_HEAD_BYTES)) not in _LINE_ENDS:
        if not line.endswith(b"\n"):
            raise MalformedResponseError("a trailer is too long")
    return bytes(body)


def _read_exactly(source: "_BoundedSource", size: int) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise http.client.IncompleteRead(data, size - len(data))
    return data


class _BoundedSource:
    """File of a connection that http.client can neither close nor read without limit."""

    def __init__(self, source: io.BufferedReader, reserve: Callable[[int], None] | None) -> None:
        self._source = source
        self._reserve = reserve
        self._left = 0
        self._has_read = False
        self._is_in_head = False
        self._expects_status_line = False

    def allow(self, size: int) -> None:
        """Allow a number of further bytes.

        :param size: the number of bytes.
        """
        self._left = size

    def expect_status_line(self) -> None:
        """Take the next line, and each one after an interim response, as a status line."""
        self._is_in_head = self._expects_status_line = True

    def end_head(self) -> None:
        """Take the following lines as part of the body."""
        self._is_in_head = False

    def makefile(self, mode: str) -> "_BoundedSource":
        """Return this file; called by http.client, which takes it for a socket."""
        return self

    def readline(self, limit: int) -> bytes:
        """Read a line.

        :param limit: maximum number of bytes to return.
        :raises MalformedResponseError: the connection ended within the response, a carriage return
            is not part of a line end, or a status line is not valid.
        """
        line = self._take(self._source.readline(min(limit, self._left + 1)))
        if not line.endswith(b"\n") and len(line) < limit and (line or self._has_read):
            raise MalformedResponseError("the connection ended within a line or between lines")
        if b"\r" in line.removesuffix(b"\n").removesuffix(b"\r"):
            raise MalformedResponseError("a line has a carriage return that does not end it")
        if self._is_in_head and line:
            self._check_head_line(line)
        self._has_read = True
        return line

    def _check_head_line(self, line: bytes) -> None:
        if self._expects_status_line and not _STATUS_LINE.fullmatch(line):
            raise MalformedResponseError(f"malformed status line {line[:40]!r}")
        # An empty line ends an interim response, after which there is another status line.
        self._expects_status_line = line in _LINE_ENDS

    def read(self, size: int) -> bytes:
        """Read a number of bytes, or fewer at the end of the connection.

        :param size: number of bytes.
        """
        size = min(size, self._left + 1)
        if self._reserve is not None:
            self._reserve(size)
        return self._take(self._source.read(size))

    def _take(self, data: bytes) -> bytes:
        self._left -= len(data)
        if self._left < 0:
            raise MalformedResponseError("the response is too large")
        return data

    def flush(self) -> None:
        """Do nothing, since the file is only read."""

    def close(self) -> None:
        """Do nothing, since the connection is used for further responses."""

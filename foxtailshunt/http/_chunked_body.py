"""Reads the chunked body of a caller's request piece by piece."""

import io
import re
from collections.abc import Callable

from foxtailshunt.http._socket_files import SocketReader

#: Largest piece that is read at a time, in bytes; its room is counted before.
_PIECE_BYTES = 65_536
_MAX_LINE_BYTES = 4096
_MAX_TRAILER_BYTES = 16_384
#: Limit on the framing of the chunks: this number of bytes, plus the size of the content. Each
#: chunk takes processor time, however small it is.
_MAX_FRAMING_BYTES = 256 * 1024
_CHUNK_SIZE = re.compile(rb"[ \t]*([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r?\n")
_LINE_END = b"\r\n"


class BodyTooLargeError(Exception):
    """The body or its framing exceeds its limit."""


def read_chunked_body(
    source: SocketReader, max_bytes: int, reserve: Callable[[int], None]
) -> bytes:
    """Read a chunked body with its trailers.

    :param source: the connection, behind the head of the request.
    :param max_bytes: limit on the content, in bytes; 0 for no limit.
    :param reserve: called with the size of each piece before it is read; may raise an exception to
        end the reading.
    :raises BodyTooLargeError: the content is larger than the limit, or the chunks are too small.
    :raises ValueError: the body is malformed or incomplete.
    :raises OSError: reading failed.
    """
    content = io.BytesIO()
    length = framing = 0
    while True:
        line = source.readline(_MAX_LINE_BYTES)
        matched = _CHUNK_SIZE.fullmatch(line)
        if matched is None:
            raise ValueError(f"malformed chunk size {line[:40]!r}")
        size = int(matched[1], 16)
        if size == 0:
            break
        framing += len(line) + len(_LINE_END)
        if framing > _MAX_FRAMING_BYTES + length + size:
            raise BodyTooLargeError("the chunks are too small")
        if max_bytes and length + size > max_bytes:
            raise BodyTooLargeError("the body is too large")
        length += size
        while size:
            reserve(min(size, _PIECE_BYTES))
            piece = source.read(min(size, _PIECE_BYTES))
            if not piece:
                raise ValueError("the body ended early")
            content.write(piece)
            size -= len(piece)
        if source.read(len(_LINE_END)) != _LINE_END:
            raise ValueError("a chunk does not end after its size")
    _skip_trailers(source)
    return content.getvalue()


def _skip_trailers(source: SocketReader) -> None:
    left = _MAX_TRAILER_BYTES
    while (line := source.readline(_MAX_LINE_BYTES)) != _LINE_END:
        left -= len(line)
        if not line.endswith(_LINE_END):
            raise ValueError("a trailer is malformed")
        if left < 0:
            raise BodyTooLargeError("the trailers are too large")

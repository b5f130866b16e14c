"""Reads answers under one deadline for the whole answer rather than one for each read."""

import io
import socket
import time
from http.client import HTTPResponse
from typing import Any


class DeadlineSocket:
    """Stands in for a socket towards :class:`http.client.HTTPResponse`.

    :param sock: the connected socket.
    :param deadline: when reading fails, in seconds of ``time.monotonic``.
    """

    def __init__(self, sock: socket.socket, deadline: float) -> None:
        self._sock = sock
        self._deadline = deadline
        self._reader: _AnswerReader | None = None

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered reader of the socket.

        :param mode: ignored; the reader is binary.
        """
        self._reader = _AnswerReader(_DeadlineReader(self._sock, self._deadline))
        return self._reader

    @property
    def has_more(self) -> bool:
        """Return whether bytes came after the end of the answer that was read."""
        return self._reader is None or self._reader.has_more


class _AnswerReader(io.BufferedReader):
    has_more = False

    def close(self) -> None:
        if not self.closed:
            self.raw.end()  # type: ignore[attr-defined]
            self.has_more = bool(self.peek(1))
        super().close()


class _DeadlineReader(io.RawIOBase):
    def __init__(self, sock: socket.socket, deadline: float) -> None:
        super().__init__()
        self._sock = sock
        self._raw = sock.makefile("rb", buffering=0)
        self._deadline = deadline
        self._ended = False

    def end(self) -> None:
        self._ended = True

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        if self._ended:
            return None
        remaining_s = self._deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the answer took too long")
        self._sock.settimeout(remaining_s)
        return self._raw.readinto(buffer)

    def close(self) -> None:
        self._raw.close()
        super().close()


def read_whole_body(response: HTTPResponse, max_bytes: int) -> bytes:
    """Return the body of an answer whose end is known.

    :param response: an answer with its headers read.
    :param max_bytes: largest body that is taken.
    :raises ValueError: the answer has neither length nor chunks, or is too large.
    :raises http.client.IncompleteRead: the connection ended inside the body.
    """
    if response.length is None and not response.chunked:
        raise ValueError("the answer's end is not marked")
    if (response.length or 0) > max_bytes:
        raise ValueError(f"the answer is over {max_bytes} bytes")
    if not response.chunked:
        return response.read()
    body = response.read(max_bytes + 1)
    if len(body) > max_bytes:
        raise ValueError(f"the answer is over {max_bytes} bytes")
    return body

"""Reader and writer for callers' sockets, with the interface that cheroot expects.

The sockets are non-blocking, since one thread may read from a connection while another writes to
it, each with a timeout of its own.
"""

import io
import select
import socket
import time
from collections.abc import Callable

_CHUNK_BYTES = 16_384
_MAX_RECEIVE_BYTES = 65_536
_END_OF_HEAD = b"\r\n\r\n"


class SocketReader:
    """A buffered socket reader with the methods that cheroot's requests use.

    :param sock: the connection, non-blocking.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        #: Longest wait for more bytes, in seconds; None for no limit.
        self.timeout_s: float | None = None
        #: Called with the number of bytes of each received piece; None for no call.
        self.on_receive: Callable[[int], None] | None = None
        self._buffer = b""
        #: Position of the first unread byte in the buffer.
        self._start = 0
        self.closed = False
        self.bytes_read = 0

    @property
    def buffered(self) -> bytes:
        """Return the received bytes that have not been read."""
        return self._buffer[self._start :]

    def has_data(self) -> bool:
        """Return whether there are received bytes that have not been read."""
        return self._available() > 0

    def read(self, size: int | None = None) -> bytes:
        """Read a number of bytes, or fewer at the end of the stream.

        :param size: number of bytes; None to read to the end of the stream.
        """
        if size is not None and self._available() >= size:
            return self._consume(size)
        # One buffer: an object for each received piece would take many times the memory of a small
        # one. Its content is returned without a copy.
        content = io.BytesIO()
        length = content.write(self._consume(self._available()))
        while size is None or length < size:
            data = self._receive_bytes(_CHUNK_BYTES if size is None else size - length)
            if not data:
                break
            self.bytes_read += len(data)
            length += content.write(data)
        return content.getvalue()

    def readline(self, size: int | None = None) -> bytes:
        """Read through the next line feed, or to the end of the stream.

        :param size: maximum number of bytes to return; None for no limit.
        """
        scanned = 0
        while True:
            end = self._buffer.find(b"\n", self._start + scanned) + 1 - self._start
            if end > 0 or (size is not None and self._available() >= size):
                break
            scanned = self._available()
            if not self._receive(_CHUNK_BYTES):
                break
        available = end if end > 0 else self._available()
        return self._consume(available if size is None else min(size, available))

    def read_head(self, limit: int) -> bytes | None:
        """Read a request head with its empty line; return None if it is incomplete or too long.

        Receives at most once.

        :param limit: limit on the size of the head in bytes.
        """
        end = self._buffer.find(_END_OF_HEAD, self._start) - self._start
        if end < 0 and self._receive(limit):
            end = self._buffer.find(_END_OF_HEAD)
        return self._consume(end + len(_END_OF_HEAD)) if 0 <= end < limit else None

    def unread(self, data: bytes) -> None:
        """Put bytes back in front of the buffer.

        :param data: the bytes that were read last.
        """
        self._buffer = data + self.buffered
        self._start = 0

    def close(self) -> None:
        """Discard the unread bytes."""
        self.closed = True
        self._buffer = b""
        self._start = 0

    def _available(self) -> int:
        return len(self._buffer) - self._start

    def _receive(self, size: int) -> bool:
        data = self._receive_bytes(max(size - self._available(), _CHUNK_BYTES))
        self._buffer = self.buffered + data
        self._start = 0
        return bool(data)

    def _receive_bytes(self, size: int) -> bytes:
        """Receive up to a number of bytes, at most a chunk; none at the end of the stream."""
        while True:
            try:
                data = self._sock.recv(min(size, _MAX_RECEIVE_BYTES))
            except BlockingIOError:
                _wait_for(self._sock, select.POLLIN, self.timeout_s)
                continue
            if self.on_receive is not None:
                self.on_receive(len(data))
            return data

    def _consume(self, size: int) -> bytes:
        # The rest is not moved: a buffer may hold thousands of small chunks.
        data = self._buffer[self._start : self._start + size]
        self._start += len(data)
        if self._start == len(self._buffer):
            self._buffer = b""
            self._start = 0
        self.bytes_read += len(data)
        return data


class SocketWriter:
    """An unbuffered socket writer with the methods that cheroot's requests use.

    :param sock: the connection, non-blocking.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        #: Longest duration of a complete write, in seconds; None for no limit.
        self.timeout_s: float | None = None
        #: Called with the number of bytes of each sent piece; None for no call.
        self.on_send: Callable[[int], None] | None = None
        self.bytes_written = 0

    def write(self, data: bytes) -> None:
        """Send bytes; returns when all are sent.

        :param data: the bytes.
        """
        deadline = None if self.timeout_s is None else time.monotonic() + self.timeout_s
        unsent = memoryview(data)
        while unsent:
            try:
                sent = self._sock.send(unsent)
                unsent = unsent[sent:]
                if self.on_send is not None:
                    self.on_send(sent)
            except BlockingIOError:
                remaining_s = None if deadline is None else max(0.0, deadline - time.monotonic())
                _wait_for(self._sock, select.POLLOUT, remaining_s)
        self.bytes_written += len(data)


def _wait_for(sock: socket.socket, event: int, timeout_s: float | None) -> None:
    poll = select.poll()
    poll.register(sock, event)
    if not poll.poll(None if timeout_s is None else timeout_s * 1000):
        # cheroot recognizes a timeout by this text.
        raise TimeoutError("timed out")

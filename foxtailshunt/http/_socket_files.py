"""Reading from and writing to callers' sockets."""

import socket

_CHUNK_BYTES = 16_384
_END_OF_HEAD = b"\r\n\r\n"


class SocketReader:
    """A buffered reader with the methods that cheroot's requests use.

    :param sock: the connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffer = b""
        self.closed = False
        self.bytes_read = 0

    @property
    def buffered(self) -> bytes:
        """Return what was received and not yet read."""
        return self._buffer

    def has_data(self) -> bool:
        """Return whether anything was received and not yet read."""
        return bool(self._buffer)

    def read(self, size: int | None = None) -> bytes:
        """Return a number of bytes, or fewer at the end of the stream.

        :param size: number of bytes; None reads to the end of the stream.
        """
        while size is None or len(self._buffer) < size:
            if not self._receive(size or _CHUNK_BYTES):
                break
        return self._take(len(self._buffer) if size is None else size)

    def readline(self, size: int | None = None) -> bytes:
        """Return the bytes up to and with the next line feed, or fewer at the end of the stream.

        :param size: most bytes to return; None for no limit.
        """
        searched = 0
        while True:
            end = self._buffer.find(b"\n", searched) + 1
            if end or (size is not None and len(self._buffer) >= size):
                break
            searched = len(self._buffer)
            if not self._receive(_CHUNK_BYTES):
                break
        wanted = end or len(self._buffer)
        return self._take(wanted if size is None else min(size, wanted))

    def read_head(self, limit: int) -> bytes | None:
        """Return a request's head with its empty line, or None if it did not arrive at once.

        :param limit: largest head in bytes.
        """
        end = self._buffer.find(_END_OF_HEAD)
        if end < 0 and self._receive(limit):
            end = self._buffer.find(_END_OF_HEAD)
        return self._take(end + len(_END_OF_HEAD)) if 0 <= end < limit else None

    def unread(self, data: bytes) -> None:
        """Put back what was taken last.

        :param data: the bytes.
        """
        self._buffer = data + self._buffer

    def close(self) -> None:
        """Drop what was not read."""
        self.closed = True
        self._buffer = b""

    def _receive(self, size: int) -> bool:
        data = self._sock.recv(max(size - len(self._buffer), _CHUNK_BYTES))
        self._buffer += data
        return bool(data)

    def _take(self, size: int) -> bytes:
        data = self._buffer[:size]
        self._buffer = self._buffer[size:]
        self.bytes_read += len(data)
        return data


class SocketWriter:
    """An unbuffered writer with the methods that cheroot's requests use.

    :param sock: the connection; its timeout bounds each whole write.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> None:
        """Send all bytes.

        :param data: the bytes.
        """
        self._sock.sendall(data)
        self.bytes_written += len(data)


def make_socket_file(sock: socket.socket, mode: str, _size: int) -> SocketReader | SocketWriter:
    """Return a reader or a writer of a socket.

    :param sock: the connection.
    :param mode: ``rb`` or ``wb``.
    """
    return SocketReader(sock) if "r" in mode else SocketWriter(sock)

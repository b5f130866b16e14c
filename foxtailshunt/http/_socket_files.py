"""Reader and writer for callers' sockets, with the interface that cheroot expects."""

import socket

_CHUNK_BYTES = 16_384
_END_OF_HEAD = b"\r\n\r\n"


class SocketReader:
    """A buffered socket reader with the methods that cheroot's requests use.

    :param sock: the connection.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffer = b""
        self.closed = False
        self.bytes_read = 0

    @property
    def buffered(self) -> bytes:
        """Return the received bytes that have not been read."""
        return self._buffer

    def has_data(self) -> bool:
        """Return whether there are received bytes that have not been read."""
        return bool(self._buffer)

    def read(self, size: int | None = None) -> bytes:
        """Read a number of bytes, or fewer at the end of the stream.

        :param size: number of bytes; None to read to the end of the stream.
        """
        while size is None or len(self._buffer) < size:
            if not self._receive(size or _CHUNK_BYTES):
                break
        return self._consume(len(self._buffer) if size is None else size)

    def readline(self, size: int | None = None) -> bytes:
        """Read through the next line feed, or to the end of the stream.

        :param size: maximum number of bytes to return; None for no limit.
        """
        scanned = 0
        while True:
            end = self._buffer.find(b"\n", scanned) + 1
            if end or (size is not None and len(self._buffer) >= size):
                break
            scanned = len(self._buffer)
            if not self._receive(_CHUNK_BYTES):
                break
        available = end or len(self._buffer)
        return self._consume(available if size is None else min(size, available))

    def read_head(self, limit: int) -> bytes | None:
        """Read a request head with its empty line; return None if it is incomplete or too long.

        Receives at most once.

        :param limit: limit on the size of the head in bytes.
        """
        end = self._buffer.find(_END_OF_HEAD)
        if end < 0 and self._receive(limit):
            end = self._buffer.find(_END_OF_HEAD)
        return self._consume(end + len(_END_OF_HEAD)) if 0 <= end < limit else None

    def unread(self, data: bytes) -> None:
        """Put bytes back in front of the buffer.

        :param data: the bytes that were read last.
        """
        self._buffer = data + self._buffer

    def close(self) -> None:
        """Discard the unread bytes."""
        self.closed = True
        self._buffer = b""

    def _receive(self, size: int) -> bool:
        data = self._sock.recv(max(size - len(self._buffer), _CHUNK_BYTES))
        self._buffer += data
        return bool(data)

    def _consume(self, size: int) -> bytes:
        data = self._buffer[:size]
        self._buffer = self._buffer[size:]
        self.bytes_read += len(data)
        return data


class SocketWriter:
    """An unbuffered socket writer with the methods that cheroot's requests use.

    :param sock: the connection; its timeout limits each complete write.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> None:
        """Send bytes; returns when all are sent.

        :param data: the bytes.
        """
        self._sock.sendall(data)
        self.bytes_written += len(data)


def make_socket_file(sock: socket.socket, mode: str, _size: int) -> SocketReader | SocketWriter:
    """Return a reader or a writer for a socket.

    :param sock: the connection.
    :param mode: ``rb`` for a reader, ``wb`` for a writer.
    """
    return SocketReader(sock) if "r" in mode else SocketWriter(sock)

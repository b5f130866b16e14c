"""One direction of a proxied connection."""

import socket
import struct
import time

# l_onoff = 1, l_linger = 0: close() resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CHUNK_BYTES = 65_536


class ByteForwarder:
    """Moves bytes from one socket to another, on a thread of its own.

    :param source: where bytes come from.
    :param sink: where they go.
    """

    def __init__(self, source: socket.socket, sink: socket.socket) -> None:
        self._source = source
        self._sink = sink
        self._bytes_left: int | None = None
        #: True once bytes and closings are lost in this direction.
        self.is_silent = False
        #: True once both ends are being reset, so that no closing is passed on before that.
        self.is_cut = False
        #: Time that bytes are held up, in seconds.
        self.delay_s = 0.0
        #: The other direction of the connection; set once both are made.
        self.opposite: ByteForwarder = self

    def truncate_after(self, byte_count: int | None) -> None:
        """Close the connection after a number of bytes more.

        :param byte_count: how many bytes still pass; None for no limit.
        """
        self._bytes_left = byte_count

    def run(self) -> None:
        """Move bytes until the source has ended or the sink takes no more."""
        while True:
            data = self._receive()
            if not data:
                return
            time.sleep(self.delay_s)
            if not self.is_silent and not self._deliver(data):
                return

    def _receive(self) -> bytes:
        try:
            data = self._source.recv(_CHUNK_BYTES)
        except OSError:
            if not self.is_silent:
                reset(self._sink)
            return b""
        if not data and not self.is_silent and not self.is_cut:
            _end_writing(self._sink)
        return data

    def _deliver(self, data: bytes) -> bool:
        left = self._bytes_left
        try:
            self._sink.sendall(data if left is None else data[:left])
        except OSError:
            if not self.opposite.is_silent:
                reset(self._source)
            return False
        if left is None:
            return True
        self._bytes_left = max(0, left - len(data))
        if self._bytes_left == 0:
            self._close_both()
        return self._bytes_left > 0

    def _close_both(self) -> None:
        for sock in (self._source, self._sink):
            _end_writing(sock)
            _end_reading(sock)


def reset(sock: socket.socket) -> None:
    """Have a socket reset its connection once it is closed, and wake its reader.

    :param sock: the socket.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError:
        return
    _end_reading(sock)


def _end_reading(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass


def _end_writing(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        pass

"""One direction of a proxied connection."""

import socket
import struct
import time

# l_onoff = 1 and l_linger = 0 have close() reset the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CHUNK_BYTES = 65_536


class ByteForwarder:
    """Forwards bytes from one socket to another; :meth:`run` blocks its thread.

    :param source: the socket to read from.
    :param sink: the socket to write to.
    """

    def __init__(self, source: socket.socket, sink: socket.socket) -> None:
        self._source = source
        self._sink = sink
        self._remaining_bytes: int | None = None
        #: True once bytes and closes are dropped in this direction.
        self.is_silent = False
        #: True once both ends are being reset, so that no orderly close is forwarded before that.
        self.is_cut = False
        #: Delay of bytes, in seconds.
        self.delay_s = 0.0
        #: Forwarder of the other direction; set after both have been created.
        self.opposite: ByteForwarder = self

    def truncate_after(self, byte_count: int | None) -> None:
        """Close the connection after a number of further bytes.

        :param byte_count: the number of bytes; None for no limit.
        """
        self._remaining_bytes = byte_count

    def run(self) -> None:
        """Forward bytes until the source has ended or the sink accepts no more."""
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
            _shut_down_writing(self._sink)
        return data

    def _deliver(self, data: bytes) -> bool:
        remaining_bytes = self._remaining_bytes
        try:
            self._sink.sendall(data if remaining_bytes is None else data[:remaining_bytes])
        except OSError:
            if not self.opposite.is_silent:
                reset(self._source)
            return False
        if remaining_bytes is None:
            return True
        self._remaining_bytes = max(0, remaining_bytes - len(data))
        if self._remaining_bytes == 0:
            self._close_both()
        return self._remaining_bytes > 0

    def _close_both(self) -> None:
        for sock in (self._source, self._sink):
            _shut_down_writing(sock)
            _shut_down_reading(sock)


def reset(sock: socket.socket) -> None:
    """Set a socket to reset its connection when it is closed, and wake its reader.

    :param sock: the socket.
    """
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError:
        return
    _shut_down_reading(sock)


def _shut_down_reading(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass


def _shut_down_writing(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        pass

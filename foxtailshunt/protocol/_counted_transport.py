"""Framed transport of a client, which counts the bytes of a reply before it reads it."""

import struct
import time

from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportBase

from foxtailshunt.memory import Reservation
from foxtailshunt.protocol._limits import MAX_FRAME_BYTES

_FRAME_HEADER = struct.Struct("!i")
#: Longest wait for memory for a reply, in seconds.
_MEMORY_WAIT_S = 2.0


class CountedTransport(TFramedTransport):
    """Counts each reply twice, since decoding it copies its body.

    :param sock: the connection.
    """

    def __init__(self, sock: TSocket) -> None:
        self._counted_socket = _CountedSocket(sock)
        super().__init__(self._counted_socket, MAX_FRAME_BYTES)

    def count_next(self, memory: Reservation | None) -> None:
        """Count the bytes of the next reply.

        :param memory: counts the bytes; None to count none.
        """
        self._counted_socket.memory = memory
        self._counted_socket.expects_header = True


class _CountedSocket(TTransportBase):
    """Passes reads and writes on, and counts a frame when its header has been read."""

    def __init__(self, sock: TSocket) -> None:
        self._socket = sock
        self.memory: Reservation | None = None
        self.expects_header = True

    def isOpen(self) -> bool:  # noqa: N802
        return bool(self._socket.isOpen())

    def open(self) -> None:
        self._socket.open()

    def close(self) -> None:
        self._socket.close()

    def write(self, data: bytes) -> None:
        self._socket.write(data)

    def flush(self) -> None:
        self._socket.flush()

    def readAll(self, size: int) -> bytes:  # noqa: N802
        data: bytes = self._socket.readAll(size)
        if self.memory is not None and self.expects_header:
            (frame_size,) = _FRAME_HEADER.unpack(data)
            if 0 < frame_size <= MAX_FRAME_BYTES:
                self.memory.grow(2 * frame_size, time.monotonic() + _MEMORY_WAIT_S)
        self.expects_header = not self.expects_header
        return data

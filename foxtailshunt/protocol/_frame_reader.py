"""Reads the frames of calls, and counts their bytes before they are read."""

import io
import socket
import struct
from collections.abc import Container

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from foxtailshunt.memory import NoMemoryError, Reservation
from foxtailshunt.protocol._limits import MAX_FRAME_BYTES

_RECEIVE_BYTES = 65_536
_FRAME_HEADER = struct.Struct("!i")
#: Start of a frame that contains the name and the number of its call, in bytes.
_START_BYTES = 128


class UncountedFrameError(Exception):
    """There is no memory for a frame; it was discarded without being decoded.

    :param method: name of the called method.
    :param seqid: number of the call.
    """

    def __init__(self, method: str, seqid: int) -> None:
        super().__init__(f"no memory for a call of {method}")
        self.method = method
        self.seqid = seqid


class FrameReader:
    """Reads one frame from a connection.

    :param conn: the connection.
    :param memory: counts the frame twice, since decoding it copies its body.
    :param refusable: names of the methods whose calls may be refused.
    """

    def __init__(self, conn: socket.socket, memory: Reservation, refusable: Container[str]) -> None:
        self._conn = conn
        self._memory = memory
        self._refusable = refusable
        #: True unless a frame was read.
        self.has_failed = True

    def read(self) -> bytes | None:
        """Return the next frame, or None if the peer closed the connection.

        :raises ValueError: the frame size is out of range.
        :raises UncountedFrameError: there is no memory for the frame.
        :raises OSError: reading failed.
        """
        header = self._read_exactly(_FRAME_HEADER.size)
        if header is None:
            return None
        (size,) = _FRAME_HEADER.unpack(header)
        if not 0 < size <= MAX_FRAME_BYTES:
            raise ValueError(f"frame size {size} is out of range")
        start = self._read_exactly(min(size, _START_BYTES))
        if start is None:
            return None
        if size > _START_BYTES:
            self._count(start, size)
        rest = self._read_exactly(size - len(start), start)
        self._memory.end_transfer()
        self.has_failed = rest is None
        return rest

    def _count(self, start: bytes, size: int) -> None:
        """Count a frame, or discard it if there is no memory and its call may be refused."""
        self._memory.begin_transfer(self._shut_down)
        try:
            self._memory.grow(2 * size)
        except NoMemoryError:
            method, seqid = _decode_start(start)
            if method not in self._refusable:
                return
            self._discard(size - len(start))
            raise UncountedFrameError(method, seqid)

    def _discard(self, size: int) -> None:
        while size > 0:
            part = self._conn.recv(min(size, _RECEIVE_BYTES))
            if not part:
                raise ConnectionResetError("the peer closed the connection")
            size -= len(part)

    def _read_exactly(self, size: int, start: bytes = b"") -> bytes | None:
        """Return the start and a number of further bytes, or None at the end of the connection."""
        content = io.BytesIO()
        content.write(start)
        while size > 0:
            part = self._conn.recv(min(size, _RECEIVE_BYTES))
            if not part:
                return None
            self._memory.record_progress(len(part))
            content.write(part)
            size -= len(part)
        return content.getvalue()

    def _shut_down(self) -> None:
        try:
            self._conn.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer has closed it.
            pass


def _decode_start(start: bytes) -> tuple[str, int]:
    """Return the method and the number of the call at the start of a frame.

    :raises ValueError: the call is malformed.
    """
    try:
        method, _, seqid = TCompactProtocol(TMemoryBuffer(start)).readMessageBegin()
    except Exception as exc:
        # The decoder raises exceptions of many types for malformed input.
        raise ValueError(f"malformed call: {exc}")
    return method, seqid

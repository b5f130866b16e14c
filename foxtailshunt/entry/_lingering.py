"""Keeps refused connections open until their callers have read the refusal."""

import socket
import threading
from collections import deque

#: Longest time that a refused connection is kept, in seconds.
LINGER_S = 3.0

_MAX_LINGERING = 128
_CHUNK_BYTES = 65_536
_CHUNKS_AT_A_TIME = 32


class LingeringSockets:
    """Reads and drops what callers of refused requests still send.

    Closing with unread data would reset the connection, and the caller could lose the refusal.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sockets: deque[tuple[float, socket.socket]] = deque()

    def add(self, sock: socket.socket, now: float) -> bool:
        """Take over a connection; False if there are too many or it has failed.

        :param sock: the connection; nothing more is sent on it.
        :param now: the time in seconds.
        """
        try:
            sock.shutdown(socket.SHUT_WR)
            sock.setblocking(False)
        except OSError:
            return False
        with self._lock:
            if len(self._sockets) >= _MAX_LINGERING:
                return False
            self._sockets.append((now + LINGER_S, sock))
        return True

    def drop_received(self, now: float) -> None:
        """Drop what was received, and close the connections that have ended or are overdue.

        :param now: the time in seconds.
        """
        with self._lock:
            sockets = list(self._sockets)
            self._sockets.clear()
        for due, sock in sockets:
            if now < due and not _has_ended(sock):
                with self._lock:
                    self._sockets.append((due, sock))
            else:
                sock.close()


def _has_ended(sock: socket.socket) -> bool:
    try:
        for _ in range(_CHUNKS_AT_A_TIME):
            if not sock.recv(_CHUNK_BYTES):
                return True
    except BlockingIOError:
        return False
    except OSError:
        return True
    return False

"""A listening socket that can be closed and reopened at the same address."""

import socket
import threading
from collections.abc import Callable

_BACKLOG = 256


class Listener:
    """Accepts connections on a separate thread.

    :param address: host and port; port 0 selects a free port.
    :param accept: called with each accepted socket; must not block.
    :raises OSError: the address cannot be bound.
    """

    def __init__(self, address: tuple[str, int], accept: Callable[[socket.socket], None]) -> None:
        self._accept = accept
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._thread: threading.Thread | None = None
        self.address = address
        self.open()

    def open(self) -> None:
        """Listen; has no effect if already listening."""
        with self._lock:
            if self._socket is not None:
                return
            sock = socket.create_server(self.address, backlog=_BACKLOG)
            self.address = sock.getsockname()
            self._socket = sock
            self._thread = threading.Thread(
                target=self._run, args=(sock,), name="proxy-accept", daemon=True
            )
            self._thread.start()

    def close(self) -> None:
        """Refuse new connections; accepted connections are not affected."""
        with self._lock:
            if self._socket is None:
                return
            # Unlike close(), this wakes the thread that is blocked in accept().
            self._socket.shutdown(socket.SHUT_RDWR)
            self._thread.join()
            self._socket.close()
            self._socket = None

    def _run(self, sock: socket.socket) -> None:
        while True:
            try:
                accepted, _ = sock.accept()
            except OSError:
                return
            self._accept(accepted)

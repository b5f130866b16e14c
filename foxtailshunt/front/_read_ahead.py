"""Notices data of callers whose connections no thread reads."""

import select
import socket
import threading
from collections.abc import Callable

from foxtailshunt.telemetry import log_thread_error


class ReadAheadWatcher:
    """Watches connections while their requests are in progress, on one thread.

    Most callers send their next request after the response, so that a thread that waits for it on
    each connection would rarely have work.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._thread = threading.Thread(target=self._run, name="read-ahead", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def arm(self, sock: socket.socket, on_data: Callable[[], None]) -> None:
        """Call a function once when data arrives or the caller closes the connection.

        The call may still come after :meth:`disarm`.

        :param sock: the connection.
        :param on_data: called on the watcher's thread; must not block.
        """
        fd = sock.fileno()
        events = select.EPOLLIN | select.EPOLLONESHOT
        with self._lock:
            if fd in self._callbacks:
                # The connection stays registered after its event.
                self._epoll.modify(fd, events)
            else:
                self._epoll.register(fd, events)
            self._callbacks[fd] = on_data

    def disarm(self, sock: socket.socket) -> None:
        """Stop watching a connection; must be called before it is closed.

        :param sock: the connection.
        """
        fd = sock.fileno()
        with self._lock:
            if self._callbacks.pop(fd, None) is not None:
                self._epoll.unregister(fd)

    def _run(self) -> None:
        while True:
            for fd, _ in self._epoll.poll():
                with self._lock:
                    on_data = self._callbacks.get(fd)
                if on_data is None:
                    continue
                try:
                    on_data()
                except Exception as exc:
                    log_thread_error("read-ahead", exc)

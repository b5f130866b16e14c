"""One link: the connections from callers to a target, and the fault that they meet."""

import socket
import threading
from functools import singledispatchmethod

from standins.proxy._connection import ProxiedConnection
from standins.proxy._faults import (
    Cut,
    Delay,
    Direction,
    Fault,
    Pass,
    Refuse,
    Scope,
    Silence,
    Truncate,
)
from standins.proxy._lane import reset

_CONNECT_TIMEOUT_S = 5


class Link:
    """Forwards connections that were accepted for it and injects the fault that is set.

    :param target: host and port of the target.
    :param source_host: IP number that connections to the target come from; None for any.
    """

    def __init__(self, target: tuple[str, int], source_host: str | None = None) -> None:
        self._target = target
        self._source = (source_host, 0) if source_host else None
        self._lock = threading.Lock()
        self._connections: set[ProxiedConnection] = set()
        self._fault: Fault = Pass()

    @property
    def fault(self) -> Fault:
        """Return the fault that was set last."""
        return self._fault

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def set_fault(self, fault: Fault) -> None:
        """Replace the link's fault.

        :param fault: the fault from now on.
        """
        with self._lock:
            self._fault = fault
            self._clear()
            for connection in self._connections:
                self._meet(fault, connection)

    def cut(self) -> None:
        """Reset the open connections."""
        with self._lock:
            for connection in self._connections:
                connection.cut()

    def forward(self, caller: socket.socket) -> None:
        """Forward a connection, on threads of its own.

        :param caller: the accepted socket.
        """
        thread = threading.Thread(
            target=self._run, args=(caller,), name="proxy-to-target", daemon=True
        )
        thread.start()

    def _clear(self) -> None:
        for connection in self._connections:
            connection.delay(0)
            connection.truncate(None)

    @singledispatchmethod
    def _meet(self, fault: Fault, connection: ProxiedConnection) -> None:
        raise TypeError(f"no fault: {type(fault).__name__}")

    @_meet.register
    def _(self, fault: Pass | Refuse, connection: ProxiedConnection) -> None:
        return

    @_meet.register
    def _(self, fault: Cut, connection: ProxiedConnection) -> None:
        connection.cut()

    @_meet.register
    def _(self, fault: Silence, connection: ProxiedConnection) -> None:
        connection.silence(fault.direction)

    @_meet.register
    def _(self, fault: Delay, connection: ProxiedConnection) -> None:
        connection.delay(fault.delay_ms / 1000)

    @_meet.register
    def _(self, fault: Truncate, connection: ProxiedConnection) -> None:
        connection.truncate(fault.byte_count)

    def _run(self, caller: socket.socket) -> None:
        try:
            target = None if self._hides_target() else self._connect()
        except OSError:
            reset(caller)
            caller.close()
            return
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ProxiedConnection(caller, target)
        with self._lock:
            if self._meets_new_connections():
                self._meet(self._fault, connection)
            self._connections.add(connection)
        connection.run()
        with self._lock:
            self._connections.discard(connection)

    def _meets_new_connections(self) -> bool:
        fault = self._fault
        if isinstance(fault, Silence):
            return fault.scope is Scope.ALL
        return not isinstance(fault, Cut)

    def _hides_target(self) -> bool:
        fault = self._fault
        if not isinstance(fault, Silence) or fault.scope is not Scope.ALL:
            return False
        return fault.direction.includes(Direction.TO_TARGET)

    def _connect(self) -> socket.socket:
        sock = socket.create_connection(
            self._target, timeout=_CONNECT_TIMEOUT_S, source_address=self._source
        )
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

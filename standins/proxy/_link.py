"""One link: the connections from callers to a target, and the fault injected into them."""

import socket
import threading
from functools import singledispatchmethod

from standins.proxy._byte_forwarder import reset
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

_CONNECT_TIMEOUT_S = 5


class Link:
    """Forwards accepted connections and injects the current fault.

    :param target: host and port of the target.
    :param source_host: source IP address of connections to the target; None for any.
    """

    def __init__(self, target: tuple[str, int], source_host: str | None = None) -> None:
        self._target = target
        self._source = (source_host, 0) if source_host else None
        self._lock = threading.Lock()
        self._connections: set[ProxiedConnection] = set()
        self._fault: Fault = Pass()

    @property
    def fault(self) -> Fault:
        """Return the current fault."""
        return self._fault

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def set_fault(self, fault: Fault) -> None:
        """Replace the link's fault.

        :param fault: the new fault.
        """
        with self._lock:
            self._fault = fault
            self._clear_faults()
            for connection in self._connections:
                self._apply_fault(fault, connection)

    def cut(self) -> None:
        """Reset the open connections."""
        with self._lock:
            for connection in self._connections:
                connection.cut()

    def forward(self, caller: socket.socket) -> None:
        """Forward a connection, on separate threads.

        :param caller: the accepted socket.
        """
        thread = threading.Thread(
            target=self._run_connection, args=(caller,), name="proxy-to-target", daemon=True
        )
        thread.start()

    def _clear_faults(self) -> None:
        for connection in self._connections:
            connection.delay(0)
            connection.truncate(None)

    @singledispatchmethod
    def _apply_fault(self, fault: Fault, connection: ProxiedConnection) -> None:
        raise TypeError(f"not a fault: {type(fault).__name__}")

    @_apply_fault.register
    def _(self, fault: Pass | Refuse, connection: ProxiedConnection) -> None:
        return

    @_apply_fault.register
    def _(self, fault: Cut, connection: ProxiedConnection) -> None:
        connection.cut()

    @_apply_fault.register
    def _(self, fault: Silence, connection: ProxiedConnection) -> None:
        connection.silence(fault.direction)

    @_apply_fault.register
    def _(self, fault: Delay, connection: ProxiedConnection) -> None:
        connection.delay(fault.delay_ms / 1000)

    @_apply_fault.register
    def _(self, fault: Truncate, connection: ProxiedConnection) -> None:
        connection.truncate(fault.byte_count)

    def _run_connection(self, caller: socket.socket) -> None:
        try:
            target = None if self._isolates_target() else self._connect()
        except OSError:
            reset(caller)
            caller.close()
            return
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ProxiedConnection(caller, target)
        with self._lock:
            if self._affects_new_connections():
                self._apply_fault(self._fault, connection)
            self._connections.add(connection)
        connection.run()
        with self._lock:
            self._connections.discard(connection)

    def _affects_new_connections(self) -> bool:
        fault = self._fault
        if isinstance(fault, Silence):
            return fault.scope is Scope.ALL
        return not isinstance(fault, Cut)

    def _isolates_target(self) -> bool:
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

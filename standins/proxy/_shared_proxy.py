"""A proxy for one target that distinguishes callers by their IP address."""

import socket
import threading

from standins.proxy._byte_forwarder import reset
from standins.proxy._faults import Fault
from standins.proxy._link import Link
from standins.proxy._listener import Listener


class SharedProxy:
    """Forwards connections to a target that all callers reach at one address.

    Each caller's IP address has a separate link, so that a target can be disconnected from some
    callers but not from others.

    :param listen: the address that callers connect to.
    :param target: the address of the target.
    :raises OSError: the address to listen on cannot be bound.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self._target = target
        self._lock = threading.Lock()
        self._links: dict[str, Link] = {}
        self._listener = Listener(listen, self._forward)

    def set_fault(self, caller_host: str, fault: Fault) -> None:
        """Replace the fault of one caller's link.

        :param caller_host: the caller's IP address.
        :param fault: the new fault.
        """
        self._link_of(caller_host).set_fault(fault)

    def set_fault_for_all(self, fault: Fault) -> None:
        """Replace the fault of every link that had a connection or a fault so far.

        :param fault: the new fault.
        """
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.set_fault(fault)

    def close(self) -> None:
        """Refuse new connections and reset open connections."""
        self._listener.close()
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.cut()

    def _forward(self, caller: socket.socket) -> None:
        try:
            host = caller.getpeername()[0]
        except OSError:
            reset(caller)
            caller.close()
            return
        self._link_of(host).forward(caller)

    def _link_of(self, caller_host: str) -> Link:
        with self._lock:
            return self._links.setdefault(caller_host, Link(self._target))

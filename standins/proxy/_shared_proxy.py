"""A proxy in front of one target that tells its callers apart by their IP number."""

import socket
import threading

from standins.proxy._faults import Fault
from standins.proxy._lane import reset
from standins.proxy._link import Link
from standins.proxy._listener import Listener


class SharedProxy:
    """Stands in front of a target that all callers know by one address.

    Each caller's IP number is a link of its own, so that a target can be cut off from some callers
    and not from others.

    :param listen: the address that callers know.
    :param target: the target's own address.
    :raises OSError: the address to listen on cannot be bound.
    """

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self._target = target
        self._lock = threading.Lock()
        self._links: dict[str, Link] = {}
        self._listener = Listener(listen, self._take)

    def set_fault(self, caller_host: str, fault: Fault) -> None:
        """Replace the fault of one caller's link.

        :param caller_host: the caller's IP number.
        :param fault: the fault from now on.
        """
        self._link_of(caller_host).set_fault(fault)

    def set_fault_for_all(self, fault: Fault) -> None:
        """Replace the fault of every link that was used or disturbed so far.

        :param fault: the fault from now on.
        """
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.set_fault(fault)

    def close(self) -> None:
        """Refuse connections and reset those that are open."""
        self._listener.close()
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.cut()

    def _take(self, caller: socket.socket) -> None:
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

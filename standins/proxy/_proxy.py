"""The proxy of one link."""

from standins.proxy._faults import Fault, Refuse
from standins.proxy._link import Link
from standins.proxy._listener import Listener


class FaultProxy:
    """Forwards connections to a target and injects the current fault.

    :param listen: host and port to listen on; port 0 selects a free port.
    :param target: host and port of the target.
    :param source_host: source IP address of connections to the target; None for any.
    :raises OSError: the address to listen on cannot be bound.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        target: tuple[str, int],
        source_host: str | None = None,
    ) -> None:
        self._link = Link(target, source_host)
        self._listener = Listener(listen, self._link.forward)

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that callers connect to."""
        return self._listener.address

    @property
    def fault(self) -> Fault:
        """Return the current fault."""
        return self._link.fault

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return self._link.connection_count

    def set_fault(self, fault: Fault) -> None:
        """Replace the link's fault.

        :param fault: the new fault.
        """
        self._link.set_fault(fault)
        if isinstance(fault, Refuse):
            self._listener.close()
        else:
            self._listener.open()

    def close(self) -> None:
        """Refuse new connections and reset open connections."""
        self._listener.close()
        self._link.cut()

"""The links of one process."""

import threading
from fnmatch import fnmatchcase

from standins.proxy._faults import Fault
from standins.proxy._proxy import FaultProxy


class LinkSet:
    """The proxies of links by link name, such as ``wanaka/i1->u3``."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._proxies: dict[str, FaultProxy] = {}

    def add_link(
        self,
        name: str,
        listen: tuple[str, int],
        target: tuple[str, int],
        source_host: str | None = None,
    ) -> tuple[str, int]:
        """Start a proxy and return the address that it listens on.

        :param name: the link's name.
        :param listen: host and port to listen on; port 0 selects a free port.
        :param target: host and port of the target.
        :param source_host: source IP address of connections to the target; None for any.
        :raises ValueError: a link of this name exists.
        """
        with self._lock:
            if name in self._proxies:
                raise ValueError(f"link {name} already exists")
            proxy = FaultProxy(listen, target, source_host)
            self._proxies[name] = proxy
            return proxy.address

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Return the address that each link listens on, by name."""
        with self._lock:
            return {name: proxy.address for name, proxy in self._proxies.items()}

    def set_fault(self, name: str, fault: Fault) -> None:
        """Replace a link's fault.

        :param name: the link's name.
        :param fault: the new fault.
        :raises KeyError: no link has this name.
        """
        self._proxies[name].set_fault(fault)

    def set_faults(self, pattern: str, fault: Fault) -> int:
        """Replace the fault of each link whose name matches, and return their number.

        :param pattern: shell pattern such as ``wanaka/*``.
        :param fault: the new fault.
        """
        with self._lock:
            matching = [
                proxy for name, proxy in self._proxies.items() if fnmatchcase(name, pattern)
            ]
        for proxy in matching:
            proxy.set_fault(fault)
        return len(matching)

    def close(self) -> None:
        """Close all links."""
        with self._lock:
            proxies = list(self._proxies.values())
            self._proxies.clear()
        for proxy in proxies:
            proxy.close()

"""Many links in one process."""

import threading
from fnmatch import fnmatchcase

from standins.proxy._faults import Fault
from standins.proxy._proxy import FaultProxy


class LinkSet:
    """Proxies by the names of their links, such as ``wanaka/i1->u3``."""

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
        :param listen: host and port to listen on; port 0 takes a free one.
        :param target: host and port of the target.
        :param source_host: IP number that connections to the target come from; None for any.
        :raises ValueError: there is a link of this name.
        """
        with self._lock:
            if name in self._proxies:
                raise ValueError(f"there is a link {name} already")
            proxy = FaultProxy(listen, target, source_host)
            self._proxies[name] = proxy
            return proxy.address

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Return the address that each link listens on, by name."""
        with self._lock:
            return {name: proxy.address for name, proxy in self._proxies.items()}

    def set_fault(self, name: str, fault: Fault) -> None:
        """Replace a link's fault.

        :param name: the link.
        :param fault: the fault from now on.
        :raises KeyError: there is no such link.
        """
        self._proxies[name].set_fault(fault)

    def set_faults(self, pattern: str, fault: Fault) -> int:
        """Replace the fault of each link whose name matches, and return how many there are.

        :param pattern: shell pattern such as ``wanaka/*``.
        :param fault: the fault from now on.
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

"""The clients of the configured upstreams."""

import threading
from collections.abc import Callable

from foxtailshunt.membership import View
from foxtailshunt.ownership import Address
from foxtailshunt.timing import Clock
from foxtailshunt.upstream._http_upstream import HttpUpstream
from foxtailshunt.upstream._interface import UpstreamClient, UpstreamConnectionError

#: Makes a client from an address and a number of connections.
ClientFactory = Callable[[Address, int], UpstreamClient]


class UpstreamDirectory:
    """Gives the client of each upstream; follows the configuration in force.

    A client is replaced when its address or limit changes, and closed when it is gone.

    :param view: holds the configuration.
    :param clock: handed to the clients.
    :param make_client: makes a client; HTTP clients if None.
    """

    def __init__(self, view: View, clock: Clock, make_client: ClientFactory | None = None) -> None:
        self._view = view
        self._clock = clock
        self._make_client = make_client or self._make_http_client
        self._lock = threading.Lock()
        self._cfg_version = 0
        self._targets: dict[str, tuple[Address, int]] = {}
        self._clients: dict[str, UpstreamClient] = {}
        view.subscribe(self._take_cfg)
        self._take_cfg()

    def client(self, upstream_id: str) -> UpstreamClient:
        """Return the client of an upstream.

        :param upstream_id: the upstream.
        :raises UpstreamConnectionError: the configuration does not name it; nothing was sent.
        """
        client = self._clients.get(upstream_id)
        return client if client is not None else self._add_client(upstream_id)

    def close(self) -> None:
        """Close all clients."""
        with self._lock:
            clients = list(self._clients.values())
            self._clients.clear()
            self._targets.clear()
        for client in clients:
            client.close()

    def _make_http_client(self, address: Address, connections: int) -> UpstreamClient:
        return HttpUpstream(address, connections, self._clock)

    def _add_client(self, upstream_id: str) -> UpstreamClient:
        with self._lock:
            client = self._clients.get(upstream_id)
            if client is not None:
                return client
            target = self._targets.get(upstream_id)
            if target is None:
                raise UpstreamConnectionError(
                    f"upstream {upstream_id} is not configured", sent=False, refused=False
                )
            client = self._make_client(*target)
            self._clients[upstream_id] = client
            return client

    def _take_cfg(self) -> None:
        with self._lock:
            cfg = self._view.cfg
            if cfg is None or cfg.version == self._cfg_version:
                return
            self._cfg_version = cfg.version
            targets = {
                upstream.upstream_id: (upstream.address, service.limits.connections)
                for service in cfg.services.values()
                for upstream in service.upstreams
            }
            stale = [name for name in self._clients if targets.get(name) != self._targets.get(name)]
            closing = [self._clients.pop(name) for name in stale]
            self._targets = targets
        for client in closing:
            client.close()

"""Fault-injecting proxies of a test fleet, one for each advertised address."""

from foxtailshunt.network import Address
from standins.fleet._layout import Layout
from standins.proxy import Direction, Pass, Scope, SharedProxy, Silence

_PARTITION = Silence(Direction.BOTH, Scope.ALL)


class FleetProxy:
    """Proxies for the store, the upstreams and the nodes.

    Clients are distinguished by their source IP address.

    :param layout: layout of a fleet with proxies.
    """

    def __init__(self, layout: Layout) -> None:
        self._proxies: dict[Address, SharedProxy] = {}
        self._add(layout.store_advertised, layout.store_listen)
        for upstream in layout.upstreams:
            self._add(upstream.advertised_address, upstream.listen_address)
        for instance in layout.instances:
            self._add(instance.peer_advertised, instance.peer_listen)

    def cut(self, hosts: set[str], target: Address) -> None:
        """Drop all data between some clients and a target, in both directions.

        :param hosts: source IP addresses of the clients.
        :param target: advertised address of the target.
        """
        for host in hosts:
            self._proxies[target].set_fault(host, _PARTITION)

    def silence_open_connections(self, target: Address, direction: Direction) -> None:
        """Drop data on all open connections to a target until they are closed; new ones work.

        :param target: advertised address of the target.
        :param direction: direction in which data is dropped.
        """
        self._proxies[target].set_fault_for_all(Silence(direction, Scope.EXISTING))

    def heal(self) -> None:
        """Clear all faults; connections that went silent stay silent."""
        for proxy in self._proxies.values():
            proxy.set_fault_for_all(Pass())

    def close(self) -> None:
        """Close all proxies."""
        for proxy in self._proxies.values():
            proxy.close()

    def _add(self, advertised: Address, listen: Address) -> None:
        self._proxies[advertised] = SharedProxy(advertised, listen)

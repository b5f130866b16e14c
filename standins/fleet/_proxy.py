"""The proxies of a fleet: one in front of each address that others know."""

from foxtailshunt.network import Address
from standins.fleet._layout import Layout
from standins.proxy import Direction, Pass, Scope, SharedProxy, Silence

_CUT = Silence(Direction.BOTH, Scope.ALL)


class FleetProxy:
    """Stands in front of the store, the upstreams and the nodes.

    Callers are told apart by the IP number that they call from.

    :param layout: a proxied layout.
    """

    def __init__(self, layout: Layout) -> None:
        self._proxies: dict[Address, SharedProxy] = {}
        self._add(layout.store_advertised, layout.store_listen)
        for upstream in layout.upstreams:
            self._add(upstream.advertised_address, upstream.listen_address)
        for instance in layout.instances:
            self._add(instance.peer_advertised, instance.peer_listen)

    def cut(self, hosts: set[str], target: Address) -> None:
        """Let everything that some callers send to a target, and its answers, be lost.

        :param hosts: IP numbers of the callers.
        :param target: the address by which they know the target.
        """
        for host in hosts:
            self._proxies[target].set_fault(host, _CUT)

    def silence_open_connections(self, target: Address, direction: Direction) -> None:
        """Let every open connection to a target go silent for good; new ones work.

        :param target: the address by which it is known.
        :param direction: in which direction bytes are lost.
        """
        self._proxies[target].set_fault_for_all(Silence(direction, Scope.EXISTING))

    def heal(self) -> None:
        """End all faults; connections that went silent stay so."""
        for proxy in self._proxies.values():
            proxy.set_fault_for_all(Pass())

    def close(self) -> None:
        """Close all proxies."""
        for proxy in self._proxies.values():
            proxy.close()

    def _add(self, known: Address, listen: Address) -> None:
        self._proxies[known] = SharedProxy(known, listen)

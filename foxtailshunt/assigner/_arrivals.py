"""The arrivals of the next table: which slots came from which upstream in one step."""

from collections.abc import Collection, Iterable
from dataclasses import replace

from foxtailshunt.ownership import Arrival, Fence, Transit

#: Most arrivals in a table; the oldest are dropped, and their slots' memory starts anew.
MAX_ARRIVALS = 64


class ArrivalDraft:
    """Follows the arrivals while a table is being planned.

    A slot has an arrival only if the write that ends its transit gives it away: then nobody can
    have owned it in between. It loses the arrival when it is taken again.

    :param arrivals: those of the table in force.
    """

    def __init__(self, arrivals: tuple[Arrival, ...]) -> None:
        self._arrivals = list(arrivals)
        self._ended: list[Transit] = []

    def end_transits(self, ended: Iterable[Transit]) -> None:
        """Take in what may be given away from now on.

        :param ended: transits that have surely ended.
        """
        self._ended.extend(ended)

    def add(self, service: str, upstream_id: str, fence: Fence, slots: frozenset[int]) -> None:
        """Take in that an upstream gained slots.

        :param service: the service.
        :param upstream_id: the upstream.
        :param fence: the fence of its row.
        :param slots: the slots.
        """
        self.remove(service, slots)
        for transit in self._ended:
            arrived = transit.slots & slots
            if transit.service == service and arrived:
                self._arrivals.append(
                    Arrival(
                        service, arrived, transit.upstream_id, transit.fence, upstream_id, fence
                    )
                )

    def remove(self, service: str, slots: frozenset[int]) -> None:
        """Forget the arrivals of slots.

        :param service: the service.
        :param slots: the slots.
        """
        left = [
            replace(arrival, slots=arrival.slots - slots) if arrival.service == service else arrival
            for arrival in self._arrivals
        ]
        self._arrivals = [arrival for arrival in left if arrival.slots]

    def build(self, upstream_ids: Collection[str]) -> tuple[Arrival, ...]:
        """Return the newest arrivals at the given upstreams.

        :param upstream_ids: the upstreams of the table.
        """
        kept = [each for each in self._arrivals if each.to_upstream_id in upstream_ids]
        return tuple(kept[-MAX_ARRIVALS:])

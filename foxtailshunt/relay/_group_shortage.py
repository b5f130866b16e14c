"""Decides whether a second upstream group is tried after one has refused a request.

If only the first group is short of capacity, another one serves the request. If the whole service
is short, a second attempt costs messages and work and is refused as well.
"""

import threading

#: Time in which the weight of an outcome halves, in seconds. A small node hears from each of 20
#: groups about once a second.
HALF_LIFE_S = 0.5
#: Share of refusals among the outcomes of the other groups from which the service is short. With
#: capacity left, a group refuses requests only for moments.
SHORT_SHARE = 0.25
#: Weight of outcomes below which nothing is known; one outcome has it for two half-lives.
MIN_WEIGHT = 0.25


class GroupShortage:
    """What this node has lately heard from the groups of each service; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        #: Weight of refusals, weight of all outcomes, and when both were up to date, by service
        #: and group.
        self._outcomes: dict[str, dict[str, tuple[float, float, float]]] = {}

    def record(self, service: str, group: str, refused: bool, now: float) -> None:
        """Record the outcome of a request.

        :param service: name of the service.
        :param group: name of the group.
        :param refused: True if the group refused it for lack of time.
        :param now: the time in seconds.
        """
        with self._lock:
            groups = self._outcomes.setdefault(service, {})
            refusals, total = _decayed(groups.get(group), now)
            groups[group] = (refusals + refused, total + 1, now)

    def has_capacity_elsewhere(self, service: str, group: str, now: float) -> bool:
        """Return whether other groups than one may serve a request that it has refused.

        :param service: name of the service.
        :param group: the group that has refused the request.
        :param now: the time in seconds.
        :returns: True if nothing is known of the other groups.
        """
        with self._lock:
            others = [
                _decayed(outcomes, now)
                for name, outcomes in self._outcomes.get(service, {}).items()
                if name != group
            ]
        refusals = sum(item[0] for item in others)
        total = sum(item[1] for item in others)
        return total < MIN_WEIGHT or refusals < SHORT_SHARE * total


def _decayed(outcomes: tuple[float, float, float] | None, now: float) -> tuple[float, float]:
    if outcomes is None:
        return 0.0, 0.0
    factor = 0.5 ** ((now - outcomes[2]) / HALF_LIFE_S)
    return outcomes[0] * factor, outcomes[1] * factor

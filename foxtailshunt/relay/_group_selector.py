"""Selects the upstream group that is to serve a request of a service without keys.

The load that this answers: zones differ in traffic, groups in capacity, and a sending node may
become slow. Each node decides from the delays of its own requests, so that there is nothing to
exchange, and compares only two groups, so that nodes do not all turn to the same one.
"""

import random
import threading
from collections.abc import Collection, Sequence

from foxtailshunt.relay._upstream_groups import UpstreamGroup

#: Weight of the newest delay of a group in its average.
DELAY_WEIGHT = 0.5
#: Time in which the average halves without further requests, in seconds, so that a group that
#: was slow is used again.
HALF_LIFE_S = 2.0
#: How much longer the delay in the own zone may be before another zone is used, in seconds: more
#: than a network round trip, less than a wait for a slot.
OWN_ZONE_PREFERENCE_S = 0.02


class GroupSelector:
    """Selects groups by the delays of earlier requests; safe to use from any thread.

    A delay is the time of a request without the time at the upstream: the time on the way to the
    sending node and back, and in its queue.

    :param zone: the node's availability zone.
    :param rng: source of random numbers.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._lock = threading.Lock()
        #: Average delay and time of the last update, both in seconds, by service and group.
        self._delays: dict[tuple[str, str], tuple[float, float]] = {}

    def record(self, service: str, group: str, delay_s: float, now: float) -> None:
        """Record the delay of a request.

        :param service: name of the service.
        :param group: name of the group.
        :param delay_s: the delay in seconds; for a request that was refused for lack of time, the
            time that it had.
        :param now: the time in seconds.
        """
        with self._lock:
            average_s = self._delay_s(service, group, now)
            average_s += DELAY_WEIGHT * (delay_s - average_s)
            self._delays[(service, group)] = (average_s, now)

    def select(
        self,
        service: str,
        groups: Sequence[UpstreamGroup],
        now: float,
        tried: Collection[str] = (),
    ) -> UpstreamGroup | None:
        """Return the group that is to serve a request.

        :param service: name of the service.
        :param groups: the groups of the service.
        :param now: the time in seconds.
        :param tried: names of groups that have refused the request.
        :returns: None if no group is left.
        """
        left = [group for group in groups if group.name not in tried]
        if len(left) < 2:
            return left[0] if left else None
        near = [group for group in left if group.zone == self._zone]
        with self._lock:
            first = self._pick(near or left)
            second = self._pick([group for group in left if group is not first])
            limit_s = self._delay_s(service, second.name, now)
            if near:
                limit_s += OWN_ZONE_PREFERENCE_S
            return first if self._delay_s(service, first.name, now) <= limit_s else second

    def _pick(self, groups: Sequence[UpstreamGroup]) -> UpstreamGroup:
        """Return a random group, weighted by slots."""
        return self._rng.choices(groups, [group.slots for group in groups])[0]

    def _delay_s(self, service: str, group: str, now: float) -> float:
        average_s, updated_at = self._delays.get((service, group), (0.0, now))
        return average_s * 0.5 ** ((now - updated_at) / HALF_LIFE_S)

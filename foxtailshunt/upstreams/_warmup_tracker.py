"""Follows the warm-up of the upstreams in a node's view."""

import time
from collections.abc import Callable, Mapping

from foxtailshunt.fleet import Upstream
from foxtailshunt.routing import ServiceInfo
from foxtailshunt.upstreams._warmup_states import WarmupStates


class WarmupTracker:
    """Passes what a node's view learns to the warm-up states; safe to use from any thread.

    :param states: the warm-up of upstreams.
    :param find_service: returns a service of the configuration in force, or None.
    :param now: returns the time in seconds.
    """

    def __init__(
        self,
        states: WarmupStates,
        find_service: Callable[[str], ServiceInfo | None],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._states = states
        self._find_service = find_service
        self._now = now

    def observe(self, upstreams: Mapping[str, Upstream], age_s: float) -> None:
        """Record a complete list of upstreams, or a later read that found no change.

        :param upstreams: the upstreams by id.
        :param age_s: time since the list was read, in seconds.
        """
        self._states.observe(upstreams, self._now(), age_s)

    def record_evacuation_end(self, zone: str) -> None:
        """Record that upstreams of a zone may get requests again.

        :param zone: the zone.
        """
        self._states.record_evacuation_end(zone, self._now())

    def warmup_remaining_s(self, upstream: Upstream) -> float:
        """Return how long an upstream stays cold, in seconds; 0 if it is warm.

        :param upstream: the upstream.
        """
        service = self._find_service(upstream.service)
        warmup_s = 0.0 if service is None else service.warmup_s
        now = self._now()
        return max(0.0, self._states.warm_at(upstream, warmup_s, now) - now)

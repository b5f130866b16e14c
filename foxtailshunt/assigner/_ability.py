"""Whether a zone can serve a service at all."""

from foxtailshunt.assigner._plan_input import UpstreamStates
from foxtailshunt.config import Configuration, Service
from foxtailshunt.timing import Clock

#: Time that all upstreams of a zone are lost or leaving before it gives its slots away, in seconds.
UNABLE_AFTER_S = 1.0


class AbilityWatch:
    """Tells by service whether any upstream of the zone can serve; used by one thread.

    :param zone: the availability zone.
    :param clock: the clock.
    """

    def __init__(self, zone: str, clock: Clock) -> None:
        self._zone = zone
        self._clock = clock
        self._none_since: dict[str, float] = {}
        self._unable: set[str] = set()

    def update(self, cfg: Configuration, states: UpstreamStates) -> dict[str, bool]:
        """Return whether the zone can serve each service.

        :param cfg: the configuration in force.
        :param states: the zone's upstreams.
        """
        now = self._clock.now()
        for service in cfg.services.values():
            self._update_service(service, states, now)
        return {name: name not in self._unable for name in cfg.services}

    def _update_service(self, service: Service, states: UpstreamStates, now: float) -> None:
        own = {item.upstream_id for item in service.upstreams if item.zone == self._zone}
        usable = own - states.lost - states.draining
        if not usable:
            since = self._none_since.setdefault(service.name, now)
            if now - since >= UNABLE_AFTER_S or not own:
                self._unable.add(service.name)
            return
        self._none_since.pop(service.name, None)
        if usable & states.settled or service.name not in self._unable:
            self._unable.discard(service.name)

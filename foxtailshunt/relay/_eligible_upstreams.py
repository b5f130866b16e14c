"""Finds the upstreams that may get a request from this node."""

import threading

from foxtailshunt.admission import Call
from foxtailshunt.fleet import Address, FleetView, Upstream
from foxtailshunt.relay._upstream_groups import UpstreamGroups
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.upstreams import LeavingUpstreams


class EligibleUpstreams:
    """The upstreams of the view without those whose responses exclude them; thread-safe.

    :param view: the node's view of upstreams.
    :param groups: upstream groups of services without keys.
    :param leaving: the upstreams that state that they are leaving.
    """

    def __init__(self, view: FleetView, groups: UpstreamGroups, leaving: LeavingUpstreams) -> None:
        self._view = view
        self._groups = groups
        self._leaving = leaving
        self._lock = threading.Lock()
        #: Incarnations of upstreams whose address was taken over by another upstream.
        self._replaced: frozenset[tuple[str, Address, int]] = frozenset()

    def mark_replaced(self, upstream: Upstream) -> None:
        """Exclude an upstream whose address was taken over by another one.

        :param upstream: the upstream.
        """
        log_state_change("upstream.replaced", upstream=upstream.upstream_id)
        with self._lock:
            self._replaced |= {upstream.incarnation}

    def for_call(self, call: Call) -> tuple[Upstream, ...]:
        """Return the upstreams that may serve a request.

        :param call: the request.
        """
        if call.key is None:
            found = self._groups.upstreams_of(call.service, call.group)
            if not any(call.may_use(item.zone) for item in found):
                return ()
            if all(self._accepts_unkeyed(item) for item in found):
                return found
            return tuple(item for item in found if self._accepts_unkeyed(item))
        upstream = self._view.upstreams.get(call.upstream_id or "")
        if upstream is None or upstream.leaving or upstream.service != call.service:
            return ()
        if not call.may_use(upstream.zone):
            return ()
        if upstream.incarnation in self._replaced or self.has_lost_keys(upstream):
            return ()
        return (upstream,)

    def has_lost_keys(self, upstream: Upstream) -> bool:
        """Return whether an upstream gets no more requests for its keys.

        :param upstream: the upstream.
        """
        return self._view.is_evacuated(upstream) or self._leaving.has_lost_keys(upstream)

    def is_service_evacuated(self, service: str) -> bool:
        """Return whether no upstream of a service is outside the evacuated zones.

        :param service: name of the service.
        """
        found = self._view.upstreams_by_service.get(service, ())
        return bool(found) and all(self._view.is_evacuated(item) for item in found)

    def _accepts_unkeyed(self, upstream: Upstream) -> bool:
        if self._view.is_evacuated(upstream):
            return False
        is_replaced = bool(self._replaced) and upstream.incarnation in self._replaced
        return not is_replaced and not self._leaving.is_leaving(upstream)

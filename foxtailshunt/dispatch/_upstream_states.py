"""The states of all upstreams that a dispatcher was asked to send to."""

import threading

from foxtailshunt.config import Service
from foxtailshunt.dispatch._upstream_state import UpstreamState
from foxtailshunt.membership import View
from foxtailshunt.ownership import SendRight, UpstreamRow
from foxtailshunt.timing import Clock


class UpstreamStates:
    """States by upstream id, kept in step with table and configuration.

    :param view: documents in force.
    :param right: tells whether this dispatcher may send.
    :param clock: the clock.
    :param zone: the dispatcher's availability zone.
    """

    def __init__(self, view: View, right: SendRight, clock: Clock, zone: str) -> None:
        self._view = view
        self._right = right
        self._clock = clock
        self._zone = zone
        self._lock = threading.Lock()
        self._states: dict[str, UpstreamState] = {}
        view.subscribe(self.follow_view)
        self.follow_view()

    def get(self, upstream_id: str) -> UpstreamState | None:
        """Return an upstream's state, or None if there is none.

        :param upstream_id: the upstream.
        """
        return self._states.get(upstream_id)

    def find(self, upstream_id: str) -> UpstreamState | None:
        """Return an upstream's state, made if the table has a row of the upstream.

        :param upstream_id: the upstream.
        """
        state = self._states.get(upstream_id)
        if state is not None:
            return state
        row = self._row(upstream_id)
        service = self._service(row)
        if row is None or service is None:
            return None
        with self._lock:
            state = self._states.get(upstream_id)
            if state is None:
                state = UpstreamState(upstream_id, service, self._clock, self._right)
                self._states[upstream_id] = state
        state.take_row(self._row(upstream_id))
        return state

    def adopt_held(self) -> None:
        """Make the state of each upstream that this dispatcher became the sender of."""
        table = self._view.table(self._zone)
        for upstream_id in table.rows if table else ():
            if upstream_id not in self._states and self._right.holds_assent(upstream_id):
                self.find(upstream_id)

    def all(self) -> tuple[UpstreamState, ...]:
        """Return every state."""
        with self._lock:
            return tuple(self._states.values())

    def follow_view(self) -> None:
        """Bring every state in step with the documents in force."""
        for state in self.all():
            row = self._row(state.upstream_id)
            service = self._service(row)
            if service is not None and service is not state.service:
                state.take_service(service)
            state.take_row(row)

    def _row(self, upstream_id: str) -> UpstreamRow | None:
        table = self._view.table(self._zone)
        return table.rows.get(upstream_id) if table else None

    def _service(self, row: UpstreamRow | None) -> Service | None:
        cfg = self._view.cfg
        return cfg.services.get(row.service) if cfg and row else None

"""The grant states of all upstreams, and the right to send that follows from them."""

import threading

from foxtailshunt.errors import ResultCode
from foxtailshunt.membership import View
from foxtailshunt.ownership._records import UpstreamRow
from foxtailshunt.ownership._send_right import SendPermission
from foxtailshunt.ownership.authority._assent_ledger import AssentLedger
from foxtailshunt.ownership.authority._grant_state import GrantState
from foxtailshunt.timing import Clock


class GrantBook:
    """Implements :class:`~foxtailshunt.ownership.SendRight` over the assents and the grants.

    :param view: its newest table says who owns what.
    :param zone: the availability zone.
    :param instance_id: this instance.
    :param ledger: the assents.
    :param clock: a monotonic clock, read at each use.
    """

    def __init__(
        self, view: View, zone: str, instance_id: str, ledger: AssentLedger, clock: Clock
    ) -> None:
        self._view = view
        self._zone = zone
        self._instance_id = instance_id
        self._ledger = ledger
        self._clock = clock
        self._lock = threading.Lock()
        self._states: dict[str, GrantState] = {}
        self._closed: frozenset[str] = frozenset()

    def state(self, upstream_id: str) -> GrantState:
        """Return the state of an upstream, a new one at first.

        :param upstream_id: the upstream.
        """
        state = self._states.get(upstream_id)
        if state is not None:
            return state
        with self._lock:
            return self._states.setdefault(upstream_id, GrantState())

    def row(self, upstream_id: str) -> UpstreamRow | None:
        """Return an upstream's row in the newest table, or None.

        :param upstream_id: the upstream.
        """
        table = self._view.table(self._zone)
        return table.rows.get(upstream_id) if table else None

    def check(self, upstream_id: str, slot: int, key: str) -> SendPermission | ResultCode:
        """Return the permission to send a key's request, or the code of the reason against it.

        A key must be in the newest row and in the grant in force, whose fence the request carries.

        :param upstream_id: the upstream.
        :param slot: the key's slot.
        :param key: the key.
        """
        if upstream_id in self._closed or not self._ledger.holds(upstream_id):
            return ResultCode.NOT_DISPATCHER
        row = self.row(upstream_id)
        if row is None or not row.owns(slot, key):
            return ResultCode.NO_OWNER
        granted = self.state(upstream_id).granted
        if granted is None or not granted.row.owns(slot, key):
            return ResultCode.NO_OWNER
        if granted.held_since != self._ledger.last_held_since(upstream_id):
            return ResultCode.NO_OWNER
        if self._clock.now() >= granted.ends_at:
            return ResultCode.NO_OWNER
        reading = granted.reading
        return SendPermission(
            granted.row.fence, reading.boot_id, reading.reading_ms, reading.received_at
        )

    def holds_assent(self, upstream_id: str) -> bool:
        """Return whether this dispatcher is the upstream's only sender at this moment.

        :param upstream_id: the upstream.
        """
        return self._ledger.holds(upstream_id)

    def warming_since(self, upstream_id: str) -> float | None:
        """Return when the upstream was seen to have started cold, or None.

        :param upstream_id: the upstream.
        :returns: seconds of the local clock.
        """
        return self.state(upstream_id).warming_since

    def close(self, upstream_id: str) -> None:
        """Permit nothing more to an upstream that is being handed over.

        :param upstream_id: the upstream.
        """
        with self._lock:
            self._closed = self._closed | {upstream_id}

    def reopen(self, upstream_id: str) -> None:
        """Permit sending again.

        :param upstream_id: the upstream.
        """
        with self._lock:
            self._closed = self._closed - {upstream_id}

    def retain(self, upstream_ids: frozenset[str]) -> None:
        """Forget the upstreams that no table lists any more.

        Their assents are dropped too: with the state goes the knowledge of the last grants, so an
        upstream that returns must be held anew for a grant's whole life before they have lapsed.

        :param upstream_ids: the upstreams to keep.
        """
        with self._lock:
            for upstream_id in self._states.keys() - upstream_ids:
                self._ledger.drop(upstream_id)
                del self._states[upstream_id]
            self._closed = self._closed & upstream_ids

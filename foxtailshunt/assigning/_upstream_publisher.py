"""Reads the list of upstreams and publishes it to the leader's view."""

from collections.abc import Callable
from dataclasses import replace

from foxtailshunt.assigning._capacity_estimator import CapacityEstimator
from foxtailshunt.assigning._table_store import STORE_RETRY_S
from foxtailshunt.assigning._upstream_reader import UpstreamReader
from foxtailshunt.fleet import FleetView, Upstream
from foxtailshunt.platform import StoreClient, StoreError
from foxtailshunt.telemetry import log_state_change

#: How much later the stated end of a warm-up has to be to count as a change, in seconds. Each
#: heartbeat of an upstream states it anew and is read up to one read interval late.
WARMUP_TOLERANCE_S = 0.5


class UpstreamPublisher:
    """The upstreams during one term; used by one thread.

    :param store: the store.
    :param view: the view to which the list is published.
    :param capacities: adds its estimates to the published upstreams.
    :param now: returns seconds of a clock that also advances during suspension.
    :param term: number of the term.
    """

    def __init__(
        self,
        store: StoreClient,
        view: FleetView,
        capacities: CapacityEstimator,
        now: Callable[[], float],
        term: int,
    ) -> None:
        self._reader = UpstreamReader(store, now, view)
        self._view = view
        self._capacities = capacities
        self._now = now
        self._term = term
        self._version = 0
        self._next_read_at = float("-inf")
        self._is_store_unavailable = False
        #: The upstreams as last published, by id.
        self.current: dict[str, Upstream] = {}
        #: When they were read, in seconds of the clock.
        self._current_read_at = float("-inf")
        #: When the first upstream was read, in seconds of the clock; None before that.
        self.first_at: float | None = None

    def update(self) -> None:
        """Read the list and publish it if it has changed, else only the time of the read."""
        started = self._now()
        if started < self._next_read_at:
            return
        try:
            upstreams = self._reader.poll()
        except StoreError as exc:
            # A single failure is repeated at once: an upstream may have left meanwhile.
            if self._is_store_unavailable:
                self._next_read_at = self._now() + STORE_RETRY_S
            else:
                log_state_change("store.lost", part="upstreams", error=str(exc))
            self._is_store_unavailable = True
            return
        if self._is_store_unavailable:
            log_state_change("store.regained", part="upstreams")
            self._is_store_unavailable = False
        if upstreams and self.first_at is None:
            self.first_at = started
        zones = {member.zone for member in self._view.members if not member.leaving}
        upstreams = self._capacities.with_estimates(upstreams, zones, self._now())
        read_at = self._now()
        if self._have_changed(upstreams, read_at):
            self._version += 1
            self.current, self._current_read_at = upstreams, read_at
            published: dict[str, Upstream] | None = upstreams
        else:
            published = None if self._version else upstreams
            self._version = max(1, self._version)
        age_s = self._now() - started
        self._view.update_upstreams(self._term, self._version, published, age_s)

    def _have_changed(self, upstreams: dict[str, Upstream], read_at: float) -> bool:
        if upstreams.keys() != self.current.keys():
            return True
        elapsed_s = read_at - self._current_read_at
        return any(
            replace(item, warmup_s=0.0) != replace(self.current[name], warmup_s=0.0)
            or _has_turned_cold(item.warmup_s, self.current[name].warmup_s - elapsed_s)
            for name, item in upstreams.items()
        )


def _has_turned_cold(warmup_s: float, published_left_s: float) -> bool:
    """Return whether followers have to learn of a warm-up that they don't know.

    :param warmup_s: the rest of the warm-up, in seconds.
    :param published_left_s: the rest as followers know it, in seconds; negative after its end.
    """
    return warmup_s > 0 and warmup_s > published_left_s + WARMUP_TOLERANCE_S

"""A node's versioned view of the fleet."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

from foxtailshunt.fleet._entry_lapses import DEFAULT_HEARTBEAT_S, EntryLapses
from foxtailshunt.fleet._ownership import OwnershipTable
from foxtailshunt.fleet._table_copy import TableCopy
from foxtailshunt.fleet._types import KeyRange, Member, Upstream
from foxtailshunt.fleet._upstreams_at_return import UpstreamsAtReturn
from foxtailshunt.fleet._view_types import UpstreamChanges, UpstreamObserver, Versions
from foxtailshunt.routing import RouteTable, ServiceInfo
from foxtailshunt.telemetry import log_state_change

#: Number of earlier versions of a part that are kept to compute changes for followers, which are at
#: most a second behind; on a large fleet each of dozens of moves makes a version.
MAX_EARLIER_VERSIONS = 64


class FleetView:
    """Holds the current view and notifies threads that wait for a change.

    Parts are immutable values that are replaced as a whole, so readers need no lock.

    :param now: returns seconds of a clock that also advances during suspension.
    :param heartbeat_s: interval of the heartbeats of upstreams, in seconds.
    """

    def __init__(self, now: Callable[[], float], heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> None:
        self._now = now
        #: Shared by all that call the store, and by all readers of the entries of upstreams.
        self.entry_lapses = EntryLapses(now, heartbeat_s)
        #: Follows the lists of upstreams; set before the first one.
        self.upstream_observer: UpstreamObserver | None = None
        #: When the last poll that the leader answered was sent, in seconds of the clock.
        self._leader_polled_at = float("-inf")
        self._changed = threading.Condition()
        self.versions = Versions()
        self.routes: RouteTable | None = None
        #: The configuration as it was read, to forward it to other nodes.
        self.document = b""
        self.upstreams: dict[str, Upstream] = {}
        #: Shared by all readers of the entries of upstreams.
        self.upstreams_at_return = UpstreamsAtReturn()
        self.ownership = OwnershipTable(())
        #: The newest ownership table that a leader has published, also after its term has ended.
        self.table_copy: TableCopy | None = None
        self.members: tuple[Member, ...] = ()
        #: Zones whose upstreams get no new requests.
        self.evacuated_zones: frozenset[str] = frozenset()
        #: When the list of upstreams was read, in seconds of the clock; None before the first read.
        self.upstreams_read_at: float | None = None
        #: Earlier ownership tables of the term by version, to compute changes for followers.
        self._earlier: dict[int, OwnershipTable] = {}
        #: Earlier lists of upstreams of the term by version.
        self._earlier_upstreams: dict[int, dict[str, Upstream]] = {}
        #: Upstreams by service, for load balancing.
        self.upstreams_by_service: dict[str, tuple[Upstream, ...]] = {}

    def update_routes(self, routes: RouteTable, document: bytes) -> bool:
        """Apply a configuration unless the current one is as new or newer.

        :param routes: the configuration.
        :param document: the configuration as it was read.
        :returns: whether the configuration was applied.
        """
        with self._changed:
            order = (routes.era, routes.version)
            if self.routes is not None and order <= self.versions.configuration_order:
                return False
            self.routes = routes
            self.document = document
            self.versions = replace(
                self.versions, configuration=routes.version, configuration_era=routes.era
            )
            self._changed.notify_all()
            return True

    def apply_serving_rules(self, upstream: Upstream) -> Upstream:
        """Return an upstream, marked as leaving unless the configuration lets it serve.

        :param upstream: the upstream as it is registered.
        """
        routes = self.routes
        if routes is None or routes.may_serve(upstream.service, upstream.address):
            return upstream
        return replace(upstream, leaving=True)

    def find_service(self, name: str) -> ServiceInfo | None:
        """Return a service of the configuration in force, or None.

        :param name: name of the service.
        """
        routes = self.routes
        return routes.services.get(name) if routes is not None else None

    def begin_term(self, term: int) -> bool:
        """Start a term; return False if a newer one is known.

        :param term: the term.
        """
        with self._changed:
            if term < self.versions.term:
                return False
            if term > self.versions.term:
                self.versions = Versions(
                    configuration=self.versions.configuration,
                    configuration_era=self.versions.configuration_era,
                    term=term,
                    evacuations=self.versions.evacuations,
                )
                self._earlier.clear()
                self._earlier_upstreams.clear()
                self._changed.notify_all()
            return True

    def update_upstreams(
        self, term: int, version: int, upstreams: dict[str, Upstream] | None, age_s: float
    ) -> None:
        """Update the list of upstreams, or only the time at which it was read.

        :param term: term of the leader that published it.
        :param version: version of the list.
        :param upstreams: the upstreams by id; None if the current list is up to date.
        :param age_s: time since the list was read, in seconds.
        """
        with self._changed:
            if term != self.versions.term or version < self.versions.upstreams:
                return
            if upstreams is None and version != self.versions.upstreams:
                return
            read_at = self._now() - age_s
            is_newer = self.upstreams_read_at is None or read_at > self.upstreams_read_at
            if is_newer:
                self.upstreams_read_at = read_at
            if upstreams is None and is_newer:
                self._observe(self.upstreams, age_s)
            if upstreams is not None and is_newer:
                if self.versions.upstreams:
                    self._earlier_upstreams[self.versions.upstreams] = self.upstreams
                    self._earlier_upstreams.pop(version - MAX_EARLIER_VERSIONS, None)
                self._replace_upstreams(upstreams, age_s)
                self.versions = replace(self.versions, upstreams=version)
                self._changed.notify_all()

    def apply_upstream_changes(
        self, term: int, known: int, version: int, changes: UpstreamChanges, age_s: float
    ) -> None:
        """Apply changes of the list of upstreams if they are based on the current one.

        :param term: term of the leader that published them.
        :param known: version of the list on which they are based.
        :param version: version of the resulting list.
        :param changes: the changes.
        :param age_s: time since the resulting list was read, in seconds.
        """
        with self._changed:
            if (term, known) != (self.versions.term, self.versions.upstreams):
                return
            upstreams = {
                name: item for name, item in self.upstreams.items() if name not in changes.removed
            }
            upstreams.update((item.upstream_id, item) for item in changes.changed)
            self.update_upstreams(term, version, upstreams, age_s)

    def upstream_changes_since(self, known: int) -> UpstreamChanges | None:
        """Return the changes since a version of this term; None if that list is no longer kept.

        :param known: the version.
        """
        with self._changed:
            earlier = self._earlier_upstreams.get(known)
            if earlier is None:
                return None
            return UpstreamChanges(
                tuple(item for name, item in self.upstreams.items() if earlier.get(name) != item),
                tuple(name for name in earlier if name not in self.upstreams),
            )

    def update_upstreams_from_store(self, upstreams: dict[str, Upstream], read_at: float) -> None:
        """Update the list of upstreams with one that this node read from the store.

        :param upstreams: the upstreams by id.
        :param read_at: when the list was read, in seconds of the clock.
        """
        with self._changed:
            if self.upstreams_read_at is not None and read_at <= self.upstreams_read_at:
                return
            self.upstreams_read_at = read_at
            # The leader has to send its next list in full, since this one did not come from it.
            self.versions = replace(self.versions, upstreams=0)
            self._earlier_upstreams.clear()
            age_s = self._now() - read_at
            upstreams = self._with_known_estimates(upstreams)
            if upstreams != self.upstreams:
                self._replace_upstreams(upstreams, age_s)
                self._changed.notify_all()
            else:
                self._observe(self.upstreams, age_s)

    def _with_known_estimates(self, upstreams: dict[str, Upstream]) -> dict[str, Upstream]:
        """Return upstreams with the leader's last estimates, which are not in the store."""
        known = self.upstreams
        return {
            name: (
                replace(
                    item,
                    avoided_zones=known[name].avoided_zones,
                    capacity_ratio=known[name].capacity_ratio,
                )
                if name in known and known[name].incarnation == item.incarnation
                else item
            )
            for name, item in upstreams.items()
        }

    def update_ownership_from_store(self, ownership: OwnershipTable) -> None:
        """Use the stored ownership table until a leader has published one.

        :param ownership: the table as it was last stored.
        """
        with self._changed:
            if self.versions.ownership == 0 and not self.ownership.ranges:
                self.ownership = ownership
                self._changed.notify_all()

    def update_ownership(self, term: int, version: int, ownership: OwnershipTable) -> None:
        """Update the ownership table unless the current one is as new or newer.

        :param term: term of the leader that published it.
        :param version: version of the table.
        :param ownership: the table.
        """
        with self._changed:
            if term == self.versions.term and version > self.versions.ownership:
                if self.versions.ownership:
                    self._earlier[self.versions.ownership] = self.ownership
                    self._earlier.pop(version - MAX_EARLIER_VERSIONS, None)
                self.ownership = ownership
                self.table_copy = TableCopy(term, ownership.ranges)
                self.versions = replace(self.versions, ownership=version)
                self._changed.notify_all()

    def apply_ownership_changes(
        self, term: int, known: int, version: int, changes: Iterable[KeyRange]
    ) -> None:
        """Apply changes of the ownership table if they are based on the current one.

        :param term: term of the leader that published them.
        :param known: version of the table on which they are based.
        :param version: version of the resulting table.
        :param changes: ranges that replace those they overlap.
        """
        if (term, known) == (self.versions.term, self.versions.ownership):
            self.update_ownership(term, version, self.ownership.with_changes(changes))

    def ownership_changes_since(self, known: int) -> tuple[KeyRange, ...] | None:
        """Return the changes since a version of this term; None if that table is no longer kept.

        :param known: the version.
        """
        with self._changed:
            earlier = self._earlier.get(known)
            return None if earlier is None else self.ownership.changes_since(earlier)

    def update_members(self, term: int, version: int, members: tuple[Member, ...]) -> None:
        """Update the list of members unless the current one is as new or newer.

        :param term: term of the leader that published it.
        :param version: version of the list.
        :param members: the members.
        """
        with self._changed:
            if term == self.versions.term and version > self.versions.members:
                self.members = members
                self.versions = replace(self.versions, members=version)
                self._changed.notify_all()

    def update_evacuations_from_store(self, revision: int, zones: frozenset[str]) -> None:
        """Update the evacuated zones with those that this node read from the store.

        The revision is kept while the zones stay the same, so that the nodes do not exchange
        revisions that differ only because they read the store at different times.

        :param revision: revision of the store at which they were read.
        :param zones: the zones.
        """
        if self.versions.evacuations == 0 or zones != self.evacuated_zones:
            self.update_evacuations(revision, zones)

    def update_evacuations(self, revision: int, zones: frozenset[str]) -> None:
        """Update the evacuated zones unless the current ones were read as late or later.

        :param revision: revision of the store at which they were read.
        :param zones: the zones.
        """
        with self._changed:
            if revision <= self.versions.evacuations:
                return
            ended = self.evacuated_zones - zones
            if self.upstream_observer is not None:
                for zone in ended:
                    self.upstream_observer.record_evacuation_end(zone)
            begun = zones - self.evacuated_zones
            self.evacuated_zones = zones
            self.versions = replace(self.versions, evacuations=revision)
            self._changed.notify_all()
        for event, found in (("zone.evacuated", begun), ("zone.evacuation_ended", ended)):
            for zone in sorted(found):
                log_state_change(event, zone=zone, revision=revision)

    def is_evacuated(self, upstream: Upstream) -> bool:
        """Return whether an upstream gets no new requests because its zone is evacuated.

        :param upstream: the upstream.
        """
        return bool(self.evacuated_zones) and upstream.zone in self.evacuated_zones

    def wait_for_change(self, known: Versions, timeout_s: float) -> None:
        """Wait until the versions differ from known ones.

        :param known: the known versions.
        :param timeout_s: timeout in seconds.
        """
        with self._changed:
            self._changed.wait_for(lambda: self.versions != known, timeout_s)

    def wake(self) -> None:
        """Wake all waiting threads, for example because the process shuts down."""
        with self._changed:
            self._changed.notify_all()

    def upstreams_age_s(self) -> float | None:
        """Return the time since the list of upstreams was read, or None."""
        read_at = self.upstreams_read_at
        return None if read_at is None else self._now() - read_at

    def record_leader_poll(self, sent_at: float) -> None:
        """Record that the leader has answered a poll of this node.

        :param sent_at: when the poll was sent, in seconds of the clock.
        """
        self._leader_polled_at = max(self._leader_polled_at, sent_at)

    def leader_poll_age_s(self) -> float:
        """Return the time since the last poll that the leader answered; infinite without one."""
        return self._now() - self._leader_polled_at

    def warmup_remaining_s(self, upstream: Upstream) -> float:
        """Return how long an upstream stays cold, in seconds.

        :param upstream: the upstream.
        """
        if self.upstream_observer is None:
            return upstream.warmup_s
        return self.upstream_observer.warmup_remaining_s(upstream)

    def _observe(self, upstreams: dict[str, Upstream], age_s: float) -> None:
        if self.upstream_observer is not None:
            self.upstream_observer.observe(upstreams, age_s)

    def _replace_upstreams(self, upstreams: dict[str, Upstream], age_s: float) -> None:
        # Requests that find a new upstream in the view have to find its warm-up, too.
        self._observe(upstreams, age_s)
        self.upstreams = upstreams
        upstreams_by_service: dict[str, list[Upstream]] = {}
        for upstream in upstreams.values():
            upstreams_by_service.setdefault(upstream.service, []).append(upstream)
        self.upstreams_by_service = {
            name: tuple(found) for name, found in upstreams_by_service.items()
        }

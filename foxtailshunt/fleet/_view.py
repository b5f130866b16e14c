"""A node's versioned view of the fleet."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from foxtailshunt.fleet._ownership import OwnershipTable
from foxtailshunt.fleet._types import KeyRange, Member, Upstream
from foxtailshunt.routing import RouteTable

#: Number of earlier versions of a part that are kept to compute changes for followers, which are at
#: most a second behind; on a large fleet each of dozens of moves makes a version.
MAX_EARLIER_VERSIONS = 64


@dataclass(frozen=True, slots=True)
class Versions:
    """Versions of the parts of a view; 0 for a part that is not known yet."""

    #: Version of the configuration.
    configuration: int = 0
    #: Term of the leader that published the other parts.
    term: int = 0
    #: Version of the list of upstreams, within the term.
    upstreams: int = 0
    #: Version of the ownership table, within the term.
    ownership: int = 0
    #: Version of the list of members, within the term.
    members: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamChanges:
    """The difference between two lists of upstreams."""

    #: Upstreams that are new or differ.
    changed: tuple[Upstream, ...]
    #: Ids of upstreams that are gone.
    removed: tuple[str, ...]


class FleetView:
    """Holds the current view and notifies threads that wait for a change.

    Parts are immutable values that are replaced as a whole, so readers need no lock.

    :param now: returns seconds of a clock that also advances during suspension.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._changed = threading.Condition()
        self.versions = Versions()
        self.routes: RouteTable | None = None
        #: The configuration as it was read, to forward it to other nodes.
        self.document = b""
        self.upstreams: dict[str, Upstream] = {}
        self.ownership = OwnershipTable(())
        self.members: tuple[Member, ...] = ()
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
            if self.routes is not None and routes.version <= self.routes.version:
                return False
            self.routes = routes
            self.document = document
            self.versions = replace(self.versions, configuration=routes.version)
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

    def begin_term(self, term: int) -> bool:
        """Start a term; return False if a newer one is known.

        :param term: the term.
        """
        with self._changed:
            if term < self.versions.term:
                return False
            if term > self.versions.term:
                configuration = self.versions.configuration
                self.versions = Versions(configuration=configuration, term=term)
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
            if upstreams is not None and is_newer:
                if self.versions.upstreams:
                    self._earlier_upstreams[self.versions.upstreams] = self.upstreams
                    self._earlier_upstreams.pop(version - MAX_EARLIER_VERSIONS, None)
                self._replace_upstreams(upstreams)
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
            upstreams = self._with_known_estimates(upstreams)
            if upstreams != self.upstreams:
                self._replace_upstreams(upstreams)
                self._changed.notify_all()

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

    def _replace_upstreams(self, upstreams: dict[str, Upstream]) -> None:
        self.upstreams = upstreams
        upstreams_by_service: dict[str, list[Upstream]] = {}
        for upstream in upstreams.values():
            upstreams_by_service.setdefault(upstream.service, []).append(upstream)
        self.upstreams_by_service = {
            name: tuple(found) for name, found in upstreams_by_service.items()
        }

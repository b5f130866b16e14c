"""The newest knowledge of a node, part by part."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from foxtailshunt.fleet._ownership import OwnershipTable
from foxtailshunt.fleet._types import KeyRange, Member, Upstream
from foxtailshunt.routing import RouteTable

#: Ownership tables that are kept for telling others what changed; they learn within a second.
MAX_EARLIER_TABLES = 24


@dataclass(frozen=True, slots=True)
class Versions:
    """Versions of the parts of a view; 0 where nothing is known."""

    #: Version of the configuration.
    configuration: int = 0
    #: Term of the leader that gave the other parts.
    term: int = 0
    #: Version of the list of upstreams inside the term.
    upstreams: int = 0
    #: Version of the ownership table inside the term.
    ownership: int = 0
    #: Version of the list of members inside the term.
    members: int = 0


class FleetView:
    """Holds what a node knows and wakes those who wait for news.

    Parts are immutable values that are replaced whole, so readers need no lock.

    :param clock_now: returns seconds of a clock that also counts suspension.
    """

    def __init__(self, clock_now: Callable[[], float]) -> None:
        self._now = clock_now
        self._news = threading.Condition()
        self.versions = Versions()
        self.routes: RouteTable | None = None
        #: The configuration as it was read, for handing it on.
        self.document = b""
        self.upstreams: dict[str, Upstream] = {}
        self.ownership = OwnershipTable(())
        self.members: tuple[Member, ...] = ()
        #: When the list of upstreams was read, in seconds of the clock; None before.
        self.upstreams_read_at: float | None = None
        #: Earlier ownership tables of the term by version, for telling others what changed.
        self._earlier: dict[int, OwnershipTable] = {}
        #: Upstreams of each service, for choosing among them.
        self.upstreams_by_service: dict[str, tuple[Upstream, ...]] = {}

    def update_routes(self, routes: RouteTable, document: bytes) -> bool:
        """Take a configuration into force unless it is older than the one in force.

        :param routes: the configuration.
        :param document: the configuration as it was read.
        :returns: whether it is in force now and was not before.
        """
        with self._news:
            if self.routes is not None and routes.version <= self.routes.version:
                return False
            self.routes = routes
            self.document = document
            self.versions = replace(self.versions, configuration=routes.version)
            self._news.notify_all()
            return True

    def apply_serving_rules(self, upstream: Upstream) -> Upstream:
        """Return an upstream as the configuration has it: leaving unless it may serve.

        :param upstream: the upstream as it registered.
        """
        routes = self.routes
        if routes is None or routes.may_serve(upstream.service, upstream.address):
            return upstream
        return replace(upstream, leaving=True)

    def begin_term(self, term: int) -> bool:
        """Take a leader's term into account; false if a newer one is known.

        :param term: the term.
        """
        with self._news:
            if term < self.versions.term:
                return False
            if term > self.versions.term:
                configuration = self.versions.configuration
                self.versions = Versions(configuration=configuration, term=term)
                self._earlier.clear()
                self._news.notify_all()
            return True

    def update_upstreams(
        self, term: int, version: int, upstreams: dict[str, Upstream] | None, age_s: float
    ) -> None:
        """Take a list of upstreams, or news that the one held is still current.

        :param term: term of the leader that gave it.
        :param version: its version.
        :param upstreams: by id; None if it is the one held.
        :param age_s: time since it was read, in seconds.
        """
        with self._news:
            if term != self.versions.term or version < self.versions.upstreams:
                return
            if upstreams is None and version != self.versions.upstreams:
                return
            read_at = self._now() - age_s
            is_newer = self.upstreams_read_at is None or read_at > self.upstreams_read_at
            if is_newer:
                self.upstreams_read_at = read_at
            if upstreams is not None and is_newer:
                self._replace_upstreams(upstreams)
                self.versions = replace(self.versions, upstreams=version)
                self._news.notify_all()

    def update_upstreams_from_store(self, upstreams: dict[str, Upstream], read_at: float) -> None:
        """Take a list of upstreams that this node read itself.

        :param upstreams: by id.
        :param read_at: when it was read, in seconds of the clock.
        """
        with self._news:
            if self.upstreams_read_at is not None and read_at <= self.upstreams_read_at:
                return
            self.upstreams_read_at = read_at
            # Whatever the leader sends next is taken whole, since this list is not its.
            self.versions = replace(self.versions, upstreams=0)
            if upstreams != self.upstreams:
                self._replace_upstreams(upstreams)
                self._news.notify_all()

    def update_ownership_from_store(self, ownership: OwnershipTable) -> None:
        """Take the ownership table of the store while no leader has given one.

        :param ownership: the table as it was stored last.
        """
        with self._news:
            if self.versions.ownership == 0 and not self.ownership.ranges:
                self.ownership = ownership
                self._news.notify_all()

    def update_ownership(self, term: int, version: int, ownership: OwnershipTable) -> None:
        """Take an ownership table unless a newer one is held.

        :param term: term of the leader that gave it.
        :param version: its version.
        :param ownership: the table.
        """
        with self._news:
            if term == self.versions.term and version > self.versions.ownership:
                if self.versions.ownership:
                    self._earlier[self.versions.ownership] = self.ownership
                    self._earlier.pop(version - MAX_EARLIER_TABLES, None)
                self.ownership = ownership
                self.versions = replace(self.versions, ownership=version)
                self._news.notify_all()

    def apply_ownership_changes(
        self, term: int, known: int, version: int, changes: Iterable[KeyRange]
    ) -> None:
        """Take changes of the ownership table if they follow on the one held.

        :param term: term of the leader that gave them.
        :param known: version of the table that they change.
        :param version: version of the table that results.
        :param changes: the ranges that replace those they overlap.
        """
        if (term, known) == (self.versions.term, self.versions.ownership):
            self.update_ownership(term, version, self.ownership.with_changes(changes))

    def ownership_changes_since(self, known: int) -> tuple[KeyRange, ...] | None:
        """Return what changed since a version of this term; None if it is no longer known.

        :param known: the version.
        """
        with self._news:
            earlier = self._earlier.get(known)
            return None if earlier is None else self.ownership.changes_since(earlier)

    def update_members(self, term: int, version: int, members: tuple[Member, ...]) -> None:
        """Take a list of members unless a newer one is held.

        :param term: term of the leader that gave it.
        :param version: its version.
        :param members: the members.
        """
        with self._news:
            if term == self.versions.term and version > self.versions.members:
                self.members = members
                self.versions = replace(self.versions, members=version)
                self._news.notify_all()

    def wait_for_change(self, known: Versions, timeout_s: float) -> None:
        """Wait until a version differs from a known one.

        :param known: the versions known.
        :param timeout_s: longest wait in seconds.
        """
        with self._news:
            self._news.wait_for(lambda: self.versions != known, timeout_s)

    def wake(self) -> None:
        """Wake all who wait, for example because the process stops."""
        with self._news:
            self._news.notify_all()

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

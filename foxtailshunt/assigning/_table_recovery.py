"""Finds the ownership table to continue from after the store has returned from an older copy."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

from foxtailshunt.assigning._leadership import Leadership
from foxtailshunt.assigning._table_record import TableRecord
from foxtailshunt.fleet import Address, FleetView, Member, TableCopy, TablePosition
from foxtailshunt.telemetry import log_state_change

#: How long the statement of a member about its copy is used, in seconds: three polls.
STATEMENT_TIMEOUT_S = 1.6

#: Fetches the copy of the node at an address; None if it doesn't return one.
FetchCopy = Callable[[Address], TableCopy | None]


@dataclass(frozen=True, slots=True)
class CopyStatement:
    """What a member has stated about its copy of the table."""

    #: Address of the member.
    address: Address
    #: Position of its copy.
    position: TablePosition
    #: The era before which its copy is the last table; 0 if that is not known.
    final_before: int
    #: When the statement arrived, in seconds of the clock.
    received_at: float


class CopyStatements:
    """The last statement of each member; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._statements: dict[str, CopyStatement] = {}

    def observe(
        self, member: Member, position: TablePosition, final_before: int, now: float
    ) -> None:
        """Record a statement.

        :param member: the node that holds the copy.
        :param position: position of the copy.
        :param final_before: the era before which it is the last table; 0 if that is not known.
        :param now: the current time, in seconds of the clock.
        """
        with self._lock:
            self._statements[member.instance_id] = CopyStatement(
                member.address, position, final_before, now
            )

    def recent(self, now: float) -> list[CopyStatement]:
        """Return the recent statements and drop the others.

        :param now: the current time, in seconds of the clock.
        """
        with self._lock:
            self._statements = {
                name: item
                for name, item in self._statements.items()
                if now - item.received_at <= STATEMENT_TIMEOUT_S
            }
            return list(self._statements.values())


def find_own_copy(view: FleetView, leadership: Leadership) -> TableCopy | None:
    """Return the copy of the table that a node holds; None if it holds none.

    :param view: the node's view.
    :param leadership: the node's part in elections.
    """
    # Read first: the table of a last term doesn't change any more.
    last_term = leadership.last_term
    copy = view.table_copy
    if copy is None or last_term is None or copy.term != last_term.term:
        return copy
    return replace(copy, final_before=last_term.before_era)


class TableRecovery:
    """Chooses the table of a term whose stored table is of an earlier era; used by one thread.

    The stored table may lack moves that earlier leaders completed, and so may the copies of the
    members, since the last leader may not have reached them. Keys are granted again at once only if
    a copy is known to be the last table: its leader held a valid lease until it saw the new era,
    and has stopped. Otherwise every grant that may be in force has to expire first.

    :param era: era of the term.
    :param own_copy: returns this node's copy of the table.
    :param statements: what the members have stated about their copies.
    :param fetch: fetches the copy of a member.
    :param now: returns seconds of a clock that also advances during suspension.
    """

    def __init__(
        self,
        era: int,
        own_copy: Callable[[], TableCopy | None],
        statements: CopyStatements,
        fetch: FetchCopy,
        now: Callable[[], float],
    ) -> None:
        self._era = era
        self._own_copy = own_copy
        self._statements = statements
        self._fetch = fetch
        self._now = now
        self._newest: TableCopy | None = None

    def choose(self, stored: TableRecord, grants_expire_at: float) -> TableRecord | None:
        """Return the table to continue from, or None while grants of earlier leaders may conflict.

        :param stored: the table in the store, of an earlier era.
        :param grants_expire_at: the latest time at which a grant of any earlier leader expires, in
            seconds of the clock.
        """
        self._collect()
        newest = self._newest
        is_final = newest is not None and newest.final_before == self._era
        if not is_final and self._now() <= grants_expire_at:
            return None
        if newest is None or (not is_final and newest.position.token < stored.fence):
            log_state_change("table.kept", fence=stored.fence, ranges=len(stored.ranges))
            return stored
        token = newest.position.token
        log_state_change(
            "table.recovered", term=newest.term, fence=token, stored=stored.fence, final=is_final
        )
        return replace(stored, fence=max(stored.fence, token), ranges=newest.ranges)

    def _collect(self) -> None:
        """Keep the newest copy of this node and of the members that state a newer one."""
        own = self._own_copy()
        if own is not None:
            self._keep(own)
        statements = self._statements.recent(self._now())
        for item in sorted(statements, key=lambda item: item.position, reverse=True):
            rank = (item.final_before == self._era, item.position)
            if rank > self._rank():
                copy = self._fetch(item.address)
                if copy is not None:
                    self._keep(copy)

    def _keep(self, copy: TableCopy) -> None:
        if (copy.final_before == self._era, copy.position) > self._rank():
            self._newest = copy

    def _rank(self) -> tuple[bool, TablePosition]:
        if self._newest is None:
            return False, TablePosition(-1, 0, 0)
        return self._newest.final_before == self._era, self._newest.position

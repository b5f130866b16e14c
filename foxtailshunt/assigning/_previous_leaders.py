"""Tracks until when grants of previous leaders may be in force."""

import threading
from collections.abc import Callable, Iterable

from foxtailshunt.assigning._grant_renewer import HOLD_S, LEAVING_HOLD_S, grant_expires_at
from foxtailshunt.assigning._leadership import MAX_UNCONFIRMED_S
from foxtailshunt.assigning._member_registry import MemberRegistry
from foxtailshunt.assigning._table_record import LeaderProcess
from foxtailshunt.fleet import Member

#: Longest time for which grants of a leader may stay in force if nothing more is known of it, in
#: seconds.
UNKNOWN_LEADER_GRANTS_S = grant_expires_at(MAX_UNCONFIRMED_S, HOLD_S)


#: Stands for leaders of earlier eras of the store that the table doesn't name, since the store has
#: lost the table that did. The lease of each of them was renewed last before the store's return.
UNNAMED_LEADER = LeaderProcess("", "", UNKNOWN_LEADER_GRANTS_S)


class PreviousLeaders:
    """Processes that led before and may still renew grants; safe to use from any thread.

    If an upstream is lost together with a leader or soon after it, its keys can be granted anew
    only once the last grant of every previous leader has expired. This is seconds earlier if the
    heartbeats of these leaders show that they follow the new one.

    :param processes: the previous leaders, as recorded in the ownership table.
    :param local_member: this node.
    :param started: when this node's process started, in seconds of the clock.
    :param term: this node's term.
    :param members: the last heartbeat of each node, with the term that it knows.
    :param now: returns seconds of a clock that also advances during suspension.
    """

    def __init__(
        self,
        processes: Iterable[LeaderProcess],
        local_member: Member,
        started: float,
        term: int,
        members: MemberRegistry,
        now: Callable[[], float],
    ) -> None:
        self._local_member = local_member
        self._term = term
        self._members = members
        self._now = now
        self._lock = threading.Lock()
        began = now()
        #: Latest time at which a grant of each previous leader expires, in seconds.
        self._expiries: dict[LeaderProcess, float] = {
            process: self._initial_expiry(process, began, started) for process in processes
        }

    def grants_expire_at(self) -> float:
        """Return the latest time at which a grant of any previous leader expires, in seconds."""
        with self._lock:
            self._update_expiries()
            return max(self._expiries.values(), default=float("-inf"))

    def unexpired(self) -> tuple[LeaderProcess, ...]:
        """Return the previous leaders whose grants may still be in force, and for how long."""
        with self._lock:
            self._update_expiries()
            now = self._now()
            return tuple(
                LeaderProcess(process.instance_id, process.boot_id, expiry - now)
                for process, expiry in self._expiries.items()
                if expiry > now
            )

    def _initial_expiry(self, process: LeaderProcess, began: float, started: float) -> float:
        expiry = began + process.grants_left_s
        if process.boot_id == self._local_member.boot_id:
            return min(expiry, grant_expires_at(began, LEAVING_HOLD_S))
        if process.instance_id == self._local_member.instance_id:
            # That process ended before this one started.
            return min(expiry, grant_expires_at(started, LEAVING_HOLD_S))
        return expiry

    def _update_expiries(self) -> None:
        for process, expiry in self._expiries.items():
            last_heartbeat = self._members.last_heartbeat(process.instance_id)
            if last_heartbeat is None or last_heartbeat.known_term < self._term:
                continue
            # A process that knows this term sends no grants of its own, and any earlier process of
            # the same instance has ended.
            is_same = last_heartbeat.member.boot_id == process.boot_id
            hold_s = HOLD_S if is_same and not last_heartbeat.member.leaving else LEAVING_HOLD_S
            self._expiries[process] = min(
                expiry, grant_expires_at(last_heartbeat.term_known_since, hold_s)
            )

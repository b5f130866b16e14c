"""Until when upstreams may hold keys by grants of earlier leaders."""

import threading
from collections.abc import Callable, Iterable

from foxtailshunt.assigning._key_holder import HOLD_S, LEAVING_HOLD_S, grant_expires_at
from foxtailshunt.assigning._leadership import MAX_UNCONFIRMED_S
from foxtailshunt.assigning._member_registry import MemberRegistry
from foxtailshunt.assigning._table_record import LeaderProcess
from foxtailshunt.fleet import Member

#: How long grants of a leader of which nothing is known may be in force, in seconds.
UNKNOWN_LEADER_GRANTS_S = grant_expires_at(MAX_UNCONFIRMED_S, HOLD_S)


class PreviousLeaders:
    """The processes that led before and may still renew grants; safe to use from any thread.

    Load it answers: upstreams that are lost together with, or soon after, a leader. Their keys are
    served again once the last grant of every earlier leader has run out, which is seconds sooner
    if these leaders are heard to follow the new one.

    :param processes: the earlier leaders, as the ownership table names them.
    :param me: this node.
    :param started: when this node's process started, in seconds of the clock.
    :param term: this node's term.
    :param members: tells which processes follow, and what term they know.
    :param now: returns seconds of a clock that also counts suspension.
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
        self._me = local_member
        self._term = term
        self._members = members
        self._now = now
        self._lock = threading.Lock()
        began = now()
        #: When the last grant of each earlier leader has surely run out.
        self._ends: dict[LeaderProcess, float] = {
            process: self._first_end(process, began, started) for process in processes
        }

    def grants_expire_at(self) -> float:
        """Return when the last grant of all earlier leaders has surely run out, in seconds."""
        with self._lock:
            self._note_followers()
            return max(self._ends.values(), default=float("-inf"))

    def unexpired(self) -> tuple[LeaderProcess, ...]:
        """Return the earlier leaders whose grants may still be in force, and for how long."""
        with self._lock:
            self._note_followers()
            now = self._now()
            return tuple(
                LeaderProcess(process.instance_id, process.boot_id, end - now)
                for process, end in self._ends.items()
                if end > now
            )

    def _first_end(self, process: LeaderProcess, began: float, started: float) -> float:
        end = began + process.grants_left_s
        if process.boot_id == self._me.boot_id:
            return min(end, grant_expires_at(began, LEAVING_HOLD_S))
        if process.instance_id == self._me.instance_id:
            # It ended before this process started.
            return min(end, grant_expires_at(started, LEAVING_HOLD_S))
        return end

    def _note_followers(self) -> None:
        for process, end in self._ends.items():
            last_heartbeat = self._members.last_heartbeat(process.instance_id)
            if last_heartbeat is None or last_heartbeat.known_term < self._term:
                continue
            # It knows this term, so it sends no orders of its own; and whatever process ran there
            # before it has ended.
            is_same = last_heartbeat.member.boot_id == process.boot_id
            hold_s = HOLD_S if is_same and not last_heartbeat.member.leaving else LEAVING_HOLD_S
            self._ends[process] = min(
                end, grant_expires_at(last_heartbeat.term_known_since, hold_s)
            )

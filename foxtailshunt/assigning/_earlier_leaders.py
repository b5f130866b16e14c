"""Until when upstreams may hold keys by grants of earlier leaders."""

import threading
from collections.abc import Callable, Iterable

from foxtailshunt.assigning._key_holder import grant_end
from foxtailshunt.assigning._leadership import RIGHT_S
from foxtailshunt.assigning._member_registry import MemberRegistry
from foxtailshunt.assigning._table_record import LeaderProcess
from foxtailshunt.fleet import Member


class EarlierLeaders:
    """The processes that led before and may still renew grants; safe to use from any thread.

    Load it answers: upstreams that are lost together with, or soon after, a leader. Their keys are
    served again once the last grant of every earlier leader has run out, which is seconds sooner
    if these leaders are heard to follow the new one.

    :param processes: the earlier leaders, as the ownership table names them.
    :param me: this node; grants of its own process and of its instance's earlier ones have ended.
    :param term: this node's term.
    :param members: tells which processes follow, and what term they know.
    :param now: returns seconds of a clock that also counts suspension.
    """

    def __init__(
        self,
        processes: Iterable[LeaderProcess],
        me: Member,
        term: int,
        members: MemberRegistry,
        now: Callable[[], float],
    ) -> None:
        self._term = term
        self._members = members
        self._now = now
        self._lock = threading.Lock()
        began = now()
        #: When each earlier leader sends its last grant at the latest.
        self._last_order: dict[LeaderProcess, float] = {
            process: began if process.instance_id == me.instance_id else began + RIGHT_S
            for process in processes
        }

    def grants_end(self) -> float:
        """Return when the last grant of all earlier leaders has surely run out, in seconds."""
        with self._lock:
            self._note_stopped()
            return max(
                (grant_end(moment) for moment in self._last_order.values()), default=float("-inf")
            )

    def possible(self) -> tuple[LeaderProcess, ...]:
        """Return the earlier leaders whose grants may still be in force."""
        with self._lock:
            self._note_stopped()
            now = self._now()
            return tuple(
                process for process, moment in self._last_order.items() if grant_end(moment) >= now
            )

    def _note_stopped(self) -> None:
        for process, moment in self._last_order.items():
            stopped_at = self._members.stopped_leading_at(process.instance_id, self._term)
            if stopped_at is not None:
                self._last_order[process] = min(moment, stopped_at)

"""The nodes that follow the leader."""

import threading
from dataclasses import dataclass

from foxtailshunt.fleet import Member

#: Time without a word after which a node is left out, in seconds: three polls.
MEMBER_TIMEOUT_S = 1.6


@dataclass(slots=True)
class _Heard:
    member: Member
    #: When it was heard last, in seconds.
    at: float
    #: Newest term that it knows.
    known_term: int
    #: When this process was first heard to know that term, in seconds.
    known_since: float


class MemberRegistry:
    """Remembers when each node was heard; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._heard: dict[str, _Heard] = {}

    def note(self, member: Member, known_term: int, now: float) -> None:
        """Take a word from a node into account.

        :param member: the node.
        :param known_term: newest term that it knows.
        :param now: the time in seconds.
        """
        with self._lock:
            before = self._heard.get(member.instance_id)
            is_known = (
                before is not None
                and before.member.boot_id == member.boot_id
                and before.known_term == known_term
            )
            known_since = before.known_since if before is not None and is_known else now
            self._heard[member.instance_id] = _Heard(member, now, known_term, known_since)

    def stopped_leading_at(self, instance_id: str, term: int) -> float | None:
        """Return from when on an instance surely sends no orders of earlier terms; None if unknown.

        Its process knows the term, so it does not lead in an earlier one; and whatever process
        ran there before has ended.

        :param instance_id: the instance.
        :param term: the term in force.
        """
        with self._lock:
            heard = self._heard.get(instance_id)
        return heard.known_since if heard is not None and heard.known_term >= term else None

    def living(self, now: float) -> tuple[Member, ...]:
        """Return the nodes that were heard lately, in order of their names.

        :param now: the time in seconds.
        """
        with self._lock:
            for name, heard in list(self._heard.items()):
                if now - heard.at > MEMBER_TIMEOUT_S:
                    del self._heard[name]
            return tuple(self._heard[name].member for name in sorted(self._heard))

    def clear(self) -> None:
        """Forget all nodes."""
        with self._lock:
            self._heard.clear()

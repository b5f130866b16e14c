"""The nodes that follow the leader."""

import threading
from dataclasses import dataclass

from foxtailshunt.fleet import Member

#: Time without a word after which a node is left out, in seconds: three polls.
MEMBER_TIMEOUT_S = 1.6


@dataclass(frozen=True, slots=True)
class MemberHeartbeat:
    """What a node said of itself."""

    #: The node.
    member: Member
    #: When it was heard last, in seconds.
    at: float
    #: Newest term that it knows.
    known_term: int
    #: When this process was first heard to know that term, in seconds.
    term_known_since: float


class MemberRegistry:
    """Remembers when each node was heard; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._heard: dict[str, MemberHeartbeat] = {}

    def observe(self, member: Member, known_term: int, now: float) -> None:
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
            term_known_since = before.term_known_since if before is not None and is_known else now
            self._heard[member.instance_id] = MemberHeartbeat(
                member, now, known_term, term_known_since
            )

    def last_heartbeat(self, instance_id: str) -> MemberHeartbeat | None:
        """Return what an instance said last, or None if it is not heard.

        :param instance_id: the instance.
        """
        with self._lock:
            return self._heard.get(instance_id)

    def live_members(self, now: float) -> tuple[Member, ...]:
        """Return the nodes that were heard lately, in order of their names.

        :param now: the time in seconds.
        """
        with self._lock:
            for name, last_heartbeat in list(self._heard.items()):
                if now - last_heartbeat.at > MEMBER_TIMEOUT_S:
                    del self._heard[name]
            return tuple(self._heard[name].member for name in sorted(self._heard))

    def clear(self) -> None:
        """Forget all nodes."""
        with self._lock:
            self._heard.clear()

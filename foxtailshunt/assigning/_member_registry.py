"""Tracks the nodes that send heartbeats to the leader."""

import threading
from dataclasses import dataclass

from foxtailshunt.fleet import Member

#: Time without a heartbeat after which a node is no longer a member, in seconds: three polls.
MEMBER_TIMEOUT_S = 1.6


@dataclass(frozen=True, slots=True)
class MemberHeartbeat:
    """The last heartbeat of a node."""

    #: The node.
    member: Member
    #: When it arrived, in seconds of the clock.
    received_at: float
    #: Newest term that the node knows.
    known_term: int
    #: When the first heartbeat of this process with that term arrived, in seconds of the clock.
    term_known_since: float


class MemberRegistry:
    """Keeps the last heartbeat of each node; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._heartbeats: dict[str, MemberHeartbeat] = {}

    def observe(self, member: Member, known_term: int, now: float) -> None:
        """Record a heartbeat.

        :param member: the node.
        :param known_term: newest term that the node knows.
        :param now: the current time, in seconds of the clock.
        """
        with self._lock:
            previous = self._heartbeats.get(member.instance_id)
            is_known = (
                previous is not None
                and previous.member.boot_id == member.boot_id
                and previous.known_term == known_term
            )
            term_known_since = (
                previous.term_known_since if previous is not None and is_known else now
            )
            self._heartbeats[member.instance_id] = MemberHeartbeat(
                member, now, known_term, term_known_since
            )

    def last_heartbeat(self, instance_id: str) -> MemberHeartbeat | None:
        """Return the last heartbeat of an instance, or None without a recent one.

        :param instance_id: id of the instance.
        """
        with self._lock:
            return self._heartbeats.get(instance_id)

    def live_members(self, now: float) -> tuple[Member, ...]:
        """Return the nodes with a recent heartbeat, in order of their instance ids.

        :param now: the current time, in seconds of the clock.
        """
        with self._lock:
            for name, last_heartbeat in list(self._heartbeats.items()):
                if now - last_heartbeat.received_at > MEMBER_TIMEOUT_S:
                    del self._heartbeats[name]
            return tuple(self._heartbeats[name].member for name in sorted(self._heartbeats))

    def clear(self) -> None:
        """Remove all nodes."""
        with self._lock:
            self._heartbeats.clear()

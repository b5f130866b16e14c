"""The nodes that follow the leader."""

import threading

from foxtailshunt.fleet import Member

#: Time without a word after which a node is left out, in seconds: three polls.
MEMBER_TIMEOUT_S = 1.6


class MemberRegistry:
    """Remembers when each node was heard; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._heard: dict[str, tuple[Member, float]] = {}

    def note(self, member: Member, now: float) -> None:
        """Take a word from a node into account.

        :param member: the node.
        :param now: the time in seconds.
        """
        with self._lock:
            self._heard[member.instance_id] = (member, now)

    def living(self, now: float) -> tuple[Member, ...]:
        """Return the nodes that were heard lately, in order of their names.

        :param now: the time in seconds.
        """
        with self._lock:
            for name, (_, heard_at) in list(self._heard.items()):
                if now - heard_at > MEMBER_TIMEOUT_S:
                    del self._heard[name]
            return tuple(self._heard[name][0] for name in sorted(self._heard))

    def clear(self) -> None:
        """Forget all nodes."""
        with self._lock:
            self._heard.clear()

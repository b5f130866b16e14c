"""Which members one assigner hears, and since when it does not."""

import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.ownership._periods import MEMBER_TIMEOUT_S
from foxtailshunt.protocol import Member
from foxtailshunt.telemetry import Metrics, log_state_change
from foxtailshunt.timing import Clock

_REPLACED_BOOT_IDS = 64

_MemberKey = tuple[str, str]


@dataclass(slots=True)
class _Entry:
    member: Member
    heard_at: float


class MemberRegistry:
    """Members by instance and role; safe to use from any thread.

    A member is lost after :data:`~foxtailshunt.ownership._periods.MEMBER_TIMEOUT_S` without a call.
    A closed connection proves nothing. A new boot id of the same instance and role replaces the
    old one, whose later messages are ignored.

    :param clock: the clock that silence is measured on.
    :param metrics: where members are counted.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._entries: dict[_MemberKey, _Entry] = {}
        self._replaced: deque[str] = deque(maxlen=_REPLACED_BOOT_IDS)
        self._version = 0
        self._checked_at = clock.now()
        self._subscribers: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Return a number that rises with every change of the members."""
        return self._version

    def members(self) -> tuple[Member, ...]:
        """Return the members that are not lost, sorted by instance and role."""
        with self._lock:
            return tuple(self._entries[key].member for key in sorted(self._entries))

    def ages_s(self) -> dict[str, float]:
        """Return the seconds since each member was heard, by instance and role."""
        now = self._clock.now()
        with self._lock:
            return {"/".join(key): now - entry.heard_at for key, entry in self._entries.items()}

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function after each change, on the thread that brought it.

        :param callback: must not block.
        """
        self._subscribers.append(callback)

    def note(self, member: Member) -> bool:
        """Note that a member was heard.

        :param member: what it says of itself.
        :returns: False if another incarnation has replaced it.
        """
        now = self._clock.now()
        key = (member.instance_id, member.role)
        with self._lock:
            if member.boot_id in self._replaced:
                return False
            entry = self._entries.get(key)
            changed = entry is None or entry.member != member
            if entry is None or entry.member.boot_id != member.boot_id:
                if entry is not None:
                    self._replaced.append(entry.member.boot_id)
                self._entries[key] = _Entry(member, now)
            else:
                entry.member = member
                entry.heard_at = now
            self._version += changed
        if changed:
            self._notify()
        return True

    def remove_lost(self) -> None:
        """Drop members that have been silent too long; call it several times a timeout.

        After a pause of this process itself no member is dropped until it has had the whole
        timeout to be heard again.
        """
        now = self._clock.now()
        with self._lock:
            gap_s = now - self._checked_at
            self._checked_at = now
            if gap_s > MEMBER_TIMEOUT_S / 2:
                self._forgive_pause(now)
            lost = [
                key
                for key, entry in self._entries.items()
                if now - entry.heard_at > MEMBER_TIMEOUT_S
            ]
            for key in lost:
                del self._entries[key]
            self._version += bool(lost)
        for instance_id, role in lost:
            log_state_change("member.lost", member=instance_id, role=role)
        if lost:
            self._notify()

    def _forgive_pause(self, now: float) -> None:
        for entry in self._entries.values():
            entry.heard_at = now

    def _notify(self) -> None:
        with self._lock:
            count = len(self._entries)
        self._metrics.set_gauge("foxtailshunt_members", "Members heard by this assigner.", count)
        for callback in self._subscribers:
            callback()

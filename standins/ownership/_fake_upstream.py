"""An upstream in memory that keeps the rules of docs/INTERFACES.md for grants."""

from dataclasses import dataclass

from foxtailshunt.ownership import ZERO_FENCE
from foxtailshunt.timing import Clock
from foxtailshunt.upstream import ClockReading, Grant, GrantReply, UpstreamConnectionError
from standins.ownership._fakes import FakeClock

_MS_PER_S = 1000


@dataclass(frozen=True)
class _Held:
    grant: Grant
    until_ms: float


class FakeUpstream:
    """Takes grants; its clock is its own.

    :param clock: the upstream's clock.
    :param checks_fences: whether it refuses lower fences and counts from readings.
    """

    def __init__(self, clock: Clock, checks_fences: bool = True) -> None:
        self.clock = clock
        self.checks_fences = checks_fences
        self.boot_number = 1
        self.draining = False
        self.warming = False
        #: Slots of work in progress.
        self.working: set[int] = set()
        self.received: list[Grant] = []
        self.highest_fence = ZERO_FENCE
        self._held: _Held | None = None

    @property
    def boot_id(self) -> str:
        return f"boot-{self.boot_number}"

    def restart(self) -> None:
        self.boot_number += 1
        self.highest_fence = ZERO_FENCE
        self._held = None
        self.working.clear()

    def slots_now(self) -> frozenset[int]:
        """Return the slots that it would begin work for at this moment."""
        if self._held is None or self._now_ms() >= self._held.until_ms:
            return frozenset()
        return self._held.grant.slots

    def take(self, grant: Grant, received_at: float) -> GrantReply:
        self.received.append(grant)
        if not self._may_take(grant):
            return self._reply(False, received_at)
        until_ms = self._until_ms(grant)
        if until_ms is None:
            return self._reply(False, received_at)
        self.highest_fence = max(self.highest_fence, grant.fence)
        held = self._held
        is_late = held is not None and grant.fence == held.grant.fence and until_ms <= held.until_ms
        if not (self.checks_fences and is_late):
            self._held = _Held(grant, until_ms)
        return self._reply(self._now_ms() < until_ms, received_at)

    def _may_take(self, grant: Grant) -> bool:
        return grant.fence >= self.highest_fence or not self.checks_fences

    def _until_ms(self, grant: Grant) -> float | None:
        if not self.checks_fences:
            return self._now_ms() + grant.ttl_ms
        if grant.reading is None or grant.reading.boot_id != self.boot_id:
            return None
        return grant.reading.reading_ms + grant.ttl_ms

    def _reply(self, accepted: bool, received_at: float) -> GrantReply:
        held = self._held.grant.slots if self._held else frozenset()
        released = not self.checks_fences or self.working <= held
        reading = ClockReading(self.boot_id, int(self._now_ms()), received_at)
        return GrantReply(
            accepted,
            accepted and released,
            self.highest_fence,
            reading,
            self.draining,
            self.warming,
        )

    def _now_ms(self) -> float:
        return self.clock.now() * _MS_PER_S


class FakeClient:
    """A client of a fake upstream whose calls take no time; a test breaks it.

    :param upstream: the upstream.
    :param clock: the dispatcher's clock, moved by a timeout.
    """

    def __init__(self, upstream: FakeUpstream, clock: FakeClock) -> None:
        #: Time that the next call takes, in seconds.
        self.duration_s = 0.0
        self.address = ("127.0.0.1", 9000)
        self.fault = ""
        #: Grants left in the sockets of a frozen upstream.
        self.left: list[Grant] = []
        self._upstream = upstream
        self._clock = clock

    def thaw(self) -> None:
        """Let the upstream read what was left in its sockets."""
        self.fault = ""
        for grant in self.left:
            self._upstream.take(grant, self._clock.now())
        self.left.clear()

    def send_grant(self, grant: Grant, timeout_s: float) -> GrantReply:
        if self.fault == "refuses":
            raise UpstreamConnectionError("refused", sent=False, refused=True)
        if self.fault == "is frozen":
            self.left.append(grant)
            raise UpstreamConnectionError("timeout", sent=True, refused=False)
        self._clock.time += self.duration_s
        self.duration_s = 0.0
        reply = self._upstream.take(grant, self._clock.now())
        if self.fault == "loses answers":
            raise UpstreamConnectionError("timeout", sent=True, refused=False)
        return reply

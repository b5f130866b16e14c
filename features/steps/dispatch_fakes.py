"""Fakes at the dispatcher's interfaces."""

import itertools
import threading
from collections.abc import Callable

from foxtailshunt.errors import ResultCode
from foxtailshunt.ownership import Fence, SendPermission
from foxtailshunt.timing import Subscription
from foxtailshunt.upstream import (
    CancelOutcome,
    UpstreamConnectionError,
    WorkOutcome,
    WorkReply,
    WorkRequest,
)

FENCE = Fence(1, 1)


class ManualClock:
    """A clock that moves only when told."""

    def __init__(self) -> None:
        self.time_s = 1000.0

    def now(self) -> float:
        return self.time_s

    def wall_time(self) -> float:
        return 1_800_000_000.0 + self.time_s


class ManualTimer:
    """Takes subscriptions and calls them only when told."""

    def __init__(self) -> None:
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, interval_s: float, callback: Callable[[], None]) -> Subscription:
        self._callbacks.append(callback)
        return Subscription(callback, interval_s)

    def tick(self) -> None:
        for callback in self._callbacks:
            callback()


class FakeSendRight:
    """A right that the test gives and takes."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.held = True
        self.closed = False
        self.lapsed_until = 0.0
        self.boot_id = "first"
        self.read_ago_s = 0.0
        self.missing_until = 0.0
        self.missing_keys: set[tuple[int, str]] = set()

    def check(self, upstream_id: str, slot: int, key: str) -> SendPermission | ResultCode:
        if self.closed or not self.holds_assent(upstream_id):
            return ResultCode.NOT_DISPATCHER
        now = self._clock.now()
        if now < self.missing_until or (slot, key) in self.missing_keys:
            return ResultCode.NO_OWNER
        return SendPermission(FENCE, self.boot_id, 5000, now - self.read_ago_s)

    def holds_assent(self, upstream_id: str) -> bool:
        return self.held and self._clock.now() >= self.lapsed_until


class FakeUpstream:
    """An upstream client, and its own directory, that answers as scripted."""

    address = ("127.0.0.1", 1)

    def __init__(self, clock: ManualClock, right: FakeSendRight) -> None:
        self._clock = clock
        self._right = right
        self.script = itertools.repeat("ran")
        self.cancel_answer = "unknown"
        self.sent: list[WorkRequest] = []
        self.cancelled: list[str] = []
        self.answers = threading.Semaphore(0)
        self.arrivals = threading.Semaphore(0)

    def client(self, upstream_id: str) -> "FakeUpstream":
        return self

    def send_work(self, req: WorkRequest) -> WorkReply:
        answer = next(self.script)
        self.sent.append(req)
        if answer.startswith("held-"):
            self.arrivals.release()
            assert self.answers.acquire(timeout=30)
            answer = answer.removeprefix("held-")
        if answer.startswith("lapsed-"):
            self._right.held = False
            answer = answer.removeprefix("lapsed-")
        if answer in ("lost", "not-sent"):
            raise UpstreamConnectionError(answer, sent=answer == "lost", refused=False)
        if answer == "silent":
            self._clock.time_s += req.timeout_s
            raise UpstreamConnectionError(answer, sent=True, refused=False)
        if answer == "mismatch":
            return WorkReply("another", WorkOutcome.RAN, 200, (), b"another's")
        return WorkReply(req.request_id, WorkOutcome(answer), 200, (("X", "1"),), b"whole")

    def cancel(self, request_id: str, timeout_s: float) -> CancelOutcome:
        self.cancelled.append(request_id)
        if self.cancel_answer == "fails":
            raise UpstreamConnectionError("cancel", sent=True, refused=False)
        return CancelOutcome(self.cancel_answer)

"""Steps for the timer service."""

import threading

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.timing import MonotonicClock, TimerService


class TimerSubject:
    """A timer service with one subscriber."""

    def __init__(self) -> None:
        self.errors: list[Exception] = []
        self.service = TimerService(MonotonicClock(), self.errors.append)
        self.calls = threading.Semaphore(0)

    def subscribe(self, interval_s: float) -> None:
        self.subscription = self.service.subscribe(interval_s, self.calls.release)


@given("a timer service")
def start_timer(context: Context) -> None:
    context.timer = TimerSubject()
    context.timer.service.start()


@when(
    "a subscriber subscribes with an interval of {interval_ms:d} ms and waits for {count:d} calls"
)
def subscribe(context: Context, interval_ms: int, count: int) -> None:
    context.timer.subscribe(interval_ms / 1000)
    for _ in range(count):
        context.timer.calls.acquire()


@then("the subscriber is not called after it cancels the subscription")
def check_cancelled(context: Context) -> None:
    timer = context.timer
    timer.subscription.cancel()
    timer.service.stop()
    while timer.calls.acquire(blocking=False):
        pass
    assert not timer.calls.acquire(timeout=0.05)
    assert timer.errors == []

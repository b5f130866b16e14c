"""Steps for the timer service."""

import ast
import threading
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

import foxtailshunt
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


#: Functions that return or compute the time of day.
_TIME_OF_DAY = {
    ("time", name)
    for name in ("time", "time_ns", "gmtime", "localtime", "ctime", "strftime", "CLOCK_REALTIME")
}
_MONOTONIC = {
    "monotonic",
    "clock_gettime",
    "CLOCK_BOOTTIME",
    "sleep",
    "process_time",
    "perf_counter",
}


@given("the source code of the program")
def parse_sources(context: Context) -> None:
    root = Path(foxtailshunt.__file__).parent
    paths = [path for path in root.rglob("*.py") if "gen" not in path.parts]
    context.modules = {str(path): ast.parse(path.read_text(encoding="utf-8")) for path in paths}
    assert len(context.modules) > 100


@then("no module reads the time of day")
def check_no_time_of_day(context: Context) -> None:
    for path, module in context.modules.items():
        for node in ast.walk(module):
            if isinstance(node, ast.Import):
                assert all(alias.name != "datetime" for alias in node.names), path
            if isinstance(node, ast.ImportFrom):
                assert node.module not in ("time", "datetime"), path
            if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
                assert (node.value.id, node.attr) not in _TIME_OF_DAY, (path, node.lineno)


@then("every wait and timeout uses a monotonic clock")
def check_monotonic(context: Context) -> None:
    used = {
        node.attr
        for module in context.modules.values()
        for node in ast.walk(module)
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == "time"
    }
    assert used <= _MONOTONIC, used - _MONOTONIC

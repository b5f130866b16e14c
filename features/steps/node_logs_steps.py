"""Steps for node logs."""

import os
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Any

import eliot
from behave import given, then, when
from behave.runner import Context

from foxtailshunt.telemetry import LogWriter, RequestLog
from standins.metadata import StoreFault

_ROOT = Path(__file__).resolve().parent.parent.parent
_MAX_QUEUED_LINES = 2000


class LogSubject:
    """A log writer on a pipe that is not read until the end of the test."""

    def __init__(self) -> None:
        self.read_end, write_end = os.pipe()
        self.writer = LogWriter(write_end)
        self.writer.start()
        self.max_write_s = 0.0

    def write(self, count: int) -> None:
        for number in range(count):
            started = time.monotonic()
            self.writer({"message_type": "test.line", "number": number, "padding": "x" * 200})
            self.max_write_s = max(self.max_write_s, time.monotonic() - started)

    def read_until_dropped(self) -> bytes:
        parts: list[bytes] = []
        done = threading.Event()

        def read() -> None:
            while not done.is_set():
                parts.append(os.read(self.read_end, 1 << 16))
                if b"log.dropped" in b"".join(parts):
                    done.set()

        thread = threading.Thread(target=read, daemon=True)
        thread.start()
        done.wait(30)
        return b"".join(parts)


class BurstSubject:
    """A request log with a manual clock, and the lines that it wrote."""

    def __init__(self) -> None:
        self._now = 0.0
        self._log = RequestLog(lambda: self._now)
        self.lines: list[dict[str, Any]] = []

    def log(self, successful: int, failed: int) -> None:
        # Marks the lines of this test, since other threads of the test process also log.
        marker = f"burst {id(self)}"
        written: list[dict[str, Any]] = []
        eliot.add_destinations(written.append)
        try:
            for number in range(successful + failed):
                is_failed = number >= successful
                self._log.log_decision(
                    "request.answered", failed=is_failed, source=marker, bad=is_failed
                )
        finally:
            eliot.remove_destination(written.append)
        self.lines += [line for line in written if line.get("source") == marker]

    def advance(self, seconds: float) -> None:
        self._now += seconds


def _explain_request(request_id: str, *logs: Path) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "foxtailshunt.cli.operator", "explain-request", request_id]
    return subprocess.run(
        [*command, *map(str, logs)],
        cwd=_ROOT,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        check=False,
    )


@given("a log whose reader has stalled")
def _(context: Context) -> None:
    context.log_subject = LogSubject()


@when("{count:d} lines are written")
def _(context: Context, count: int) -> None:
    context.log_subject.write(count)


@when("a request is traced that no log contains")
def _(context: Context) -> None:
    context.explained = _explain_request("0123456789abcdef")


@when("{successful:d} successful and {failed:d} failed requests are logged at once")
def _(context: Context, successful: int, failed: int) -> None:
    context.burst = BurstSubject()
    context.burst.log(successful, failed)
    context.burst.advance(1.0)
    context.burst.log(1, 0)


@then("the trace of the request in the log contains {result} and upstream {upstream}")
def _(context: Context, result: str, upstream: str) -> None:
    fleet = context.requests.fleet
    log = fleet.folder / "n0.log"
    request_id = context.answer.request_id
    fleet.wait_until(lambda: request_id in fleet.nodes["n0"].process.log(), "the line is written")
    explained = _explain_request(request_id, log)
    assert explained.returncode == 0, explained.stderr
    first_line = explained.stdout.splitlines()[0]
    assert f"request_id={request_id}" in explained.stdout
    assert result in explained.stdout, explained.stdout
    assert f"upstream={upstream}" in explained.stdout, first_line


@then("the command exits with code {code:d} and prints one line")
def _(context: Context, code: int) -> None:
    assert context.explained.returncode == code, context.explained
    assert len(context.explained.stderr.splitlines()) == 1, context.explained.stderr


@then("the queue stays within its limit and dropped lines are reported")
def _(context: Context) -> None:
    subject = context.log_subject
    queued = len(subject.writer._lines)
    assert queued <= _MAX_QUEUED_LINES, queued
    assert b"log.dropped" in subject.read_until_dropped()


@then("{successful:d} successful and {failed:d} failed lines are written")
def _(context: Context, successful: int, failed: int) -> None:
    burst_lines = context.burst.lines[:-1]
    assert sum(not line["bad"] for line in burst_lines) == successful, burst_lines
    assert sum(line["bad"] for line in burst_lines) == failed, burst_lines


@then("the line after one second reports the rest of the {count:d} suppressed lines")
def _(context: Context, count: int) -> None:
    suppressed = [line.get("lines_suppressed_before", 0) for line in context.burst.lines]
    assert sum(suppressed) == count, suppressed
    assert suppressed[-1] > 0, suppressed


def _count_leadership_lines(context: Context, event: str) -> int:
    log = context.requests.fleet.nodes["n0"].process.log()
    lines = [line for line in log.splitlines() if f'"message_type":"{event}"' in line]
    return sum('"part":"leadership"' in line for line in lines)


@when("the store is busy until the leader has tried {count:d} times to renew its lease")
def lose_store(context: Context, count: int) -> None:
    fleet = context.requests.fleet
    context.lines_before = (
        _count_leadership_lines(context, "store.lost"),
        _count_leadership_lines(context, "store.regained"),
    )
    fleet.server.fault = StoreFault.BUSY
    expected_calls = fleet.server.calls("/api/kv-keep") + count
    fleet.wait_until(lambda: fleet.server.calls("/api/kv-keep") >= expected_calls, "renewals")


@then("the log reports once that the leader lost the store, and not that it regained it")
def check_lost(context: Context) -> None:
    lost, regained = context.lines_before
    fleet = context.requests.fleet
    fleet.wait_until(lambda: _count_leadership_lines(context, "store.lost") > lost, "the line")
    assert _count_leadership_lines(context, "store.lost") == lost + 1
    assert _count_leadership_lines(context, "store.regained") == regained


@when("the store responds again")
def regain_store(context: Context) -> None:
    context.requests.fleet.server.fault = StoreFault.NONE


@then("the log reports once that the leader regained the store")
def check_regained(context: Context) -> None:
    lost, regained = context.lines_before
    fleet = context.requests.fleet
    fleet.wait_until(
        lambda: _count_leadership_lines(context, "store.regained") > regained, "the line"
    )
    assert _count_leadership_lines(context, "store.regained") == regained + 1
    assert _count_leadership_lines(context, "store.lost") == lost + 1

"""Steps for the logs of nodes."""

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
_MOST_WAITING = 2000


class LogSubject:
    """A log writer on a pipe that nobody reads, and what was written."""

    def __init__(self) -> None:
        self.read_end, write_end = os.pipe()
        self.writer = LogWriter(write_end)
        self.writer.start()
        self.longest_s = 0.0

    def write(self, count: int) -> None:
        for number in range(count):
            began = time.monotonic()
            self.writer({"message_type": "test.line", "number": number, "padding": "x" * 200})
            self.longest_s = max(self.longest_s, time.monotonic() - began)

    def read_rest(self) -> bytes:
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


class FloodSubject:
    """A request log under a clock that stands still, and the lines that it wrote."""

    def __init__(self) -> None:
        self._now = 0.0
        self._log = RequestLog(lambda: self._now)
        self.lines: list[dict[str, Any]] = []

    def log(self, ordinary: int, failed: int) -> None:
        # Other threads of the test process log as well.
        own = f"flood {id(self)}"
        written: list[dict[str, Any]] = []
        eliot.add_destinations(written.append)
        try:
            for number in range(ordinary + failed):
                is_bad = number >= ordinary
                self._log.log_decision("request.answered", failed=is_bad, source=own, bad=is_bad)
        finally:
            eliot.remove_destination(written.append)
        self.lines += [line for line in written if line.get("source") == own]

    def pass_time(self, seconds: float) -> None:
        self._now += seconds


def _tell(request_id: str, *logs: Path) -> subprocess.CompletedProcess[str]:
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


@when("the story of a request is asked for that no line names")
def _(context: Context) -> None:
    context.told = _tell("0123456789abcdef")


@when("{ordinary:d} ordinary and {failed:d} failed requests are logged at once")
def _(context: Context, ordinary: int, failed: int) -> None:
    context.flood = FloodSubject()
    context.flood.log(ordinary, failed)
    context.flood.pass_time(1.0)
    context.flood.log(1, 0)


@then("the request's story from the log names {result} and upstream {upstream}")
def _(context: Context, result: str, upstream: str) -> None:
    fleet = context.requests.fleet
    log = fleet.folder / "n0.log"
    request_id = context.answer.request_id
    fleet.wait_until(lambda: request_id in fleet.nodes["n0"].process.log(), "the line is written")
    told = _tell(request_id, log)
    assert told.returncode == 0, told.stderr
    first = told.stdout.splitlines()[0]
    assert f"request_id={request_id}" in told.stdout
    assert result in told.stdout, told.stdout
    assert f"upstream={upstream}" in told.stdout, first


@then("the command ends with exit code {code:d} and one line")
def _(context: Context, code: int) -> None:
    assert context.told.returncode == code, context.told
    assert len(context.told.stderr.splitlines()) == 1, context.told.stderr


@then("no write waited, and the lines over the bound are counted")
def _(context: Context) -> None:
    subject = context.log_subject
    waiting = len(subject.writer._lines)
    assert waiting <= _MOST_WAITING, waiting
    assert b"log.dropped" in subject.read_rest()


@then("{ordinary:d} ordinary and {failed:d} failed lines are written")
def _(context: Context, ordinary: int, failed: int) -> None:
    at_once = context.flood.lines[:-1]
    assert sum(not line["bad"] for line in at_once) == ordinary, at_once
    assert sum(line["bad"] for line in at_once) == failed, at_once


@then("with the line after a second all {count:d} that were left out are told of")
def _(context: Context, count: int) -> None:
    told = [line.get("lines_suppressed_before", 0) for line in context.flood.lines]
    assert sum(told) == count, told
    assert told[-1] > 0, told


def _told(context: Context, event: str) -> int:
    log = context.requests.fleet.nodes["n0"].process.log()
    lines = [line for line in log.splitlines() if f'"message_type":"{event}"' in line]
    return sum('"part":"leadership"' in line for line in lines)


@when("the store is busy until the leader has tried {count:d} times to renew its lease")
def lose_store(context: Context, count: int) -> None:
    fleet = context.requests.fleet
    context.told_before = (_told(context, "store.lost"), _told(context, "store.regained"))
    fleet.server.fault = StoreFault.BUSY
    wanted = fleet.server.calls("/api/kv-keep") + count
    fleet.wait_until(lambda: fleet.server.calls("/api/kv-keep") >= wanted, "renewals")


@then("the log tells once that the leader has lost the store, and not that it is back")
def check_lost(context: Context) -> None:
    lost, regained = context.told_before
    fleet = context.requests.fleet
    fleet.wait_until(lambda: _told(context, "store.lost") > lost, "the line")
    assert _told(context, "store.lost") == lost + 1
    assert _told(context, "store.regained") == regained


@when("the store answers again")
def regain_store(context: Context) -> None:
    context.requests.fleet.server.fault = StoreFault.NONE


@then("the log tells once that the leader has the store back")
def check_regained(context: Context) -> None:
    lost, regained = context.told_before
    fleet = context.requests.fleet
    fleet.wait_until(lambda: _told(context, "store.regained") > regained, "the line")
    assert _told(context, "store.regained") == regained + 1
    assert _told(context, "store.lost") == lost + 1

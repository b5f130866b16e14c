"""Lines for decisions about requests, bounded by a budget and written off the request's path."""

import collections
import json
import os
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

import eliot

#: Ordinary lines written a second; the rest is counted. Failures have a budget of their own.
ORDINARY_LINES_PER_S = 20
#: Lines for failed and refused requests written a second.
FAILURE_LINES_PER_S = 100
#: Lines that wait for a slow reader of the log.
MAX_WAITING_LINES = 2000
#: How often waiting lines are written, in seconds.
_WRITE_INTERVAL_S = 0.25


class _Budget:
    """Allows a number of lines a second."""

    def __init__(self, per_s: float, now: float) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._filled_at = now

    def take(self, now: float) -> bool:
        self._tokens = min(self._per_s, self._tokens + (now - self._filled_at) * self._per_s)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LogWriter:
    """Writes lines to a file descriptor on a thread of its own; drops the oldest if it is slow.

    :param fd: where to write.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._news = threading.Event()
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        """Start writing."""
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a message of eliot.

        :param message: the message.
        """
        line = json.dumps(message, default=str, separators=(",", ":")).encode() + b"\n"
        if len(self._lines) >= MAX_WAITING_LINES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._news.set()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        parts = []
        while self._lines:
            parts.append(self._lines.popleft())
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            parts.append(b'{"message_type":"log.dropped","lines":%d}\n' % dropped)
        data = b"".join(parts)
        while data:
            data = data[os.write(self._fd, data) :]

    def _run(self) -> None:
        while True:
            self._news.wait()
            self._news.clear()
            try:
                self.flush()
            except OSError:
                # Nobody reads the log any more; there is no other place to say so.
                return
            # Collecting lines for a moment saves a system call for each.
            time.sleep(_WRITE_INTERVAL_S)


def start_node_logging(instance_id: str, boot_id: str) -> LogWriter:
    """Send log lines to standard output without ever blocking a request.

    :param instance_id: the instance, added to each line.
    :param boot_id: the incarnation, added to each line.
    """
    writer = LogWriter(sys.stdout.fileno())
    eliot.add_global_fields(instance=instance_id, boot_id=boot_id)
    eliot.add_destinations(writer)
    writer.start()
    return writer


class RequestLog:
    """One line for each decision about a request, as far as the budgets go.

    :param now: returns seconds of a steady clock.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._lock = threading.Lock()
        self._ordinary = _Budget(ORDINARY_LINES_PER_S, now())
        self._failures = _Budget(FAILURE_LINES_PER_S, now())
        self._suppressed = 0

    def log_decision(self, event: str, failed: bool, **fields: object) -> None:
        """Write a line if its budget allows.

        :param event: what was decided, in dotted form.
        :param failed: True for a refusal or failure, which have a budget of their own.
        :param fields: the inputs that decided.
        """
        with self._lock:
            allowed = (self._failures if failed else self._ordinary).take(self._now())
            if not allowed:
                self._suppressed += 1
                return
            suppressed, self._suppressed = self._suppressed, 0
        if suppressed:
            fields["lines_suppressed_before"] = suppressed
        eliot.log_message(message_type=event, **fields)

    def log_suppressed(self) -> None:
        """Write how many lines were left out since the last line, if any were."""
        with self._lock:
            suppressed, self._suppressed = self._suppressed, 0
        if suppressed:
            eliot.log_message(message_type="log.suppressed", lines=suppressed)

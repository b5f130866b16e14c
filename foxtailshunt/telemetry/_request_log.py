"""Rate-limited log lines for request decisions, written on a separate thread."""

import collections
import json
import os
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

import eliot

#: Maximum rate of lines for successful requests, per second; suppressed lines are only counted.
ORDINARY_LINES_PER_S = 20
#: Maximum rate of lines for failed and rejected requests, per second.
FAILURE_LINES_PER_S = 100
#: Maximum number of lines queued for a slow log reader.
MAX_QUEUED_LINES = 2000
#: Minimum time between two writes of queued lines, in seconds.
_WRITE_INTERVAL_S = 0.25


class _TokenBucket:
    """Limits the rate of log lines; bursts of up to one second's lines are allowed."""

    def __init__(self, rate_per_s: float, now: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._refilled_at = now

    def try_acquire(self, now: float) -> bool:
        self._tokens = min(
            self._rate_per_s, self._tokens + (now - self._refilled_at) * self._rate_per_s
        )
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LogWriter:
    """Writes log lines to a file descriptor on a separate thread.

    While the queue is full because the reader is slow, new lines are dropped and counted.

    :param fd: file descriptor to write to.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._has_lines = threading.Event()
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue a message; called by eliot as a destination.

        :param message: fields of the message.
        """
        line = json.dumps(message, default=str, separators=(",", ":")).encode() + b"\n"
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._has_lines.set()

    def flush(self) -> None:
        """Write all queued lines; blocks while the reader does not read."""
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            lines.append(b'{"message_type":"log.dropped","lines":%d}\n' % dropped)
        data = b"".join(lines)
        while data:
            data = data[os.write(self._fd, data) :]

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            try:
                self.flush()
            except OSError:
                # The reader has closed the log, so the error cannot be logged either.
                return
            # Batches lines to save system calls.
            time.sleep(_WRITE_INTERVAL_S)


def start_node_logging(instance_id: str, boot_id: str) -> LogWriter:
    """Send log lines to standard output, without blocking the threads that log.

    :param instance_id: instance of the node, added to each line.
    :param boot_id: id of this run of the node, added to each line.
    :returns: the writer, which has been started.
    """
    writer = LogWriter(sys.stdout.fileno())
    eliot.add_global_fields(instance=instance_id, boot_id=boot_id)
    eliot.add_destinations(writer)
    writer.start()
    return writer


class RequestLog:
    """Writes one log line per request decision, within rate limits.

    :param now: returns monotonic time in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._lock = threading.Lock()
        self._ordinary = _TokenBucket(ORDINARY_LINES_PER_S, now())
        self._failures = _TokenBucket(FAILURE_LINES_PER_S, now())
        self._suppressed = 0

    def log_decision(self, event: str, failed: bool, **fields: object) -> None:
        """Log a decision if the rate limit allows.

        :param event: event name in dotted form.
        :param failed: True for a rejection or failure; these have a separate rate limit.
        :param fields: inputs of the decision.
        """
        with self._lock:
            allowed = (self._failures if failed else self._ordinary).try_acquire(self._now())
            if not allowed:
                self._suppressed += 1
                return
            suppressed, self._suppressed = self._suppressed, 0
        if suppressed:
            fields["lines_suppressed_before"] = suppressed
        eliot.log_message(message_type=event, **fields)

    def log_suppressed(self) -> None:
        """Log how many lines were suppressed since the last line, if any."""
        with self._lock:
            suppressed, self._suppressed = self._suppressed, 0
        if suppressed:
            eliot.log_message(message_type="log.suppressed", lines=suppressed)

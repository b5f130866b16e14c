"""``scripts/measure logging``: the cost of a request log line."""

import os
import time
from collections.abc import Callable
from pathlib import Path

import eliot

from foxtailshunt.telemetry import LogWriter, RequestLog

_LINE_COUNT = 20_000


class _SteppingClock:
    """Advances by a second on each call, so that every line is within the budget."""

    def __init__(self) -> None:
        self._now = 0.0

    def __call__(self) -> float:
        self._now += 1.0
        return self._now


def measure_logging(root: Path, report: Callable[[str], None]) -> dict:
    """Measure the processor time of lines within the budget and of suppressed lines over it.

    :param root: the checkout.
    :param report: called with each line of progress.
    :returns: microseconds a line, by kind of line.
    """
    sink = os.open(os.devnull, os.O_WRONLY)
    writer = LogWriter(sink)
    eliot.add_destinations(writer)
    report("lines within the budget")
    written_us = _cost_us(RequestLog(_SteppingClock()), writer)
    report("lines over the budget")
    left_out_us = _cost_us(RequestLog(lambda: 0.0), writer)
    os.close(sink)
    return {"written_us": round(written_us, 1), "left_out_us": round(left_out_us, 1)}


def _cost_us(log: RequestLog, writer: LogWriter) -> float:
    started_s = time.process_time()
    for number in range(_LINE_COUNT):
        log.log_decision(
            "request.answered",
            failed=False,
            request_id=f"request-{number}",
            route="route",
            service="service",
            key=number,
            upstream="upstream",
            result="OK",
            detail="answered",
            status=200,
            tries=1,
            taken_ms=17,
            allowed_ms=1000,
            retry_after_s=None,
            configuration=3,
            ownership="2.11",
            upstreams_age_s=0.3,
        )
        if number % 100 == 0:
            writer.flush()
    return (time.process_time() - started_s) / _LINE_COUNT * 1e6

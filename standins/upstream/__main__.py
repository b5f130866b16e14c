"""Runs an upstream's stand-in as a process."""

import time
import uuid
from pathlib import Path

import click

from foxtailshunt.timing import MonotonicClock, TimerService
from standins.http import AddressParam, Handler, HttpServer, serve_until_terminated
from standins.records import FileRecordWriter, Incarnation, NullRecordWriter, StartRecord
from standins.upstream._clock import UpstreamClock
from standins.upstream._faults import SwitchBoard
from standins.upstream._handler import UpstreamHandler
from standins.upstream._health import (
    Condition,
    ConditionSource,
    HealthMode,
    HealthReport,
    LaggingReport,
    MisleadingReport,
    TruthfulReport,
)
from standins.upstream._ownership import Ownership, UncheckedOwnership
from standins.upstream._slots import WorkSlots
from standins.upstream._worker import ServiceTime, Worker

_THREADS = 160
_HEALTH_MODES = [mode.value for mode in HealthMode]


@click.command()
@click.option("--id", "upstream_id", required=True, help="Id of the upstream.")
@click.option("--service", default="", help="Name of its service, for records.")
@click.option("--listen", type=AddressParam(), required=True, help="Address to serve on.")
@click.option("--slots", default=2, show_default=True, help="Work done at one time.")
@click.option("--queue", default=0, show_default=True, help="Work that may wait for a slot.")
@click.option("--service-ms", default=5.0, show_default=True, help="Time of work.")
@click.option("--cold-start-s", default=0.0, show_default=True, help="Time of slower work.")
@click.option("--fence-checks/--no-fence-checks", default=True, help="Whether fences are checked.")
@click.option("--health", type=click.Choice(_HEALTH_MODES), default=HealthMode.TRUTHFUL.value)
@click.option("--records", type=click.Path(path_type=Path), help="File to append records to.")
def main(
    upstream_id: str,
    service: str,
    listen: tuple[str, int],
    slots: int,
    queue: int,
    service_ms: float,
    cold_start_s: float,
    fence_checks: bool,
    health: str,
    records: Path | None,
) -> None:
    """Serve as one upstream."""
    incarnation = Incarnation(upstream_id, service, uuid.uuid4().hex)
    clock = UpstreamClock()
    writer = FileRecordWriter(records) if records else NullRecordWriter()
    writer.write(StartRecord(incarnation, fence_checks, clock.now()))
    ownership_class = Ownership if fence_checks else UncheckedOwnership
    ownership = ownership_class(incarnation, clock, writer)
    work_slots = WorkSlots(slots, queue)
    board = SwitchBoard()
    service_time = ServiceTime(service_ms / 1000, cold_start_s, time.monotonic())

    def condition() -> Condition:
        return Condition(board.switches.drain, service_time.is_warming(), work_slots.load)

    worker = Worker(upstream_id, ownership, work_slots, board, service_time)
    report = _make_report(HealthMode(health), condition)
    handler: Handler = UpstreamHandler(
        incarnation.boot_id, clock, ownership, worker, board, condition, report
    )
    serve_until_terminated(HttpServer(listen, handler, _THREADS))


def _make_report(mode: HealthMode, source: ConditionSource) -> HealthReport:
    if mode is HealthMode.TRUTHFUL:
        return TruthfulReport(source)
    if mode is HealthMode.MISLEADING:
        return MisleadingReport(source)
    timer = TimerService(MonotonicClock(), _raise)
    timer.start()
    return LaggingReport(source, timer.subscribe)


def _raise(exc: Exception) -> None:
    raise exc


if __name__ == "__main__":
    main()

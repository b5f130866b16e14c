"""Steps for metrics."""

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.telemetry import Metrics


@given("an empty set of metrics")
def make_metrics(context: Context) -> None:
    context.metrics = Metrics()


@when("the metrics are updated")
def update_metrics(context: Context) -> None:
    for row in context.table:
        labels = dict([row["labels"].split("=")]) if row["labels"] else None
        name, value = row["name"], float(row["value"])
        if row["call"] == "count":
            context.metrics.count(name, "Words.", labels, int(value))
        elif row["call"] == "gauge":
            context.metrics.set_gauge(name, "Words.", int(value), labels)
        else:
            context.metrics.observe(name, "Words.", value, labels)


@then("the exposition has the lines")
def check_lines(context: Context) -> None:
    body, headers = context.metrics.render()
    assert headers["Content-Type"].startswith("text/plain"), headers
    lines = body.decode().splitlines()
    missing = [row["line"] for row in context.table if row["line"] not in lines]
    assert not missing, (missing, lines)


@then("the exposition includes CPU time, memory and threads of the process")
def check_process(context: Context) -> None:
    lines = context.metrics.render()[0].decode().splitlines()
    values = dict(line.split() for line in lines if line.startswith("process_"))
    assert float(values["process_cpu_seconds_total"]) > 0
    assert int(values["process_resident_memory_bytes"]) > 1_000_000
    assert int(values["process_threads"]) >= 1


@then("the counter {name} with code {code:d} has the value {value:d}")
def check_counter(context: Context, name: str, code: int, value: int) -> None:
    assert context.metrics.counter_value(name, {"code": str(code)}) == value
    assert context.metrics.counter_value(name, {"code": "none"}) == 0

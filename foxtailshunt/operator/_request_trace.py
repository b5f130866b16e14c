"""Traces one request through the log lines of all nodes."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

#: State changes within this time before a request's last line are included, in seconds: the
#: upstream list is at most about this old when a routing decision is made.
CONTEXT_S = 3.0

#: Fields that are part of every line, or that only eliot uses.
_STANDARD_FIELDS = ("timestamp", "task_uuid", "task_level", "message_type", "instance", "boot_id")
#: Prefixes of state changes that affect every request on their node.
_NODE_WIDE_EVENTS = ("store.", "leader.", "term.", "configuration.", "node.", "members.")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line."""

    #: Time at which the line was written, in seconds since the epoch.
    timestamp: float
    #: Instance of the node that wrote the line.
    instance: str
    #: Event name in dotted form.
    event: str
    #: All other fields.
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """Log lines of a request, with the state changes around it."""

    #: Lines with the id of the request, in time order.
    lines: tuple[LogLine, ...]
    #: State changes of its upstreams and nodes shortly before its last line, in time order.
    context: tuple[LogLine, ...]


def read_log_lines(lines: Iterable[str]) -> list[LogLine]:
    """Return the structured lines of logs; other lines are skipped.

    :param lines: log lines, possibly with a prefix such as a time or a node name before the JSON.
    """
    parsed = []
    for line in lines:
        begin = line.find('{"')
        if begin < 0:
            continue
        try:
            fields = json.loads(line[begin:])
            parsed.append(
                LogLine(
                    timestamp=float(fields["timestamp"]),
                    instance=str(fields["instance"]),
                    event=str(fields["message_type"]),
                    fields={
                        name: value
                        for name, value in fields.items()
                        if name not in _STANDARD_FIELDS
                    },
                )
            )
        except (ValueError, KeyError, TypeError):
            # Collected logs commonly contain truncated lines and lines of other programs.
            continue
    return parsed


def trace_request(lines: list[LogLine], request_id: str) -> RequestTrace:
    """Return the lines and state changes that concern a request.

    :param lines: lines of any number of nodes, in any order.
    :param request_id: id of the request.
    """
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    own.sort(key=lambda line: line.timestamp)
    if not own:
        return RequestTrace((), ())
    end = own[-1].timestamp
    upstreams = {line.fields.get("upstream") for line in own} - {None, ""}
    nodes = {line.instance for line in own}
    context = [
        line
        for line in lines
        if end - CONTEXT_S <= line.timestamp <= end and _is_relevant(line, upstreams, nodes)
    ]
    return RequestTrace(tuple(own), tuple(sorted(context, key=lambda line: line.timestamp)))


def _is_relevant(line: LogLine, upstreams: set[Any], nodes: set[str]) -> bool:
    if "request_id" in line.fields:
        return False
    mentioned = {line.fields.get(name) for name in ("upstream", "owner", "giver")}
    if mentioned & upstreams:
        return True
    return line.instance in nodes and line.event.startswith(_NODE_WIDE_EVENTS)


def format_line(line: LogLine) -> str:
    """Return a line as readable text.

    :param line: line to format.
    """
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.timestamp:.3f} {line.instance} {line.event} {fields}"

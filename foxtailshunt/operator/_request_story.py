"""Tells one request's story from the log lines of many nodes."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

#: Changes of state this long before a request's last line are told with it, in seconds: the list of
#: upstreams is at most about this old when a request is decided on.
CONTEXT_S = 3.0

_NOISE = ("timestamp", "task_uuid", "task_level", "message_type", "instance", "boot_id")
#: Changes of state that concern every request of their node.
_GENERAL_EVENTS = ("store.", "leader.", "term.", "configuration.", "node.", "members.")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured line."""

    #: When it was written, in seconds since the epoch.
    timestamp: float
    #: The node.
    instance: str
    #: What happened, in dotted form.
    event: str
    #: Everything else.
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """The lines about a request, and what changed around it."""

    #: Lines that name the request, in order of time.
    lines: tuple[LogLine, ...]
    #: Changes of state shortly before its end that concern its upstream or its node.
    context: tuple[LogLine, ...]


def read_log_lines(lines: Iterable[str]) -> list[LogLine]:
    """Return the structured lines among lines of logs; others are passed over.

    :param lines: lines that may have something before the JSON, such as a time or a node's name.
    """
    found = []
    for line in lines:
        begin = line.find('{"')
        if begin < 0:
            continue
        try:
            fields = json.loads(line[begin:])
            found.append(
                LogLine(
                    timestamp=float(fields["timestamp"]),
                    instance=str(fields["instance"]),
                    event=str(fields["message_type"]),
                    fields={name: value for name, value in fields.items() if name not in _NOISE},
                )
            )
        except (ValueError, KeyError, TypeError):
            # Cut or foreign lines are usual in collected logs.
            continue
    return found


def trace_request(lines: list[LogLine], request_id: str) -> RequestTrace:
    """Return what the lines say about a request.

    :param lines: lines of any nodes.
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
        if end - CONTEXT_S <= line.timestamp <= end and _concerns(line, upstreams, nodes)
    ]
    return RequestTrace(tuple(own), tuple(sorted(context, key=lambda line: line.timestamp)))


def _concerns(line: LogLine, upstreams: set[Any], nodes: set[str]) -> bool:
    if "request_id" in line.fields:
        return False
    named = {line.fields.get(name) for name in ("upstream", "owner", "giver")}
    if named & upstreams:
        return True
    return line.instance in nodes and line.event.startswith(_GENERAL_EVENTS)


def format_line(line: LogLine) -> str:
    """Return a line for people.

    :param line: the line.
    """
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.timestamp:.3f} {line.instance} {line.event} {fields}"

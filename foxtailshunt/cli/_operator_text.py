"""Results of the operators' command line as text for people and as JSON documents."""

import json
from dataclasses import asdict
from functools import singledispatch
from typing import Any

from foxtailshunt.operator import (
    ApplyResult,
    CheckResult,
    Explanation,
    FleetStatus,
    ProcessStatus,
    RequestStory,
    UpstreamStatus,
    format_line,
)

_GAP = "  "


def to_json(result: Any) -> str:
    """Return a result as a JSON document.

    :param result: a result's data class, or a document.
    """
    document = result if isinstance(result, dict) else asdict(result)
    return json.dumps(document, indent=1)


@singledispatch
def to_text(result: Any) -> str:
    """Return a result as text.

    :param result: a result's data class, or a document.
    """
    return json.dumps(result, indent=1)


@to_text.register
def _(result: CheckResult) -> str:
    lines = [f"valid: fleet {result.fleet}, {result.zones} zones"]
    for name, upstreams in result.upstreams.items():
        operations = result.operations[name]
        lines.append(f"service {name}: {upstreams} upstreams, {operations} operations")
    return "\n".join(lines)


@to_text.register
def _(result: ApplyResult) -> str:
    if result.changed:
        return f"accepted: version {result.version} stands in the store"
    return f"no change: version {result.version} in the store has the same content"


@to_text.register
def _(result: RequestStory) -> str:
    lines = [format_line(line) for line in result.lines]
    if result.context:
        lines.append("shortly before, at its node or upstream:")
        lines += [format_line(line) for line in result.context]
    return "\n".join(lines)


@to_text.register
def _(result: Explanation) -> str:
    lines = [
        f"service: {result.service}",
        f"key: {result.key}",
        f"slot: {result.slot}",
        f"home zone: {result.home_zone}",
        f"owner: {result.owner or 'none'}",
    ]
    if result.owner is not None and result.fence is not None:
        lines.append(f"table of zone: {result.zone}")
        lines.append(f"dispatchers: {', '.join(result.dispatchers) or 'none'}")
        lines.append(f"fence: {result.fence[0]}.{result.fence[1]}")
    return "\n".join([*lines, f"rule: {result.rule}"])


@to_text.register
def _(result: FleetStatus) -> str:
    lines = [f"configuration: version {result.cfg_version} is the newest known", "", "zones"]
    for zone, assigner in result.active_assigners.items():
        lines.append(f"{_GAP}{zone}: active assigner {assigner or 'none known'}")
    lines += ["", "processes", *_table([_process_cells(process) for process in result.processes])]
    lines += ["", "upstreams", *_table([_upstream_cells(item) for item in result.upstreams])]
    if result.silent_assigners:
        lines += ["", f"no answer from assigners at {', '.join(result.silent_assigners)}"]
    return "\n".join(lines)


def _process_cells(process: ProcessStatus) -> list[str]:
    state = "unreachable" if not process.reachable else f"version {process.cfg_version}"
    cells = [process.zone, process.instance, process.role, process.operator_address, state]
    return [*cells, "stopping" if process.stopping else ""]


def _upstream_cells(item: UpstreamStatus) -> list[str]:
    owned = f"{item.slots} slots, {item.pins} pins"
    dispatchers = "dispatchers " + (",".join(item.dispatchers) or "none")
    state = "draining" if item.draining else ""
    return [item.zone, item.service, item.upstream, owned, dispatchers, state]


def _table(rows: list[list[str]]) -> list[str]:
    if not rows:
        return [f"{_GAP}none"]
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    padded = (zip(row, widths, strict=True) for row in rows)
    return [(_GAP + _GAP.join(c.ljust(w) for c, w in row)).rstrip() for row in padded]

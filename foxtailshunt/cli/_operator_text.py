"""Formats the results of the operator command line as text or JSON."""

import json
from dataclasses import asdict
from functools import singledispatch
from typing import Any

from foxtailshunt.checks import DifferenceKind
from foxtailshunt.operator import (
    ApplyResult,
    CheckResult,
    Comparison,
    EvacuationStatus,
    Explanation,
    FleetStatus,
    NodeStatus,
    RequestTrace,
    UpstreamStatus,
    format_line,
)

_COLUMN_GAP = "  "


def to_json(result: Any) -> str:
    """Return a result as a JSON document.

    :param result: data class instance of a result, or a document.
    """
    document = result if isinstance(result, dict) else asdict(result)
    return json.dumps(document, indent=1)


@singledispatch
def to_text(result: Any) -> str:
    """Return a result as readable text.

    :param result: data class instance of a result, or a document.
    """
    return json.dumps(result, indent=1)


@to_text.register
def _(result: CheckResult) -> str:
    if result.fleet is None:
        lines = [f"valid: format of the interface {result.interface}"]
    else:
        lines = [f"valid: fleet {result.fleet}, {result.zones} zones"]
    for name, operations in result.operations.items():
        if name in result.upstreams:
            upstreams = result.upstreams[name]
            lines.append(f"service {name}: {upstreams} upstreams, {operations} operations")
        else:
            lines.append(f"service {name}: {operations} routes")
    lines += [
        f"{item.category}: {item.location}: {item.message} [{item.kind}]"
        for item in result.findings
    ]
    if result.comparison is not None:
        lines += _comparison_lines(result.comparison)
    return "\n".join(lines)


def _comparison_lines(comparison: Comparison) -> list[str]:
    if comparison.error is not None:
        return [f"the version in force cannot be read: {comparison.error}"]
    if comparison.version is None:
        return ["no version is in force"]
    source = f"version {comparison.version}, read from {comparison.source}"
    if not comparison.differences:
        return [f"no differences from {source}"]
    lines = [f"differences from {source}:"]
    for item in comparison.differences:
        values = {
            DifferenceKind.ADDED: f"{_value_text(item.new)}",
            DifferenceKind.REMOVED: f"{_value_text(item.old)}",
            DifferenceKind.CHANGED: f"{_value_text(item.old)} -> {_value_text(item.new)}",
        }
        lines.append(f"{_COLUMN_GAP}{item.kind} {item.location}: {values[item.kind]}")
    return lines


def _value_text(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)


@to_text.register
def _(result: ApplyResult) -> str:
    if result.changed:
        return f"accepted: version {result.version} is stored"
    return f"no change: version {result.version} in the store has the same content"


@to_text.register
def _(result: RequestTrace) -> str:
    lines = [format_line(line) for line in result.lines]
    if result.context:
        lines.append("recent state changes of its nodes and upstreams:")
        lines += [format_line(line) for line in result.context]
    return "\n".join(lines)


@to_text.register
def _(result: Explanation) -> str:
    lines = [
        f"service: {result.service}",
        f"key: {result.key}",
        f"number: {result.number}",
        f"owner: {result.owner or 'none'}",
    ]
    if result.owner is not None:
        lines.append(f"zone: {result.zone or 'unknown'}")
        lines.append(f"fence: {result.fence}")
    lines.append(f"table: {result.table}")
    return "\n".join([*lines, f"rule: {result.rule}"])


@to_text.register
def _(result: FleetStatus) -> str:
    lines = [
        f"configuration: version {result.cfg_version} is the newest known",
        f"leader: {result.leader or 'none known'}",
        f"keys with an owner: {result.owned_share:.1%}",
        "",
        "nodes",
        *_table([_node_cells(node) for node in result.nodes]),
        "",
        "upstreams",
        *_table([_upstream_cells(item) for item in result.upstreams]),
    ]
    if result.evacuations:
        rows = [_evacuation_cells(item) for item in result.evacuations]
        lines += ["", "evacuated zones", *_table(rows)]
    return "\n".join(lines)


def _node_cells(node: NodeStatus) -> list[str]:
    state = "unreachable" if not node.reachable else f"version {node.cfg_version}"
    load = "" if node.load is None else f"{node.load[0]} waiting, {node.load[1]} running"
    role = "leads" if node.leads else ""
    cells = [node.zone, node.instance, node.operator_address, state, load, role]
    return [*cells, "stopping" if node.stopping else ""]


def _evacuation_cells(item: EvacuationStatus) -> list[str]:
    nodes = ", ".join(item.unaware_nodes)
    return [item.zone, f"{item.keys_left} keys left", f"unknown to {nodes}" if nodes else ""]


def _upstream_cells(item: UpstreamStatus) -> list[str]:
    owned = f"{item.keys} keys"
    moving = f"{item.moving_keys} in handover" if item.moving_keys else ""
    state = "leaving" if item.leaving else ""
    return [item.zone, item.service, item.upstream, owned, moving, state]


def _table(rows: list[list[str]]) -> list[str]:
    if not rows:
        return [f"{_COLUMN_GAP}none"]
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    padded = (zip(row, widths, strict=True) for row in rows)
    return [
        (_COLUMN_GAP + _COLUMN_GAP.join(text.ljust(width) for text, width in row)).rstrip()
        for row in padded
    ]

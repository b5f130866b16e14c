"""Table documents: the JSON form of :class:`Table` in the platform's store."""

import json
from typing import Any

from foxtailshunt.errors import DocumentError
from foxtailshunt.ownership._records import Arrival, Fence, ProcessRef, Table, Transit, UpstreamRow

#: Largest value that the platform's store holds, in bytes.
MAX_TABLE_BYTES = 1_000_000


def table_to_json(table: Table) -> str:
    """Return the document of a table.

    :param table: the table.
    :returns: compact JSON with sorted lists, so that equal tables have equal documents.
    """
    document = {
        "zone": table.zone,
        "cell": table.cell,
        "fence": _fence_to_list(table.fence),
        "writer_token": table.writer_token,
        "cfg_version": table.cfg_version,
        "dispatchers": [_process_to_dict(ref) for ref in table.dispatchers],
        "witness_sets": [list(members) for members in table.witness_sets],
        "rows": [_row_to_dict(row) for _, row in sorted(table.rows.items())],
        "transits": [_transit_to_dict(transit) for transit in table.transits],
        "arrivals": [_arrival_to_dict(arrival) for arrival in table.arrivals],
    }
    return json.dumps(document, separators=(",", ":"))


def table_from_json(text: str) -> Table:
    """Read a table's document.

    :param text: the document.
    :returns: the table.
    :raises DocumentError: the document is malformed or over :data:`MAX_TABLE_BYTES`.
    """
    if len(text) > MAX_TABLE_BYTES:
        raise DocumentError(f"table of {len(text)} bytes is over {MAX_TABLE_BYTES}")
    try:
        return _table_from_dict(json.loads(text))
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise DocumentError(f"malformed table: {type(exc).__name__}: {exc}")


def slots_to_ranges(slots: frozenset[int]) -> list[list[int]]:
    """Return slots as sorted half-open ranges.

    :param slots: the slots.
    :returns: pairs of first slot and the slot after the last.
    """
    ranges: list[list[int]] = []
    for slot in sorted(slots):
        if ranges and ranges[-1][1] == slot:
            ranges[-1][1] = slot + 1
        else:
            ranges.append([slot, slot + 1])
    return ranges


def slots_from_ranges(ranges: list[list[int]]) -> frozenset[int]:
    """Return the slots of half-open ranges.

    :param ranges: pairs of first slot and the slot after the last.
    """
    return frozenset(slot for first, end in ranges for slot in range(first, end))


def _fence_to_list(fence: Fence) -> list[int]:
    return [fence.term, fence.version]


def _fence_from_list(value: list[int]) -> Fence:
    term, version = value
    return Fence(int(term), int(version))


def _process_to_dict(ref: ProcessRef) -> dict[str, Any]:
    return {"instance": ref.instance_id, "address": list(ref.address), "boot_id": ref.boot_id}


def _process_from_dict(value: dict[str, Any]) -> ProcessRef:
    return ProcessRef(value["instance"], _address_from_list(value["address"]), value["boot_id"])


def _address_from_list(value: list[Any]) -> tuple[str, int]:
    host, port = value
    return str(host), int(port)


def _row_to_dict(row: UpstreamRow) -> dict[str, Any]:
    return {
        "upstream": row.upstream_id,
        "service": row.service,
        "address": list(row.address),
        "fence": _fence_to_list(row.fence),
        "slots": slots_to_ranges(row.slots),
        "pins": sorted(row.pins),
        "excluded": sorted(row.excluded),
        "dispatchers": list(row.dispatchers),
        "draining": row.draining,
    }


def _row_from_dict(value: dict[str, Any]) -> UpstreamRow:
    return UpstreamRow(
        upstream_id=value["upstream"],
        service=value["service"],
        address=_address_from_list(value["address"]),
        fence=_fence_from_list(value["fence"]),
        slots=slots_from_ranges(value["slots"]),
        pins=frozenset(value["pins"]),
        excluded=frozenset(value["excluded"]),
        dispatchers=tuple(value["dispatchers"]),
        draining=bool(value["draining"]),
    )


def _transit_to_dict(transit: Transit) -> dict[str, Any]:
    return {
        "service": transit.service,
        "upstream": transit.upstream_id,
        "fence": _fence_to_list(transit.fence),
        "slots": slots_to_ranges(transit.slots),
        "pins": sorted(transit.pins),
    }


def _transit_from_dict(value: dict[str, Any]) -> Transit:
    return Transit(
        service=value["service"],
        upstream_id=value["upstream"],
        fence=_fence_from_list(value["fence"]),
        slots=slots_from_ranges(value["slots"]),
        pins=frozenset(value["pins"]),
    )


def _arrival_to_dict(arrival: Arrival) -> dict[str, Any]:
    return {
        "service": arrival.service,
        "slots": slots_to_ranges(arrival.slots),
        "from": arrival.from_upstream_id,
        "transit_fence": _fence_to_list(arrival.transit_fence),
        "to": arrival.to_upstream_id,
        "fence": _fence_to_list(arrival.fence),
    }


def _arrival_from_dict(value: dict[str, Any]) -> Arrival:
    return Arrival(
        service=value["service"],
        slots=slots_from_ranges(value["slots"]),
        from_upstream_id=value["from"],
        transit_fence=_fence_from_list(value["transit_fence"]),
        to_upstream_id=value["to"],
        fence=_fence_from_list(value["fence"]),
    )


def _table_from_dict(value: dict[str, Any]) -> Table:
    rows = [_row_from_dict(row) for row in value["rows"]]
    return Table(
        zone=value["zone"],
        cell=value["cell"],
        fence=_fence_from_list(value["fence"]),
        writer_token=value["writer_token"],
        cfg_version=int(value["cfg_version"]),
        dispatchers=tuple(_process_from_dict(ref) for ref in value["dispatchers"]),
        witness_sets=tuple(tuple(members) for members in value["witness_sets"]),
        rows={row.upstream_id: row for row in rows},
        transits=tuple(_transit_from_dict(transit) for transit in value["transits"]),
        arrivals=tuple(_arrival_from_dict(arrival) for arrival in value.get("arrivals", ())),
    )

"""Documents for tests of ownership."""

import json
from collections.abc import Iterable

from foxtailshunt.ownership import Fence, ProcessRef, Table, UpstreamRow, table_to_json

ZONE = "wanaka"
SERVICE = "hire-desk"
SLOT_COUNT = 16


def config_document(
    upstreams: Iterable[str],
    checks_fences: bool = True,
    deadline_ms: int = 500,
    addresses: dict[str, str] | None = None,
) -> str:
    """Return a configuration of one service with one operation."""
    operation = {
        "name": "issue",
        "method": "POST",
        "path": "/beacons/{key}",
        "rank": "careful",
        "idempotent": False,
        "deadline_ms": deadline_ms,
    }
    models = [
        {
            "id": upstream_id,
            "zone": ZONE,
            "address": (addresses or {}).get(upstream_id, f"127.0.0.1:{9000 + number}"),
            "checks_fences": checks_fences,
        }
        for number, upstream_id in enumerate(upstreams)
    ]
    service = {
        "name": SERVICE,
        "slots": SLOT_COUNT,
        "upstreams": models,
        "operations": [operation],
    }
    return json.dumps({"fleet": "test", "zones": [ZONE], "services": [service]})


def row_of(
    upstream_id: str, fence: Fence, slots: Iterable[int], dispatchers: Iterable[str]
) -> UpstreamRow:
    """Return a row without pins."""
    return UpstreamRow(
        upstream_id=upstream_id,
        service=SERVICE,
        address=("127.0.0.1", 9000),
        fence=fence,
        slots=frozenset(slots),
        pins=frozenset(),
        excluded=frozenset(),
        dispatchers=tuple(dispatchers),
        draining=False,
    )


def table_document(
    fence: Fence,
    rows: Iterable[UpstreamRow],
    processes: Iterable[ProcessRef],
    witness_sets: Iterable[Iterable[str]],
) -> str:
    """Return a table's document."""
    table = Table(
        zone=ZONE,
        cell="0",
        fence=fence,
        writer_token="test",
        cfg_version=1,
        dispatchers=tuple(processes),
        witness_sets=tuple(tuple(members) for members in witness_sets),
        rows={row.upstream_id: row for row in rows},
        transits=(),
    )
    return table_to_json(table)

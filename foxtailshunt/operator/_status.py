"""The state of the whole fleet for operators."""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from foxtailshunt.config._address import parse_address
from foxtailshunt.operator._dump_client import DumpClient, DumpError
from foxtailshunt.operator._fleet_reader import FleetView
from foxtailshunt.ownership import Table, UpstreamRow
from foxtailshunt.protocol import Member

_THREADS = 16


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """One process."""

    #: Its availability zone.
    zone: str
    #: Its instance.
    instance: str
    #: Its program.
    role: str
    #: Its operator address.
    operator_address: str
    #: True if its operator port answered.
    reachable: bool
    #: The configuration version in force; None if it did not answer.
    cfg_version: int | None
    #: True once it is leaving.
    stopping: bool


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """One upstream by its zone's table."""

    #: Its service.
    service: str
    #: Its id.
    upstream: str
    #: The zone whose table lists it.
    zone: str
    #: Number of slots that it owns.
    slots: int
    #: Number of hot keys that it owns apart from slots.
    pins: int
    #: Instance ids of its dispatchers, in order.
    dispatchers: tuple[str, ...]
    #: True once it is leaving.
    draining: bool


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The whole fleet."""

    #: The newest configuration version that any assigner knows.
    cfg_version: int
    #: Instance id of the active assigner of each zone; None where none is known.
    active_assigners: dict[str, str | None]
    #: Every process that the assigners know.
    processes: tuple[ProcessStatus, ...]
    #: Every upstream of the tables.
    upstreams: tuple[UpstreamStatus, ...]
    #: Assigner addresses that did not answer.
    silent_assigners: tuple[str, ...]


def collect_status(fleet: FleetView, dumps: DumpClient) -> FleetStatus:
    """Ask every process for its state.

    :param fleet: what the assigners know.
    :param dumps: asks processes.
    """
    members = [member for _, member in sorted(fleet.members.items())]
    with ThreadPoolExecutor(_THREADS) as executor:
        processes = tuple(executor.map(lambda member: _process_status(member, dumps), members))
    cfg = fleet.view.cfg
    zones = set(cfg.zones if cfg else ()) | {member.zone for member in members}
    rows = [(table, row) for table in fleet.view.tables() for _, row in sorted(table.rows.items())]
    return FleetStatus(
        cfg_version=fleet.view.cfg_version,
        active_assigners={zone: fleet.active_assigners.get(zone) for zone in sorted(zones)},
        processes=tuple(sorted(processes, key=lambda p: (p.zone, p.instance, p.role))),
        upstreams=tuple(_upstream_status(table, row) for table, row in rows),
        silent_assigners=tuple(f"{host}:{port}" for host, port in fleet.silent),
    )


def _process_status(member: Member, dumps: DumpClient) -> ProcessStatus:
    cfg_version = _cfg_version_in_force(member, dumps)
    return ProcessStatus(
        zone=member.zone,
        instance=member.instance_id,
        role=member.role,
        operator_address=member.operator_address,
        reachable=cfg_version is not None,
        cfg_version=cfg_version,
        stopping=member.stopping,
    )


def _cfg_version_in_force(member: Member, dumps: DumpClient) -> int | None:
    try:
        version = dumps.read(parse_address(member.operator_address)).get("cfg_version")
    except (DumpError, ValueError):
        return None
    return version if isinstance(version, int) else None


def _upstream_status(table: Table, row: UpstreamRow) -> UpstreamStatus:
    return UpstreamStatus(
        service=row.service,
        upstream=row.upstream_id,
        zone=table.zone,
        slots=len(row.slots),
        pins=len(row.pins),
        dispatchers=row.dispatchers,
        draining=row.draining,
    )

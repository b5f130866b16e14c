"""Learns members, tables and configuration from the fleet's assigners."""

import uuid
from collections import deque
from dataclasses import dataclass, field

from foxtailshunt.errors import FoxtailshuntError, PeerUnreachableError, ResultCode
from foxtailshunt.membership import ASSIGNER_ROLE, View
from foxtailshunt.ownership import Address
from foxtailshunt.protocol import ClientPool, Member, SyncReply, SyncRequest
from foxtailshunt.telemetry import Metrics

#: Role of the command line in heartbeats; it owns and dispatches nothing.
OPERATOR_ROLE = "operator"


@dataclass(slots=True)
class FleetView:
    """What the assigners that answered know."""

    #: Newest configuration and tables.
    view: View
    #: Members by instance and role.
    members: dict[tuple[str, str], Member] = field(default_factory=dict)
    #: Instance ids of the active assigners by zone.
    active_assigners: dict[str, str] = field(default_factory=dict)
    #: Addresses of assigners that did not answer.
    silent: list[Address] = field(default_factory=list)


class FleetReader:
    """Asks one assigner after the other, those that others name included.

    :param pool: connections to assigners.
    :param timeout_s: longest wait for each, in seconds.
    """

    def __init__(self, pool: ClientPool, timeout_s: float) -> None:
        self._pool = pool
        self._timeout_s = timeout_s

    def read(self, seeds: tuple[Address, ...]) -> FleetView:
        """Return what all reachable assigners know.

        :param seeds: the assigners to ask first.
        :raises FoxtailshuntError: with ``DISPATCHER_UNREACHABLE`` if none answered.
        """
        fleet = FleetView(View(Metrics()))
        waiting = deque(seeds)
        asked: set[Address] = set()
        while waiting:
            address = waiting.popleft()
            if address in asked:
                continue
            asked.add(address)
            waiting.extend(self._ask(address, fleet))
        if len(fleet.silent) == len(asked):
            raise FoxtailshuntError(
                ResultCode.DISPATCHER_UNREACHABLE,
                "no assigner answered at " + ", ".join(f"{h}:{p}" for h, p in fleet.silent),
            )
        return fleet

    def _ask(self, address: Address, fleet: FleetView) -> list[Address]:
        try:
            reply = self._pool.call(address, "sync", _make_request(), self._timeout_s)
        except PeerUnreachableError:
            fleet.silent.append(address)
            return []
        _take(reply, fleet)
        return [(member.host, member.port) for member in _assigners(reply)]


def _take(reply: SyncReply, fleet: FleetView) -> None:
    if reply.cfg_document is not None and reply.cfg_version > fleet.view.cfg_version:
        fleet.view.accept_config(reply.cfg_version, reply.cfg_document)
    for document in reply.table_documents:
        fleet.view.accept_table(document)
    for member in reply.members or ():
        if member.role != OPERATOR_ROLE:
            fleet.members.setdefault((member.instance_id, member.role), member)
    if reply.active and reply.zone is not None:
        own = [member for member in _assigners(reply) if member.boot_id == reply.boot_id]
        fleet.active_assigners[reply.zone] = own[0].instance_id if own else "unknown"


def _assigners(reply: SyncReply) -> list[Member]:
    return [member for member in reply.members or () if member.role == ASSIGNER_ROLE]


def _make_request() -> SyncRequest:
    sender = Member(
        instance_id=f"operator-{uuid.uuid4().hex[:8]}",
        role=OPERATOR_ROLE,
        zone="",
        host="",
        port=0,
        boot_id=uuid.uuid4().hex,
        stopping=True,
        cfg_version=0,
        operator_address="",
    )
    return SyncRequest(
        sender=sender, cfg_version=0, tables=[], members_version=-1, wait_ms=0, reports=[]
    )

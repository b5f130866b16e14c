"""Which dispatchers of a zone count as live."""

from foxtailshunt.membership import MemberRegistry
from foxtailshunt.ownership import ProcessRef, Table
from foxtailshunt.ownership._periods import MEMBER_TIMEOUT_S
from foxtailshunt.protocol import Member
from foxtailshunt.timing import Clock

#: Role of a dispatcher in :class:`~foxtailshunt.protocol.Member`.
DISPATCHER_ROLE = "dispatcher"

_WARM_UP_S = 2 * MEMBER_TIMEOUT_S


class LiveDispatchers:
    """Reads the registry; dispatchers of the table are not given up before it had time to fill.

    :param registry: the members heard.
    :param zone: the availability zone.
    :param clock: the clock; the registry began to fill when this object was made.
    """

    def __init__(self, registry: MemberRegistry, zone: str, clock: Clock) -> None:
        self._registry = registry
        self._zone = zone
        self._clock = clock
        self._began_at = clock.now()

    def heard(self) -> tuple[ProcessRef, ...]:
        """Return every dispatcher of the zone that is heard, stopping ones included."""
        return tuple(_ref_of(member) for member in self._members())

    def of(self, table: Table) -> tuple[ProcessRef, ...]:
        """Return the dispatchers that may be named in the next table.

        Stopping ones are left out. If none is heard, those of the table stay.

        :param table: the table in force.
        """
        heard = self._members()
        live = [_ref_of(member) for member in heard if not member.stopping]
        if heard and self._clock.now() - self._began_at >= _WARM_UP_S:
            return tuple(live)
        known = {member.instance_id for member in heard}
        kept = [ref for ref in table.dispatchers if ref.instance_id not in known]
        return (*kept, *live)

    def _members(self) -> list[Member]:
        return [
            member
            for member in self._registry.members()
            if member.role == DISPATCHER_ROLE and member.zone == self._zone
        ]


def _ref_of(member: Member) -> ProcessRef:
    return ProcessRef(member.instance_id, (member.host, member.port), member.boot_id)

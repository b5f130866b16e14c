"""Says where a key goes and why."""

from dataclasses import dataclass

from foxtailshunt.config import Configuration
from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.membership import View
from foxtailshunt.ownership import Table, UpstreamRow, slot_of_key


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a key goes."""

    #: The service.
    service: str
    #: The key.
    key: str
    #: The key's slot.
    slot: int
    #: The availability zone that the slot is homed in.
    home_zone: str
    #: The zone whose table names the owner; None if no table does.
    zone: str | None
    #: The owner's id; None if the key has no owner now.
    owner: str | None
    #: The owner's dispatchers in order.
    dispatchers: tuple[str, ...]
    #: Term and version of the owner's fence.
    fence: tuple[int, int] | None
    #: Why this upstream, in one sentence.
    rule: str


def explain_key(view: View, service_name: str, key: str) -> Explanation:
    """Return where a key goes by the newest configuration and tables.

    :param view: configuration and tables.
    :param service_name: the service.
    :param key: the key.
    :raises FoxtailshuntError: with ``BAD_REQUEST`` for an unknown service, with ``NO_CONFIG`` if
        there is no configuration.
    """
    cfg = view.cfg
    if cfg is None:
        raise FoxtailshuntError(ResultCode.NO_CONFIG, "the fleet has no configuration yet")
    slot, home_zone = _locate(cfg, service_name, key)
    for table in view.tables():
        for row in table.rows.values():
            if row.service == service_name and row.owns(slot, key):
                return _owned(table, row, service_name, key, slot, home_zone)
    rule = _rule_without_owner(view, service_name, key, slot)
    return Explanation(service_name, key, slot, home_zone, None, None, (), None, rule)


def _locate(cfg: Configuration, service_name: str, key: str) -> tuple[int, str]:
    service = cfg.services.get(service_name)
    if service is None:
        known = ", ".join(sorted(cfg.services))
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, f"no service '{service_name}'; there are: {known}"
        )
    slot = slot_of_key(key, service.slot_count)
    return slot, cfg.homes(service)[slot]


def _owned(
    table: Table, row: UpstreamRow, service_name: str, key: str, slot: int, home_zone: str
) -> Explanation:
    rule = "the key is pinned to this upstream" if key in row.pins else "the upstream owns the slot"
    if row.draining:
        rule += "; it is leaving and the slot will move"
    return Explanation(
        service=service_name,
        key=key,
        slot=slot,
        home_zone=home_zone,
        zone=table.zone,
        owner=row.upstream_id,
        dispatchers=row.dispatchers,
        fence=(row.fence.term, row.fence.version),
        rule=rule,
    )


def _rule_without_owner(view: View, service_name: str, key: str, slot: int) -> str:
    for table in view.tables():
        for transit in table.transits:
            if transit.service == service_name and (slot in transit.slots or key in transit.pins):
                return (
                    f"no owner now: {transit.upstream_id} in {table.zone} "
                    "has not surely released it"
                )
    return "no owner now: no table lists the slot"

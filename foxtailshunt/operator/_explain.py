"""Says where a key goes and why."""

from dataclasses import dataclass

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.operator._node_dump import DumpedRange, DumpedUpstream, NodeDump
from foxtailshunt.routing import KEY_COUNT, key_number


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a key goes, as one node knows."""

    #: The service.
    service: str
    #: The key as it was asked for.
    key: str
    #: Its number.
    number: int
    #: The owner's id; None if the key has no owner now.
    owner: str | None
    #: Availability zone of the owner; None if the owner is not registered.
    zone: str | None
    #: Fencing token of the owner's grant.
    fence: int | None
    #: Term and version of the ownership table.
    table: str
    #: Age of the node's list of upstreams, in seconds; None if it has read none.
    upstreams_age_s: float | None
    #: Why this upstream, in one sentence.
    rule: str


def explain_key(node: NodeDump, service: str, key: str, is_number: bool) -> Explanation:
    """Return where a key goes by what a node knows.

    :param node: the node's dump.
    :param service: the service.
    :param key: the key as it stands in requests, or its number.
    :param is_number: whether the key is given as its number.
    :raises FoxtailshuntError: with ``BAD_REQUEST`` for an unknown service or a bad number, with
        ``NO_CONFIG`` if the node has no configuration.
    """
    _check_service(node, service)
    number = _number(key) if is_number else key_number(key)
    found = _find(node, service, number)
    upstream = _upstream(node, found.owner) if found is not None else None
    return Explanation(
        service=service,
        key=key,
        number=number,
        owner=found.owner if found is not None else None,
        zone=upstream.zone if upstream is not None else None,
        fence=found.fence if found is not None else None,
        table=f"{node.versions.term}.{node.versions.ownership}",
        upstreams_age_s=node.upstreams_age_s,
        rule=_rule(found, upstream),
    )


def _check_service(node: NodeDump, service: str) -> None:
    if not node.services:
        raise FoxtailshuntError(
            ResultCode.NO_CONFIG, f"{node.instance} has no configuration with services yet"
        )
    keyed = {item.name: item.keyed for item in node.services}
    if service not in keyed:
        known = ", ".join(sorted(keyed))
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, f"no service '{service}'; there are: {known}"
        )
    if not keyed[service]:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, f"service '{service}' is not divided by key"
        )


def _number(text: str) -> int:
    number = int(text) if text.isascii() and text.isdigit() else -1
    if not 0 <= number < KEY_COUNT:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, f"'{text}' is no number of a key from 0 to {KEY_COUNT - 1}"
        )
    return number


def _find(node: NodeDump, service: str, number: int) -> DumpedRange | None:
    for item in node.ranges:
        if item.service == service and item.first <= number <= item.last:
            return item
    return None


def _upstream(node: NodeDump, upstream_id: str) -> DumpedUpstream | None:
    return next((item for item in node.upstreams if item.upstream_id == upstream_id), None)


def _rule(found: DumpedRange | None, upstream: DumpedUpstream | None) -> str:
    if found is None:
        return "no owner now: no range of the ownership table holds the key"
    if found.moving:
        return f"the key moves to this upstream; {found.giver} has not surely given it up"
    if upstream is None:
        return "the upstream owns the key but is not registered; the key will move"
    if upstream.leaving:
        return "the upstream owns the key and is leaving; the key will move"
    return f"the upstream owns keys {found.first} to {found.last}"

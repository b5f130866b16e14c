"""Explains which upstream requests for a key are routed to, and why."""

from dataclasses import dataclass

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.operator._node_dump import DumpedRange, DumpedUpstream, NodeDump
from foxtailshunt.routing import KEY_COUNT, key_number


@dataclass(frozen=True, slots=True)
class Explanation:
    """Routing of a key, from the state of one node."""

    #: Name of the service.
    service: str
    #: Key as given on the command line.
    key: str
    #: Key number, from 0 to ``KEY_COUNT`` - 1.
    number: int
    #: Id of the owner; None if the key has no owner.
    owner: str | None
    #: Availability zone of the owner; None if the owner is not registered.
    zone: str | None
    #: Fencing token of the owner's grant; None if the key has no owner.
    fence: int | None
    #: Term and version of the ownership table, as ``term.version``.
    table: str
    #: Age of the node's upstream list, in seconds; None if the node has not read one yet.
    upstreams_age_s: float | None
    #: Reason for the routing, in one sentence.
    rule: str


def explain_key(node: NodeDump, service: str, key: str, is_number: bool) -> Explanation:
    """Return the routing of a key, from the state of one node.

    :param node: dump of the node.
    :param service: name of the service.
    :param key: key as it appears in requests, or its number.
    :param is_number: whether ``key`` is a key number.
    :raises FoxtailshuntError: with ``BAD_REQUEST`` for an unknown service or an invalid number,
        with ``NO_CONFIG`` if the node has no configuration.
    """
    _check_service(node, service)
    number = _parse_key_number(key) if is_number else key_number(key)
    key_range = _find_range(node, service, number)
    upstream = _find_upstream(node, key_range.owner) if key_range is not None else None
    return Explanation(
        service=service,
        key=key,
        number=number,
        owner=key_range.owner if key_range is not None else None,
        zone=upstream.zone if upstream is not None else None,
        fence=key_range.fence if key_range is not None else None,
        table=f"{node.versions.term}.{node.versions.ownership}",
        upstreams_age_s=node.upstreams_age_s,
        rule=_describe_rule(key_range, upstream),
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
            ResultCode.BAD_REQUEST, f"no service '{service}'; known services: {known}"
        )
    if not keyed[service]:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, f"service '{service}' is not sharded by key"
        )


def _parse_key_number(text: str) -> int:
    number = int(text) if text.isascii() and text.isdigit() else -1
    if not 0 <= number < KEY_COUNT:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, f"'{text}' is not a key number from 0 to {KEY_COUNT - 1}"
        )
    return number


def _find_range(node: NodeDump, service: str, number: int) -> DumpedRange | None:
    for item in node.ranges:
        if item.service == service and item.first <= number <= item.last:
            return item
    return None


def _find_upstream(node: NodeDump, upstream_id: str) -> DumpedUpstream | None:
    return next((item for item in node.upstreams if item.upstream_id == upstream_id), None)


def _describe_rule(key_range: DumpedRange | None, upstream: DumpedUpstream | None) -> str:
    if key_range is None:
        return "no owner now: no range of the ownership table holds the key"
    if key_range.moving:
        return f"the key moves to this upstream; {key_range.giver} has not surely given it up"
    if upstream is None:
        return "the upstream owns the key but is not registered; the key will move"
    if upstream.leaving:
        return "the upstream owns the key and is leaving; the key will move"
    return f"the upstream owns keys {key_range.first} to {key_range.last}"

"""What is known of the fleet as messages between nodes."""

from collections.abc import Iterable

from foxtailshunt.fleet import KeyRange, Member, Upstream, Versions
from foxtailshunt.protocol import (
    Endpoint,
    KnownVersions,
    NodeMember,
    OwnedRange,
    UpstreamRecord,
)

_MS_PER_S = 1000


def to_versions_message(versions: Versions) -> KnownVersions:
    """Return the message for versions.

    :param versions: the versions.
    """
    return KnownVersions(
        configuration=versions.configuration,
        term=versions.term,
        upstreams=versions.upstreams,
        ownership=versions.ownership,
        members=versions.members,
    )


def to_member_message(member: Member) -> NodeMember:
    """Return the message for a member.

    :param member: the member.
    """
    operator = member.operator_address
    return NodeMember(
        instance_id=member.instance_id,
        boot_id=member.boot_id,
        zone=member.zone,
        endpoint=Endpoint(*member.address),
        leaving=member.leaving,
        operator_endpoint=None if operator is None else Endpoint(*operator),
    )


def from_member_message(wire: NodeMember) -> Member:
    """Return the member of a message.

    :param wire: the message.
    """
    operator = wire.operator_endpoint
    return Member(
        instance_id=wire.instance_id,
        boot_id=wire.boot_id,
        zone=wire.zone,
        address=(wire.endpoint.host, wire.endpoint.port),
        leaving=wire.leaving,
        operator_address=None if operator is None else (operator.host, operator.port),
    )


def to_members_message(members: tuple[Member, ...]) -> list[NodeMember]:
    """Return the message for members.

    :param members: the members.
    """
    return [to_member_message(member) for member in members]


def to_upstreams_message(upstreams: dict[str, Upstream]) -> list[UpstreamRecord]:
    """Return the message for a list of upstreams.

    :param upstreams: the upstreams by id.
    """
    return [
        UpstreamRecord(
            upstream_id=item.upstream_id,
            service_name=item.service,
            endpoint=Endpoint(host=item.address[0], port=item.address[1]),
            zone=item.zone,
            slots=item.slots,
            leaving=item.leaving,
            warmup_ms=int(item.warmup_s * _MS_PER_S),
            started_ms=item.started_ms,
        )
        for item in upstreams.values()
    ]


def from_upstreams_message(wire: list[UpstreamRecord]) -> dict[str, Upstream]:
    """Return the upstreams of a message, by id.

    :param wire: the message.
    """
    return {
        item.upstream_id: Upstream(
            upstream_id=item.upstream_id,
            service=item.service_name,
            address=(item.endpoint.host, item.endpoint.port),
            zone=item.zone,
            slots=item.slots,
            leaving=item.leaving,
            warmup_s=item.warmup_ms / _MS_PER_S,
            started_ms=item.started_ms,
        )
        for item in wire
    }


def to_ownership_message(ranges: Iterable[KeyRange]) -> list[OwnedRange]:
    """Return the message for ranges of keys.

    :param ranges: the ranges.
    """
    return [
        OwnedRange(
            service_name=item.service,
            first=item.first,
            last=item.last,
            owner=item.owner,
            fence=item.fence,
            giver=item.giver,
            moving=item.moving,
        )
        for item in ranges
    ]


def from_ownership_message(wire: list[OwnedRange]) -> list[KeyRange]:
    """Return the ranges of a message.

    :param wire: the message.
    """
    return [
        KeyRange(
            item.service_name,
            item.first,
            item.last,
            item.owner,
            item.fence,
            item.giver,
            item.moving,
        )
        for item in wire
    ]

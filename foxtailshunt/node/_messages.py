"""Conversion between fleet types and the messages of the peer protocol."""

import math
from collections.abc import Callable, Iterable

from foxtailshunt import protocol
from foxtailshunt.fleet import KeyRange, Member, Upstream, Versions
from foxtailshunt.protocol import (
    Endpoint,
    KnownVersions,
    NodeMember,
    OwnedRange,
    UpstreamPace,
    UpstreamRecord,
)
from foxtailshunt.upstreams import LatencyReport, RouteLatency

_MS_PER_S = 1000
_LOG_MS_PER_S = math.log(_MS_PER_S)


def to_versions_message(versions: Versions) -> KnownVersions:
    """Convert versions to a message.

    :param versions: the versions.
    """
    return KnownVersions(
        configuration=versions.configuration,
        term=versions.term,
        upstreams=versions.upstreams,
        ownership=versions.ownership,
        members=versions.members,
        evacuations=versions.evacuations,
        configuration_era=versions.configuration_era,
    )


def to_member_message(member: Member) -> NodeMember:
    """Convert a member to a message.

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


def from_member_message(message: NodeMember) -> Member:
    """Convert a message to a member.

    :param message: the message.
    """
    operator = message.operator_endpoint
    return Member(
        instance_id=message.instance_id,
        boot_id=message.boot_id,
        zone=message.zone,
        address=(message.endpoint.host, message.endpoint.port),
        leaving=message.leaving,
        operator_address=None if operator is None else (operator.host, operator.port),
    )


def to_members_message(members: tuple[Member, ...]) -> list[NodeMember]:
    """Convert members to messages.

    :param members: the members.
    """
    return [to_member_message(member) for member in members]


def to_upstreams_message(
    upstreams: Iterable[Upstream], warmup_remaining_s: Callable[[Upstream], float]
) -> list[UpstreamRecord]:
    """Convert upstreams to messages.

    :param upstreams: the upstreams.
    :param warmup_remaining_s: returns how long an upstream stays cold, in seconds.
    """
    return [
        UpstreamRecord(
            upstream_id=item.upstream_id,
            service_name=item.service,
            endpoint=Endpoint(host=item.address[0], port=item.address[1]),
            zone=item.zone,
            slots=item.slots,
            leaving=item.leaving,
            warmup_ms=math.ceil(warmup_remaining_s(item) * _MS_PER_S),
            started_ms=item.started_ms,
            avoided_zones=list(item.avoided_zones) or None,
            capacity_ratio=None if item.capacity_ratio == 1.0 else item.capacity_ratio,
        )
        for item in upstreams
    ]


def from_upstreams_message(messages: list[UpstreamRecord]) -> dict[str, Upstream]:
    """Convert messages to upstreams by id.

    :param messages: the messages.
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
            avoided_zones=tuple(item.avoided_zones or ()),
            capacity_ratio=item.capacity_ratio or 1.0,
        )
        for item in messages
    }


def to_pace_message(report: LatencyReport) -> UpstreamPace:
    """Convert a report of an upstream's requests to a message.

    :param report: the report.
    """
    return UpstreamPace(
        upstream_id=report.upstream_id,
        taken_ms=report.elapsed_s * _MS_PER_S,
        expected_ms=report.expected_latency_s * _MS_PER_S,
        answered=report.answered,
        failed=report.failed,
        refused=report.refused,
        unanswered=report.unanswered,
        latencies=[
            protocol.RouteLatency(
                route=item.route, count=item.count, mean_log_ms=item.mean_log_s + _LOG_MS_PER_S
            )
            for item in report.latencies
        ],
    )


def from_pace_message(message: UpstreamPace) -> LatencyReport:
    """Convert a message to a report of an upstream's requests.

    :param message: the message; nodes of earlier builds send no latencies by route.
    """
    return LatencyReport(
        upstream_id=message.upstream_id,
        elapsed_s=message.taken_ms / _MS_PER_S,
        expected_latency_s=message.expected_ms / _MS_PER_S,
        answered=message.answered,
        failed=message.failed,
        refused=message.refused or 0,
        unanswered=message.unanswered or 0,
        latencies=tuple(
            RouteLatency(item.route, item.count, item.mean_log_ms - _LOG_MS_PER_S)
            for item in message.latencies or ()
        ),
    )


def to_ownership_message(ranges: Iterable[KeyRange]) -> list[OwnedRange]:
    """Convert key ranges to messages.

    :param ranges: the key ranges.
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


def from_ownership_message(messages: list[OwnedRange]) -> list[KeyRange]:
    """Convert messages to key ranges.

    :param messages: the messages.
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
        for item in messages
    ]

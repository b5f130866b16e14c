"""Replies to followers: what changed in the view since the versions that they know."""

from foxtailshunt.fleet import FleetView, OwnershipTable, UpstreamChanges, Versions
from foxtailshunt.node._messages import (
    from_member_message,
    from_ownership_message,
    from_upstreams_message,
    to_members_message,
    to_ownership_message,
    to_upstreams_message,
    to_versions_message,
)
from foxtailshunt.protocol import FollowReply

_MS_PER_S = 1000


def build_reply(
    view: FleetView, known: Versions, leads: bool, accepts_upstream_changes: bool
) -> FollowReply:
    """Return what changed in a view.

    :param view: the view of the replying node.
    :param known: the versions that the follower knows.
    :param leads: whether the replying node is the leader.
    :param accepts_upstream_changes: whether the follower applies changes of the list of upstreams.
    """
    versions = view.versions
    reply = FollowReply(
        versions=to_versions_message(versions),
        leads=leads,
        upstreams_age_ms=int((view.upstreams_age_s() or 0.0) * _MS_PER_S),
    )
    if versions.configuration_order > known.configuration_order:
        reply.configuration = view.document
    if versions.evacuations > known.evacuations:
        reply.evacuated_zones = sorted(view.evacuated_zones)
    same_term = versions.term == known.term
    if versions.upstreams and not (same_term and versions.upstreams <= known.upstreams):
        _add_upstreams(view, reply, known, same_term and accepts_upstream_changes)
    if versions.ownership and not (same_term and versions.ownership <= known.ownership):
        _add_ownership(view, reply, known, same_term)
    if versions.members and not (same_term and versions.members <= known.members):
        reply.members = to_members_message(view.members)
    return reply


def _add_upstreams(
    view: FleetView, reply: FollowReply, known: Versions, may_send_changes: bool
) -> None:
    changes = view.upstream_changes_since(known.upstreams) if may_send_changes else None
    if changes is not None and view.versions.upstreams == reply.versions.upstreams:
        reply.upstream_changes = to_upstreams_message(changes.changed, view.warmup_remaining_s)
        reply.upstreams_removed = list(changes.removed)
    else:
        reply.upstreams = to_upstreams_message(view.upstreams.values(), view.warmup_remaining_s)


def _add_ownership(view: FleetView, reply: FollowReply, known: Versions, same_term: bool) -> None:
    changes = view.ownership_changes_since(known.ownership) if same_term else None
    if changes is not None and view.versions.ownership == reply.versions.ownership:
        reply.ownership_changes = to_ownership_message(changes)
    else:
        reply.ownership = to_ownership_message(view.ownership.ranges)


def apply_reply(view: FleetView, reply: FollowReply, known: Versions) -> None:
    """Update a view, except for its configuration.

    :param view: the view of the follower.
    :param reply: the reply of the node that it follows.
    :param known: the versions that the follower stated in its request.
    """
    versions = reply.versions
    if reply.evacuated_zones is not None and versions.evacuations:
        view.update_evacuations(versions.evacuations, frozenset(reply.evacuated_zones))
    if not versions.term or not view.begin_term(versions.term):
        return
    _apply_upstreams(view, reply, known)
    if reply.ownership is not None:
        ownership = OwnershipTable(from_ownership_message(reply.ownership))
        view.update_ownership(versions.term, versions.ownership, ownership)
    if reply.ownership_changes is not None:
        view.apply_ownership_changes(
            versions.term,
            known.ownership,
            versions.ownership,
            from_ownership_message(reply.ownership_changes),
        )
    if reply.members is not None:
        members = tuple(from_member_message(message) for message in reply.members)
        view.update_members(versions.term, versions.members, members)


def _apply_upstreams(view: FleetView, reply: FollowReply, known: Versions) -> None:
    versions, upstreams = reply.versions, reply.upstreams
    age_s = reply.upstreams_age_ms / _MS_PER_S
    if reply.upstream_changes is not None:
        changes = UpstreamChanges(
            tuple(from_upstreams_message(reply.upstream_changes).values()),
            tuple(reply.upstreams_removed or ()),
        )
        view.apply_upstream_changes(
            versions.term, known.upstreams, versions.upstreams, changes, age_s
        )
    elif upstreams is not None or versions.upstreams:
        found = None if upstreams is None else from_upstreams_message(upstreams)
        view.update_upstreams(versions.term, versions.upstreams, found, age_s)

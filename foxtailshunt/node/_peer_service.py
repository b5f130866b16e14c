"""Answers other nodes: sends for them, and tells them what is known."""

import threading
import time
from collections.abc import Callable

from foxtailshunt.assigning import CapacityEstimator, DemandTracker, Leadership, MemberRegistry
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import FleetView, Versions
from foxtailshunt.node._messages import (
    from_member_message,
    to_members_message,
    to_ownership_message,
    to_upstreams_message,
    to_versions_message,
)
from foxtailshunt.protocol import (
    FollowReply,
    FollowRequest,
    RelayReply,
    RelayRequest,
    current_connection,
)
from foxtailshunt.relay import Outcome, Sender, to_call, to_relay_reply

#: Longest time that a poll may wait, in seconds.
MAX_WAIT_S = 2.0


class PeerService:
    """The handler of the inner protocol.

    :param view: what is known.
    :param sender: sends from this node.
    :param leadership: tells whether this node leads.
    :param members: where followers are noted.
    :param demands: where their demand is noted.
    :param capacities: where their reports on upstreams are noted.
    :param now: returns seconds of a clock that also counts suspension.
    """

    def __init__(
        self,
        view: FleetView,
        sender: Sender,
        leadership: Leadership,
        members: MemberRegistry,
        demands: DemandTracker,
        capacities: CapacityEstimator,
        now: Callable[[], float],
    ) -> None:
        self._view = view
        self._sender = sender
        self._leadership = leadership
        self._members = members
        self._demands = demands
        self._capacities = capacities
        self._now = now
        self._stopping = threading.Event()

    def stop_relaying(self) -> None:
        """Refuse requests of other nodes from now on; they go to another sender."""
        self._stopping.set()

    def relay(self, req: RelayRequest) -> RelayReply:
        """Send a request of another node.

        :param req: the request.
        """
        if self._stopping.is_set():
            return to_relay_reply(Outcome(ResultCode.STOPPING, "the sender is stopping"))
        call = to_call(req, time.monotonic())
        return to_relay_reply(self._sender.execute(call, current_connection()))

    def follow(self, req: FollowRequest) -> FollowReply:
        """Take a follower's report and tell it what is new.

        :param req: the report and what the follower knows.
        """
        leads = self._leadership.term is not None
        if leads:
            self._take_report(req)
        known = Versions(
            configuration=req.known.configuration,
            term=req.known.term,
            upstreams=req.known.upstreams,
            ownership=req.known.ownership,
            members=req.known.members,
        )
        self._view.wait_for_change(known, min(MAX_WAIT_S, req.wait_ms / 1000))
        return self._reply(known, leads)

    def _take_report(self, req: FollowRequest) -> None:
        now = self._now()
        self._members.observe(from_member_message(req.member), req.known.term, now)
        for demand in req.demands:
            self._demands.observe(demand.service_name, demand.key, demand.work_ms / 1000, now)
        for pace in req.paces:
            self._capacities.observe(
                pace.upstream_id,
                pace.taken_ms / 1000,
                pace.expected_ms / 1000,
                pace.answered,
                pace.failed,
            )

    def _reply(self, known: Versions, leads: bool) -> FollowReply:
        view = self._view
        versions = view.versions
        reply = FollowReply(
            versions=to_versions_message(versions),
            leads=leads,
            upstreams_age_ms=int((view.upstreams_age_s() or 0.0) * 1000),
        )
        if versions.configuration > known.configuration:
            reply.configuration = view.document
        same_term = versions.term == known.term
        if versions.upstreams and not (same_term and versions.upstreams <= known.upstreams):
            reply.upstreams = to_upstreams_message(view.upstreams)
        if versions.ownership and not (same_term and versions.ownership <= known.ownership):
            self._add_ownership(reply, known, same_term)
        if versions.members and not (same_term and versions.members <= known.members):
            reply.members = to_members_message(view.members)
        return reply

    def _add_ownership(self, reply: FollowReply, known: Versions, same_term: bool) -> None:
        view = self._view
        changes = view.ownership_changes_since(known.ownership) if same_term else None
        if changes is not None and view.versions.ownership == reply.versions.ownership:
            reply.ownership_changes = to_ownership_message(changes)
        else:
            reply.ownership = to_ownership_message(view.ownership.ranges)

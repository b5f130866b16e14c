"""Peer protocol handler: relays requests of other nodes and serves fleet state to followers."""

import threading
import time
from collections.abc import Callable

from foxtailshunt.assigning import (
    CapacityEstimator,
    CopyStatements,
    DemandTracker,
    Leadership,
    MeanWork,
    MemberRegistry,
)
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import FleetView, Versions
from foxtailshunt.network import Address
from foxtailshunt.node._follow_reply import build_reply
from foxtailshunt.node._messages import from_member_message, from_pace_message
from foxtailshunt.node._reply_pacer import ReplyPacer
from foxtailshunt.node._table_copies import reply_with_copy, to_position
from foxtailshunt.protocol import (
    ExitNotice,
    ExitNoticeReply,
    FollowReply,
    FollowRequest,
    RelayReply,
    RelayRequest,
    current_connection,
    current_memory,
)
from foxtailshunt.relay import OriginExits, Outcome, Sender, to_call, to_relay_reply

#: Maximum time that a poll waits for a change, in seconds.
MAX_POLL_WAIT_S = 2.0
#: Retry-After of a request that the sender has no memory for, in seconds.
_NO_MEMORY_RETRY_AFTER_S = 0.5


def refuse_relay() -> RelayReply:
    """Return the reply to a request of another node that this one has no memory for."""
    return to_relay_reply(
        Outcome(
            ResultCode.NO_MEMORY,
            "the bodies in progress take too much memory at the sender",
            retry_after_s=_NO_MEMORY_RETRY_AFTER_S,
        )
    )


class PeerService:
    """Handles calls of other nodes.

    :param view: the node's view of the fleet.
    :param sender: sends requests to upstreams.
    :param origin_exits: records the announced exits of other nodes.
    :param leadership: state of the leader election.
    :param members: registry of the followers.
    :param demand_tracker: records the demand that followers report.
    :param capacity_estimator: records the upstream latencies that followers report.
    :param now: returns seconds of a clock that includes time spent suspended.
    :param mean_work: records the work of requests that followers report.
    :param statements: records what the followers state about their copies of the table.
    :param on_later_versions: called on the leader with the address of a follower that knows a later
        configuration or later evacuations.
    """

    def __init__(
        self,
        view: FleetView,
        sender: Sender,
        origin_exits: OriginExits,
        leadership: Leadership,
        members: MemberRegistry,
        demand_tracker: DemandTracker,
        capacity_estimator: CapacityEstimator,
        now: Callable[[], float],
        mean_work: MeanWork,
        statements: CopyStatements | None = None,
        on_later_versions: Callable[[Address], None] | None = None,
    ) -> None:
        self._on_later_versions = on_later_versions
        self._statements = statements or CopyStatements()
        self._view = view
        self._sender = sender
        self._origin_exits = origin_exits
        self._leadership = leadership
        self._members = members
        self._demand_tracker = demand_tracker
        self._capacity_estimator = capacity_estimator
        self._now = now
        self._mean_work = mean_work
        self._stopping = threading.Event()
        self._pacer = ReplyPacer(now)

    def stop_relaying(self) -> None:
        """Refuse further requests of other nodes, which then choose another sender."""
        self._stopping.set()

    def relay(self, req: RelayRequest) -> RelayReply:
        """Send a request on behalf of another node.

        :param req: the relayed request.
        """
        if self._stopping.is_set():
            return to_relay_reply(Outcome(ResultCode.STOPPING, "the sender is stopping"))
        call = to_call(req, time.monotonic(), current_memory())
        return to_relay_reply(self._sender.execute_for_peer(call, current_connection()))

    def announce_exit(self, req: ExitNotice) -> ExitNoticeReply:
        """Record that another node exits soon.

        :param req: the notice.
        """
        now = time.monotonic()
        self._origin_exits.record(req.origin, now + req.exits_in_ms / 1000, now)
        return ExitNoticeReply()

    def follow(self, req: FollowRequest) -> FollowReply:
        """Record the report of a follower and return what changed since its known versions.

        Waits for a change as long as the follower asks, at most ``MAX_POLL_WAIT_S``.

        :param req: the report and the versions known to the follower.
        """
        leads = self._leadership.term is not None
        if leads:
            self._record_report(req)
            self._check_for_later_versions(req)
        configuration_era, configuration = self._known_configuration(req)
        known = Versions(
            configuration=configuration,
            configuration_era=configuration_era,
            term=req.known.term,
            upstreams=req.known.upstreams,
            ownership=req.known.ownership,
            members=req.known.members,
            evacuations=self._known_evacuations(req),
        )
        self._view.wait_for_change(known, min(MAX_POLL_WAIT_S, req.wait_ms / 1000))
        if req.wait_ms > 0:
            time.sleep(self._pacer.delay_s(req.member.instance_id, len(self._view.members)))
        reply = build_reply(self._view, known, leads, bool(req.accepts_upstream_changes))
        reply.table_copy = reply_with_copy(req, self._view, self._leadership)
        return reply

    def _check_for_later_versions(self, req: FollowRequest) -> None:
        """Report a follower whose knowledge of the store is later than that of this node.

        The response to this node's own watch may have been lost.
        """
        current, known = self._view.versions, req.known
        is_later = (known.evacuations or 0) > current.evacuations
        if known.configuration_era is not None:
            order = known.configuration_era, known.configuration
            is_later = is_later or order > current.configuration_order
        if is_later and self._on_later_versions is not None:
            self._on_later_versions(from_member_message(req.member).address)

    def _known_configuration(self, req: FollowRequest) -> tuple[int, int]:
        """Return the era and the version of the configuration that a follower knows.

        At most those of this node: a follower that knows a later one has nothing to wait for. One
        whose build knows no eras is compared by the version.
        """
        current = self._view.versions
        era = req.known.configuration_era
        if era is None:
            era = current.configuration_era
        return min((era, req.known.configuration), current.configuration_order)

    def _known_evacuations(self, req: FollowRequest) -> int:
        """Return the evacuations that a follower knows; at most those of this node.

        A follower that knows later ones, or whose build knows none, has nothing to wait for.
        """
        current = self._view.versions.evacuations
        known = req.known.evacuations
        return current if known is None else min(known, current)

    def _record_report(self, req: FollowRequest) -> None:
        now = self._now()
        member = from_member_message(req.member)
        self._members.observe(member, req.known.term, now)
        copy = req.table_copy
        if copy is not None:
            self._statements.observe(member, to_position(copy), copy.final_before or 0, now)
        for demand in req.demands:
            self._demand_tracker.observe(
                demand.service_name, demand.key, demand.work_ms / 1000, now
            )
        self._capacity_estimator.record_poll(now)
        for pace in req.paces:
            report = from_pace_message(pace)
            upstream = self._view.upstreams.get(report.upstream_id)
            if upstream is not None:
                self._mean_work.observe(
                    upstream.service, report.expected_latency_s, report.answered
                )
            self._capacity_estimator.observe(report, req.member.zone, now)

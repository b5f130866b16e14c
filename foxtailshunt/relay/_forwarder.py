"""Forwards requests to the node that sends to their upstream.

Sends requests from this node itself if it is that node or the others can't be reached.
"""

import random
import socket
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace

from foxtailshunt.admission import Call
from foxtailshunt.errors import Family, PeerUnreachableError, ResultCode
from foxtailshunt.fleet import Address, FleetView, Member
from foxtailshunt.platform import states_leaving
from foxtailshunt.protocol import (
    MAX_RELAYED_BODY_BYTES,
    CallerDisconnectedError,
    ClientPool,
    ExitNotice,
    NoReplyMemoryError,
    RelayReply,
)
from foxtailshunt.protocol.gen import Peer
from foxtailshunt.relay._group_selector import GroupSelector
from foxtailshunt.relay._group_shortage import GroupShortage
from foxtailshunt.relay._messages import to_outcome, to_relay_request
from foxtailshunt.relay._outcome import Outcome
from foxtailshunt.relay._sender import Sender
from foxtailshunt.relay._stop_schedule import StopSchedule, stopping_outcome
from foxtailshunt.relay._upstream_groups import UpstreamGroups
from foxtailshunt.relay._upstream_senders import UpstreamSenders
from foxtailshunt.routing import Regions
from foxtailshunt.telemetry import Metrics, log_state_change

#: First and longest backoff after a node could not be reached, in seconds.
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.5, 4.0
#: Number of unreachable nodes after which this node sends a request itself.
MAX_NODES_TRIED = 2
#: Number of upstream groups that are tried if they refuse a request for lack of time.
MAX_GROUPS_TRIED = 2
#: Time after a request's deadline until which the other node's reply is accepted, in seconds.
REPLY_GRACE_S = 0.06
#: Maximum number of idle connections to each node.
MAX_IDLE_CLIENTS = 16
#: Idle time after which a connection to a node is closed, in seconds. Each connection holds a
#: thread at the other node, and most pairs of nodes of a large fleet rarely exchange requests.
MAX_IDLE_S = 2.0
#: Timeout of a notice to another node that this one exits, in seconds.
EXIT_NOTICE_TIMEOUT_S = 0.5
#: Interval at which a stopping node looks for nodes that it has not yet notified, and repeats a
#: notice that has failed, in seconds.
EXIT_NOTICE_INTERVAL_S = 0.1


@dataclass(slots=True)
class _Backoff:
    #: End of the backoff, in seconds of the monotonic clock.
    until: float
    #: Length of the backoff, in seconds.
    length_s: float


class Forwarder:
    """Forwards requests to the node that sends to their upstream; safe to use from any thread.

    :param me: this node.
    :param view: the node's view of members and upstreams.
    :param groups: upstream groups of services without keys.
    :param sender: sends requests from this node.
    :param metrics: counters and histograms.
    :param stop_schedule: limits requests while the node is stopping; None if it never stops.
    :param senders: the nodes that may send to each upstream; None to determine them here.
    :param regions: regions of the deployment; None if it has only one.
    :param shortage: decides whether a second group is tried; None if it always is.
    """

    def __init__(
        self,
        me: Member,
        view: FleetView,
        groups: UpstreamGroups,
        sender: Sender,
        metrics: Metrics,
        stop_schedule: StopSchedule | None = None,
        senders: UpstreamSenders | None = None,
        regions: Regions | None = None,
        shortage: GroupShortage | None = None,
    ) -> None:
        self._regions = regions or Regions(me.zone)
        self._shortage = shortage
        self._groups = groups
        self._senders = senders or UpstreamSenders(view, groups, me, lambda: False)
        self._selector = GroupSelector(me.zone, random.Random())
        self._metrics = metrics
        self._me = me
        self._view = view
        self._sender = sender
        self._stop_schedule = stop_schedule or StopSchedule()
        self._clients = ClientPool(Peer, MAX_IDLE_CLIENTS)
        self._notice_clients = ClientPool(Peer, 1)
        self._lock = threading.Lock()
        self._backoffs: dict[Address, _Backoff] = {}

    def execute(self, call: Call, caller: socket.socket | None) -> Outcome:
        """Forward or send a request and return its outcome.

        :param call: the request.
        :param caller: the caller's connection; the request is cancelled if it is closed.
        """
        if len(call.body) > MAX_RELAYED_BODY_BYTES:
            return self._sender.execute(call, caller)
        if call.key is None:
            return self._execute_at_group(call, caller)
        return self._execute_at_sender(call, self._senders_for_owner(call), caller)

    def _execute_at_group(self, call: Call, caller: socket.socket | None) -> Outcome:
        """Send a request of a service without keys to the upstreams of one of its groups."""
        groups = [
            group
            for group in self._groups.of_service(call.service)
            if group.zone not in self._view.evacuated_zones
            and (group.zone is None or call.may_use(group.zone))
        ]
        tried: set[str] = set()
        outcome: Outcome | None = None
        while len(tried) < MAX_GROUPS_TRIED:
            started = time.monotonic()
            group = self._selector.select(call.service, groups, started, tried)
            if group is None:
                break
            tried.add(group.name)
            outcome = self._execute_at_sender(
                replace(call, group=group.name), group.senders, caller
            )
            now = time.monotonic()
            delay_s = max(0.0, now - started - outcome.upstream_s)
            if outcome.code is ResultCode.TOO_LATE:
                delay_s = max(delay_s, call.deadline - now)
            if outcome.code is not ResultCode.CANCELLED:
                self._selector.record(call.service, group.name, delay_s, now)
            if self._shortage is not None:
                refused = outcome.code is ResultCode.TOO_LATE
                self._shortage.record(call.service, group.name, refused, now)
            if outcome.code is not ResultCode.TOO_LATE or outcome.arrived:
                return outcome
            if not self._may_try_another(call.service, group.name, now):
                return outcome
        return outcome or self._sender.execute(call, caller)

    def _may_try_another(self, service: str, group: str, now: float) -> bool:
        shortage = self._shortage
        return shortage is None or shortage.has_capacity_elsewhere(service, group, now)

    def _execute_at_sender(
        self, call: Call, senders: Sequence[Member], caller: socket.socket | None
    ) -> Outcome:
        """Forward a request to the first of its senders that can be reached."""
        tried = 0
        zones = self._regions.relay_zones(call.allowed_zones)
        for member in senders:
            if zones is not None and member.zone not in zones:
                continue
            if member.instance_id == self._me.instance_id:
                break
            if self._stop_schedule.has_ended(time.monotonic()):
                return stopping_outcome()
            if self._is_backed_off(member.address):
                continue
            outcome = self._forward(member, call, caller)
            if outcome is not None:
                return outcome
            tried += 1
            if tried == MAX_NODES_TRIED:
                break
        return self._sender.execute(call, caller)

    def close_idle_connections(self) -> None:
        """Close the connections to other nodes that have been idle for ``MAX_IDLE_S``."""
        self._clients.close_idle(MAX_IDLE_S)

    def close(self) -> None:
        """Close all idle connections."""
        self._clients.close()
        self._notice_clients.close()

    def end_forwarded(self, exits_at: float, stopped: threading.Event) -> None:
        """Have the requests that wait at other nodes end before this node exits.

        The other nodes refuse those that cannot run in the time that is left. A node may not get
        the notice, or may be unable to answer; what is still not answered shortly before the exit
        is ended with an unknown result, so that each caller gets an answer.

        :param exits_at: when this node exits, in seconds of the monotonic clock.
        :param stopped: ends the wait if it is set.
        """
        end = self._stop_schedule.last_answer_at
        notified: set[Address] = set()
        while (now := time.monotonic()) < end and not stopped.is_set():
            for address in self._clients.called_addresses() - notified:
                notified.add(address)
                # A thread for each, since a node that does not respond would delay the others.
                thread = threading.Thread(
                    target=self._announce_exit,
                    args=(address, exits_at, stopped),
                    name="exit notice",
                    daemon=True,
                )
                thread.start()
            stopped.wait(min(EXIT_NOTICE_INTERVAL_S, end - now))
        if not stopped.is_set():
            interrupted = self._clients.interrupt_calls()
            log_state_change("forwarded.interrupted", calls=interrupted)

    def _announce_exit(self, address: Address, exits_at: float, stopped: threading.Event) -> None:
        """Send a node the exit notice until it takes it or the requests have ended."""
        is_first = True
        while (left_s := exits_at - time.monotonic()) > 0 and not stopped.is_set():
            notice = ExitNotice(origin=self._me.boot_id, exits_in_ms=int(left_s * 1000))
            try:
                self._notice_clients.call(address, "announce_exit", notice, EXIT_NOTICE_TIMEOUT_S)
                return
            except PeerUnreachableError as exc:
                if is_first:
                    log_state_change("exit_notice.failed", address=list(address), error=exc.message)
                is_first = False
            stopped.wait(EXIT_NOTICE_INTERVAL_S)

    def _senders_for_owner(self, call: Call) -> list[Member]:
        """Return the nodes that may send to the owner of a key, the preferred one first."""
        upstream = self._view.upstreams.get(call.upstream_id or "")
        if upstream is None or self._view.is_evacuated(upstream):
            return []
        if not call.may_use(upstream.zone):
            return []
        if self._sender.leaving.has_lost_keys(upstream):
            # This node refuses the request itself.
            return []
        return self._senders.of_owner(upstream)

    def _forward(self, member: Member, call: Call, caller: socket.socket | None) -> Outcome | None:
        """Forward a request; return None if the node provably did not execute it."""
        started = time.monotonic()
        call = replace(call, deadline=self._stop_schedule.limit(call.deadline))
        remaining_s = max(0.01, call.deadline - started) + REPLY_GRACE_S
        # The runs of upstreams to which this request may be sent, not those that start later.
        upstreams = self._view.upstreams
        try:
            reply: RelayReply = self._clients.call(
                member.address,
                "relay",
                to_relay_request(call, self._me.boot_id, started),
                remaining_s,
                max_idle_s=MAX_IDLE_S,
                caller=caller,
                memory=call.memory,
            )
        except NoReplyMemoryError as exc:
            return Outcome(
                ResultCode.DEADLINE_EXCEEDED, exc.message, arrived=True, sender=member.instance_id
            )
        except CallerDisconnectedError:
            return Outcome(
                ResultCode.CANCELLED,
                "the caller disconnected",
                arrived=True,
                sender=member.instance_id,
            )
        except PeerUnreachableError as exc:
            in_time = time.monotonic() < call.deadline
            self._back_off(member.address)
            self._clients.reset_idle(member.address)
            if not exc.sent:
                return None
            code = ResultCode.NODE_CONNECTION_LOST if in_time else ResultCode.DEADLINE_EXCEEDED
            return Outcome(code, exc.message, arrived=True, sender=member.instance_id)
        self._clear_backoff(member.address)
        outcome = to_outcome(reply, member.instance_id)
        upstream = upstreams.get(outcome.upstream_id or "")
        if upstream is not None and states_leaving(outcome.headers):
            self._sender.leaving.record(upstream)
        self._metrics.observe(
            "foxtailshunt_relay_overhead_seconds",
            "Time between nodes: from forwarding to the reply, without queue and upstream.",
            max(0.0, time.monotonic() - started - outcome.queued_s - outcome.upstream_s),
        )
        if outcome.code is ResultCode.STOPPING and outcome.family is Family.NOT_RUN:
            return None
        return outcome

    def _is_backed_off(self, address: Address) -> bool:
        backoff = self._backoffs.get(address)
        return backoff is not None and time.monotonic() < backoff.until

    def _back_off(self, address: Address) -> None:
        now = time.monotonic()
        with self._lock:
            previous = self._backoffs.get(address)
            if previous is not None and now < previous.until:
                return
            length_s = min(MAX_BACKOFF_S, previous.length_s * 2) if previous else FIRST_BACKOFF_S
            self._backoffs[address] = _Backoff(now + length_s, length_s)

    def _clear_backoff(self, address: Address) -> None:
        if address in self._backoffs:
            with self._lock:
                self._backoffs.pop(address, None)

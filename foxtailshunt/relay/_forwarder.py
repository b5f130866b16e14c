"""Finds the node that sends to an upstream, and falls back to sending from this node."""

import socket
import threading
import time
from dataclasses import dataclass

from foxtailshunt.errors import Family, PeerUnreachableError, ResultCode
from foxtailshunt.fleet import Address, FleetView, Member, rank_by_rendezvous
from foxtailshunt.protocol import CallerDisconnectedError, ClientPool, RelayReply
from foxtailshunt.protocol.gen import Peer
from foxtailshunt.relay._messages import to_outcome, to_relay_request
from foxtailshunt.relay._outcome import Call, Outcome
from foxtailshunt.relay._sender import Sender

#: First and longest time for which a node that did not answer is passed over, in seconds.
FIRST_DOUBT_S, LONGEST_DOUBT_S = 0.5, 4.0
#: Nodes that are tried before this node sends by itself.
MAX_NODES_TRIED = 2
#: Time beyond a request's deadline in which the other node's own answer may come, in seconds.
REPLY_SLACK_S = 0.06
#: Idle connections kept to each node.
MAX_IDLE_CLIENTS = 16
#: Idle time after which a connection to a node is not used again, in seconds.
MAX_IDLE_S = 20.0


@dataclass(slots=True)
class _Doubt:
    until: float
    span_s: float


class Forwarder:
    """Hands requests to the node that sends to their upstream; safe to use from any thread.

    :param me: this node.
    :param view: what is known of members and upstreams.
    :param sender: sends from this node.
    """

    def __init__(self, me: Member, view: FleetView, sender: Sender) -> None:
        self._me = me
        self._view = view
        self._sender = sender
        self._clients = ClientPool(Peer, MAX_IDLE_CLIENTS)
        self._lock = threading.Lock()
        self._doubts: dict[Address, _Doubt] = {}
        self._ranked_from: object = None
        self._ranked: dict[str, list[Member]] = {}

    def execute(self, call: Call, caller: socket.socket | None) -> Outcome:
        """Have a request sent and return what became of it.

        :param call: the request.
        :param caller: the caller's connection, watched for its end.
        """
        tried = 0
        for member in self._senders(call):
            if member.instance_id == self._me.instance_id:
                break
            if self._is_doubted(member.address):
                continue
            outcome = self._ask(member, call, caller)
            if outcome is not None:
                return outcome
            tried += 1
            if tried == MAX_NODES_TRIED:
                break
        return self._sender.execute(call, caller)

    def close(self) -> None:
        """Close all idle connections."""
        self._clients.close()

    def _senders(self, call: Call) -> list[Member]:
        members = self._view.members
        if call.key is None:
            subject, zone = call.service, None
        else:
            upstream = self._view.upstreams.get(call.upstream_id or "")
            if upstream is None:
                return []
            subject, zone = upstream.upstream_id, upstream.zone
        with self._lock:
            if self._ranked_from is not members:
                self._ranked_from = members
                self._ranked.clear()
            ranked = self._ranked.get(subject)
        if ranked is None:
            serving = [member for member in members if not member.leaving]
            near = [member for member in serving if zone in (None, member.zone)]
            ranked = rank_by_rendezvous(subject, near or serving)
            with self._lock:
                if self._ranked_from is members:
                    self._ranked[subject] = ranked
        return ranked

    def _ask(self, member: Member, call: Call, caller: socket.socket | None) -> Outcome | None:
        """Return the outcome, or None if the node has surely done nothing."""
        remaining_s = max(0.01, call.deadline - time.monotonic()) + REPLY_SLACK_S
        try:
            reply: RelayReply = self._clients.call(
                member.address,
                "relay",
                to_relay_request(call, time.monotonic()),
                remaining_s,
                max_idle_s=MAX_IDLE_S,
                caller=caller,
            )
        except CallerDisconnectedError:
            return Outcome(ResultCode.CANCELLED, "the caller went away", arrived=True)
        except PeerUnreachableError as exc:
            in_time = time.monotonic() < call.deadline
            self._doubt(member.address)
            self._clients.reset_idle(member.address)
            if not exc.sent:
                return None
            code = ResultCode.NODE_CONNECTION_LOST if in_time else ResultCode.DEADLINE_EXCEEDED
            return Outcome(code, exc.message, arrived=True)
        self._trust(member.address)
        outcome = to_outcome(reply)
        if outcome.code is ResultCode.STOPPING and outcome.family is Family.NOT_RUN:
            return None
        return outcome

    def _is_doubted(self, address: Address) -> bool:
        doubt = self._doubts.get(address)
        return doubt is not None and time.monotonic() < doubt.until

    def _doubt(self, address: Address) -> None:
        now = time.monotonic()
        with self._lock:
            old = self._doubts.get(address)
            if old is not None and now < old.until:
                return
            span_s = min(LONGEST_DOUBT_S, old.span_s * 2) if old else FIRST_DOUBT_S
            self._doubts[address] = _Doubt(now + span_s, span_s)

    def _trust(self, address: Address) -> None:
        if address in self._doubts:
            with self._lock:
                self._doubts.pop(address, None)

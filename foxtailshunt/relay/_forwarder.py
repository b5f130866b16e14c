"""Forwards requests to the node that sends to their upstream.

Sends requests from this node itself if it is that node or the others can't be reached.
"""

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
from foxtailshunt.telemetry import Metrics

#: First and longest backoff after a node could not be reached, in seconds.
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.5, 4.0
#: Number of unreachable nodes after which this node sends a request itself.
MAX_NODES_TRIED = 2
#: Time after a request's deadline until which the other node's reply is accepted, in seconds.
REPLY_GRACE_S = 0.06
#: Maximum number of idle connections to each node.
MAX_IDLE_CLIENTS = 16
#: Idle time after which a connection to a node is no longer used, in seconds.
MAX_IDLE_S = 20.0


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
    :param sender: sends requests from this node.
    :param metrics: counters and histograms.
    """

    def __init__(self, me: Member, view: FleetView, sender: Sender, metrics: Metrics) -> None:
        self._metrics = metrics
        self._me = me
        self._view = view
        self._sender = sender
        self._clients = ClientPool(Peer, MAX_IDLE_CLIENTS)
        self._lock = threading.Lock()
        self._backoffs: dict[Address, _Backoff] = {}
        self._ranked_members: object = None
        self._ranked: dict[str, list[Member]] = {}

    def execute(self, call: Call, caller: socket.socket | None) -> Outcome:
        """Forward or send a request and return its outcome.

        :param call: the request.
        :param caller: the caller's connection; the request is cancelled if it is closed.
        """
        tried = 0
        for member in self._senders(call):
            if member.instance_id == self._me.instance_id:
                break
            if self._is_backed_off(member.address):
                continue
            outcome = self._forward(member, call, caller)
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
        """Return the nodes that may send a request, the preferred one first."""
        members = self._view.members
        if call.key is None:
            rendezvous_key, zone = call.service, None
        else:
            upstream = self._view.upstreams.get(call.upstream_id or "")
            if upstream is None:
                return []
            rendezvous_key, zone = upstream.upstream_id, upstream.zone
        with self._lock:
            if self._ranked_members is not members:
                self._ranked_members = members
                self._ranked.clear()
            ranked = self._ranked.get(rendezvous_key)
        if ranked is None:
            serving = [member for member in members if not member.leaving]
            same_zone = [member for member in serving if zone in (None, member.zone)]
            ranked = rank_by_rendezvous(rendezvous_key, same_zone or serving)
            with self._lock:
                if self._ranked_members is members:
                    self._ranked[rendezvous_key] = ranked
        return ranked

    def _forward(self, member: Member, call: Call, caller: socket.socket | None) -> Outcome | None:
        """Forward a request; return None if the node provably did not execute it."""
        started = time.monotonic()
        remaining_s = max(0.01, call.deadline - started) + REPLY_GRACE_S
        try:
            reply: RelayReply = self._clients.call(
                member.address,
                "relay",
                to_relay_request(call, started),
                remaining_s,
                max_idle_s=MAX_IDLE_S,
                caller=caller,
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

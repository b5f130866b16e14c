"""Determines which node sends to an upstream, according to this node's view."""

import threading
from collections.abc import Callable, Sequence

from foxtailshunt.fleet import FleetView, Member, Upstream, rank_by_rendezvous
from foxtailshunt.relay._upstream_groups import UpstreamGroups, sender_candidates

#: Time since the last poll that the leader answered after which this node no longer counts as the
#: sender of cold upstreams, in seconds. It is less than the time after which the leader removes a
#: silent node from the list of members, so that the next sender starts after this one has stopped.
CONTACT_TIMEOUT_S = 1.5
#: Addition for each member, in seconds: the leader spaces its replies to a node by this time.
CONTACT_TIMEOUT_PER_NODE_S = 0.001


class UpstreamSenders:
    """The nodes that may send to each upstream; safe to use from any thread.

    :param view: the node's view of members and upstreams.
    :param groups: upstream groups of services without keys.
    :param me: this node.
    :param leads: returns whether this node is the leader.
    """

    def __init__(
        self, view: FleetView, groups: UpstreamGroups, me: Member, leads: Callable[[], bool]
    ) -> None:
        self._view = view
        self._groups = groups
        self._me = me
        self._leads = leads
        self._lock = threading.Lock()
        self._ranked_members: object = None
        #: Senders by upstream and by the zones that should not send to it.
        self._ranked: dict[tuple[str, tuple[str, ...]], list[Member]] = {}

    def of_owner(self, upstream: Upstream) -> list[Member]:
        """Return the nodes that may send to an upstream with keys, the preferred one first.

        :param upstream: the upstream.
        """
        members = self._view.members
        with self._lock:
            if self._ranked_members is not members:
                self._ranked_members = members
                self._ranked.clear()
            ranked = self._ranked.get((upstream.upstream_id, upstream.avoided_zones))
        if ranked is None:
            candidates = sender_candidates(members, upstream.zone, upstream.avoided_zones)
            ranked = rank_by_rendezvous(upstream.upstream_id, candidates)
            with self._lock:
                if self._ranked_members is members:
                    self._ranked[(upstream.upstream_id, upstream.avoided_zones)] = ranked
        return ranked

    def is_sender(self, upstream: Upstream) -> bool:
        """Return whether this node is the preferred sender of an upstream by a recent view.

        :param upstream: the upstream.
        """
        if not self._leads():
            timeout_s = CONTACT_TIMEOUT_S + len(self._view.members) * CONTACT_TIMEOUT_PER_NODE_S
            if self._view.leader_poll_age_s() > timeout_s:
                return False
        senders = self._senders(upstream)
        return bool(senders) and senders[0].instance_id == self._me.instance_id

    def _senders(self, upstream: Upstream) -> Sequence[Member]:
        service = self._view.find_service(upstream.service)
        if service is not None and service.keyed:
            return self.of_owner(upstream)
        group = self._groups.group_of(upstream.service, upstream.upstream_id)
        return () if group is None else group.senders

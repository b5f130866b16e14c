"""Connects the warm-up of upstreams with a node's view."""

from foxtailshunt.fleet import FleetView
from foxtailshunt.node._settings import NodeSettings
from foxtailshunt.relay import ColdUpstreams, UpstreamSenders
from foxtailshunt.upstreams import ColdBound, StartLimiter, WarmupStates, WarmupTracker


def follow_warmups(
    view: FleetView, senders: UpstreamSenders, settings: NodeSettings
) -> ColdUpstreams:
    """Let a view report its lists of upstreams, and return what its node does with cold ones.

    :param view: the node's view; it must not have a list yet.
    :param senders: the nodes that may send to each upstream.
    :param settings: settings of the node.
    """
    states = WarmupStates()
    view.upstream_observer = WarmupTracker(states, view.find_service)
    bound = ColdBound(settings.cold_rate_ratio, settings.cold_reserve)
    return ColdUpstreams(states, StartLimiter(states, view.find_service, senders.is_sender, bound))

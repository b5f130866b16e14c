"""What a term of leading works with."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.assigning._demand_book import DemandTracker
from foxtailshunt.assigning._leadership import Leadership
from foxtailshunt.assigning._member_registry import MemberRegistry
from foxtailshunt.assigning._pace_reports import CapacityEstimator
from foxtailshunt.fleet import FleetView, Member
from foxtailshunt.platform import StoreClient
from foxtailshunt.telemetry import Metrics


@dataclass(frozen=True, slots=True)
class LeaderDependencies:
    """The parts of a node that leading needs."""

    #: This node.
    local_member: Member
    #: Tells whether this node leads.
    leadership: Leadership
    #: The store.
    store: StoreClient
    #: Where the leader's knowledge is published.
    view: FleetView
    #: Work by key.
    demands: DemandTracker
    #: Work that upstreams get done.
    capacities: CapacityEstimator
    #: The nodes that follow.
    members: MemberRegistry
    #: Returns seconds of a clock that also counts suspension.
    now: Callable[[], float]
    #: Counters.
    metrics: Metrics
    #: When this process started, in seconds of the clock.
    started: float
    #: Set when the process stops.
    stopping: threading.Event
    #: Returns how long keys are held after a grant that is sent now, in seconds.
    hold_s: Callable[[], float]

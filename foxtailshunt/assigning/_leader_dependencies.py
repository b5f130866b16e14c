"""What a leader needs from its node."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from foxtailshunt.assigning._capacity_estimator import CapacityEstimator
from foxtailshunt.assigning._demand_tracker import DemandTracker
from foxtailshunt.assigning._leadership import Leadership
from foxtailshunt.assigning._mean_work import MeanWork
from foxtailshunt.assigning._member_registry import MemberRegistry
from foxtailshunt.assigning._table_recovery import CopyStatements, FetchCopy
from foxtailshunt.fleet import FleetView, Member
from foxtailshunt.platform import StoreClient
from foxtailshunt.telemetry import Metrics


@dataclass(frozen=True, slots=True)
class LeaderDependencies:
    """The components of a node that a term uses."""

    #: This node.
    local_member: Member
    #: Takes part in elections for this node.
    leadership: Leadership
    #: The store.
    store: StoreClient
    #: The view to which the leader publishes upstreams, owners and members.
    view: FleetView
    #: Demand by key.
    demands: DemandTracker
    #: Estimated capacity of each upstream.
    capacities: CapacityEstimator
    #: Mean work of the requests of each service.
    mean_work: MeanWork
    #: The last heartbeat of each node.
    members: MemberRegistry
    #: What the members have stated about their copies of the table.
    statements: CopyStatements
    #: Fetches the copy of a member.
    fetch_copy: FetchCopy
    #: Returns seconds of a clock that also advances during suspension.
    now: Callable[[], float]
    #: Counters.
    metrics: Metrics
    #: When this process started, in seconds of the clock.
    started: float
    #: Set when the process shuts down.
    stopping: threading.Event
    #: Returns how long keys are held after a grant that is sent now, in seconds.
    hold_s: Callable[[], float]

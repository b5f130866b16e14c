"""Runs the terms of a node that is elected leader."""

import threading
from collections.abc import Callable

from foxtailshunt.assigning._capacity_estimator import CapacityEstimator
from foxtailshunt.assigning._demand_tracker import DemandTracker
from foxtailshunt.assigning._grant_renewer import HOLD_S, LEAVING_HOLD_S
from foxtailshunt.assigning._leader_dependencies import LeaderDependencies
from foxtailshunt.assigning._leadership import Leadership
from foxtailshunt.assigning._mean_work import MeanWork
from foxtailshunt.assigning._member_registry import MemberRegistry
from foxtailshunt.assigning._table_recovery import CopyStatements, FetchCopy
from foxtailshunt.assigning._term import Term
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.fleet import FleetView, Member
from foxtailshunt.platform import StoreClient
from foxtailshunt.telemetry import Metrics, log_state_change, log_thread_error


class Assigner:
    """Runs a term whenever this node is leader, on a thread of its own.

    :param local_member: this node.
    :param leadership: takes part in elections for this node.
    :param store: the store.
    :param view: the view to which the leader publishes upstreams, owners and members.
    :param demands: demand by key.
    :param capacities: estimated capacity of each upstream.
    :param mean_work: mean work of the requests of each service.
    :param members: the last heartbeat of each node.
    :param statements: what the members have stated about their copies of the table.
    :param fetch_copy: fetches the copy of a member.
    :param now: returns seconds of a clock that also advances during suspension.
    :param metrics: counters.
    """

    def __init__(
        self,
        local_member: Member,
        leadership: Leadership,
        store: StoreClient,
        view: FleetView,
        demands: DemandTracker,
        capacities: CapacityEstimator,
        mean_work: MeanWork,
        members: MemberRegistry,
        statements: CopyStatements,
        fetch_copy: FetchCopy,
        now: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._leadership = leadership
        self._is_leaving = False
        self._stopping = threading.Event()
        self._deps = LeaderDependencies(
            local_member=local_member,
            leadership=leadership,
            store=store,
            view=view,
            demands=demands,
            capacities=capacities,
            mean_work=mean_work,
            members=members,
            statements=statements,
            fetch_copy=fetch_copy,
            now=now,
            metrics=metrics,
            started=now(),
            stopping=self._stopping,
            hold_s=self._hold_s,
        )
        self._thread = threading.Thread(target=self._run, name="assigner", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def prepare_to_leave(self) -> None:
        """Use longer grants from now on, since no other node can be elected yet."""
        self._is_leaving = True

    def stop(self) -> None:
        """Stop leading; grants stay in force until they expire or the next leader renews them."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._leadership.leading.wait(0.2):
                continue
            term = self._leadership.term
            if term is None:
                self._stopping.wait(0.05)
                continue
            try:
                Term(self._deps, term).run()
            except FoxtailshuntError as exc:
                log_state_change("term.interrupted", term=term, error=str(exc))
                self._stopping.wait(0.1)
            except Exception as exc:
                log_thread_error("assigner", exc)
                self._stopping.wait(0.3)

    def _hold_s(self) -> float:
        """Return how long keys are held after a grant that is sent now, in seconds.

        A longer grant of a leader that shuts down is limited to the time at which the last regular
        grant of an unconfirmed leader would expire.
        """
        if not self._is_leaving:
            return HOLD_S
        return min(LEAVING_HOLD_S, self._leadership.unconfirmed_left_s + HOLD_S)

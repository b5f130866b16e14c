"""Gauges of a node: queue lengths, retry budgets, versions and the age of its data."""

from foxtailshunt.admission import RetryBudget
from foxtailshunt.assigning import Leadership
from foxtailshunt.fleet import FleetView
from foxtailshunt.relay import Sender
from foxtailshunt.routing import KEY_COUNT
from foxtailshunt.telemetry import Metrics
from foxtailshunt.upstreams import UpstreamHealth

#: Interval between updates of the gauges, in seconds; metrics are usually scraped every few
#: seconds.
GAUGE_INTERVAL_S = 1.0


class GaugeUpdater:
    """Updates the gauges of a node.

    :param metrics: metrics that hold the gauges.
    :param view: the node's view of the fleet.
    :param sender: the sender, for its queue lengths.
    :param leadership: state of the leader election.
    :param budget: the retry budget.
    """

    def __init__(
        self,
        metrics: Metrics,
        view: FleetView,
        sender: Sender,
        leadership: Leadership,
        budget: RetryBudget,
    ) -> None:
        self._metrics = metrics
        self._view = view
        self._sender = sender
        self._leadership = leadership
        self._budget = budget
        #: Ejections that were counted so far, by service.
        self._ejections_counted: dict[str, int] = {}

    def update(self) -> None:
        """Set all gauges to their current values."""
        view = self._view
        waiting, running = self._sender.load()
        versions = view.versions
        self._set("waiting_requests", "Requests that wait for a slot here.", waiting)
        self._set("running_requests", "Requests that this node has at upstreams.", running)
        self._set("configuration_version", "Configuration in force.", versions.configuration)
        self._set("leader_term", "Newest term known.", versions.term)
        leads = self._leadership.term is not None
        self._set("leads_ratio", "1 if this node leads.", float(leads))
        self._set("members_nodes", "Nodes known to live.", len(view.members))
        evacuated = len(view.evacuated_zones)
        self._set("evacuated_zones", "Zones whose upstreams get no new requests.", evacuated)
        age_s = view.upstreams_age_s()
        if age_s is not None:
            self._set("upstreams_age_seconds", "Age of the list of upstreams.", age_s)
        services = view.routes.services if view.routes is not None else {}
        for name, info in services.items():
            self._set_service(name, info.keyed)
            if info.warmup_rate > 0:
                found = view.upstreams_by_service.get(name, ())
                cold = sum(view.warmup_remaining_s(item) > 0 for item in found)
                self._set("cold_upstreams", "Upstreams of a service that are cold.", cold, name)

        for name, health in self._sender.upstream_health().items():
            self._set_health(name, health)

    def _set_health(self, service: str, health: UpstreamHealth) -> None:
        doc = "Upstreams that get no requests from this node for a time."
        self._set("upstreams_ejected", doc, health.ejected, service)
        doc = "Highest share of its last requests that an upstream has failed."
        self._set("upstream_failure_ratio", doc, health.highest_failure_share, service)
        doc = "Highest base latency of an upstream relative to the mean of its routes."
        self._set("upstream_slow_ratio", doc, health.highest_slow_ratio, service)
        added = health.ejections - self._ejections_counted.get(service, 0)
        self._ejections_counted[service] = health.ejections
        self._metrics.count(
            "foxtailshunt_upstream_ejections_total",
            "Ejections of upstreams that fail far more requests than their peers.",
            {"service": service},
            max(0, added),
        )

    def _set_service(self, name: str, keyed: bool) -> None:
        upstreams = len(self._view.upstreams_by_service.get(name, ()))
        self._set("upstreams_known", "Upstreams of a service.", upstreams, name)
        retries_left = self._budget.available(name)
        self._set(
            "repeats_left_requests", "Repeats that the budget allows now.", retries_left, name
        )
        if keyed:
            served_keys = sum(
                item.last - item.first + 1
                for item in self._view.ownership.of_service(name)
                if not item.moving
            )
            left = sum(
                item.last - item.first + 1
                for item in self._view.ownership.of_service(name)
                if self._is_evacuated(item.giver or item.owner)
            )
            self._set("evacuating_keys", "Keys that are left in evacuated zones.", left, name)
            doc = "Keys without an owner that may be sent requests."
            self._set("unserved_keys", doc, KEY_COUNT - served_keys, name)

    def _is_evacuated(self, upstream_id: str) -> bool:
        upstream = self._view.upstreams.get(upstream_id)
        return upstream is not None and self._view.is_evacuated(upstream)

    def _set(self, name: str, doc: str, value: float, service: str | None = None) -> None:
        labels = None if service is None else {"service": service}
        self._metrics.set_gauge(f"foxtailshunt_{name}", doc, value, labels)

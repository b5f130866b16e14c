"""Estimates the capacity of each upstream from the reports of all senders."""

import math
import threading
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from foxtailshunt.assigning._failing_upstreams import FailingUpstreams, UpstreamState
from foxtailshunt.assigning._upstream_speeds import UpstreamSpeeds
from foxtailshunt.assigning._zone_failures import ZoneFailures
from foxtailshunt.fleet import Upstream
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.upstreams import LatencyReport

#: Reports that a new leader needs before it moves keys to balance the load, in seconds.
SETTLING_S = 2.0
#: Smallest change of an estimate, as a factor, that changes the capacity that is used. Estimates
#: of upstreams of the same speed differ by up to a fifth because of noise, and a move of all keys
#: costs as much as 0.4 to 1% of a day's service.
MIN_CHANGE = 1.3
#: Factor by which the change has to be larger at first, and time constant in which that decays, in
#: seconds: early estimates are from few slowdowns.
NEW_ESTIMATE_UNCERTAINTY, UNCERTAINTY_TIME_S = 2.0, 6.0
#: Bounds of the latency ratio that a capacity uses.
MIN_LATENCY_RATIO, MAX_LATENCY_RATIO = 0.4, 12.0
_MIN_LOG_RATIO, _MAX_LOG_RATIO = math.log(MIN_LATENCY_RATIO), math.log(MAX_LATENCY_RATIO)
#: Share of the capacity that is assumed for an upstream that is failing, or on trial after that.
STATE_SHARES = {
    UpstreamState.SERVING: 1.0,
    UpstreamState.FAILING: 0.02,
    UpstreamState.ON_TRIAL: 0.1,
}
#: Interval at which upstreams that no longer exist are forgotten, in seconds.
PRUNE_INTERVAL_S = 30.0


@dataclass(frozen=True, slots=True)
class Capacity:
    """What an upstream can do."""

    #: Work done per second, in seconds at average speed.
    work: float
    #: False if the upstream fails most of its requests and is to get no keys.
    accepts_keys: bool = True


class CapacityEstimator:
    """Capacity by upstream: slots / latency ratio x success; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._speeds = UpstreamSpeeds()
        self._failing = FailingUpstreams()
        self._zones = ZoneFailures()
        #: Logarithm of the work per slot and second that is used for each upstream.
        self._used: dict[str, float] = {}
        #: When the first report of the current term was received, in seconds; None before.
        self._first_report_at: float | None = None
        #: Runs of the upstreams when they were last listed.
        self._incarnations: dict[str, object] = {}
        self._pruned_at = float("-inf")

    def begin_term(self, upstreams: Iterable[Upstream]) -> None:
        """Begin to lead: wait for reports before keys move to balance the load.

        :param upstreams: the upstreams with the estimates of the previous leader, by which its keys
            were placed.
        """
        with self._lock:
            self._first_report_at = None
            self._used = {
                item.upstream_id: math.log(item.capacity_ratio)
                for item in upstreams
                if 0 < item.capacity_ratio < math.inf
            }

    def record_poll(self, now: float) -> None:
        """Record that a node has reported, possibly that it has sent no requests.

        :param now: the time in seconds.
        """
        with self._lock:
            if self._first_report_at is None:
                self._first_report_at = now

    def is_settled(self, now: float) -> bool:
        """Return whether the reports of this term suffice to move keys.

        :param now: the time in seconds.
        """
        first = self._first_report_at
        return first is not None and now - first >= SETTLING_S

    def observe(self, report: LatencyReport, zone: str, now: float) -> None:
        """Add a report of a sender.

        :param report: the requests of one upstream since the sender's last report.
        :param zone: zone of the sender.
        :param now: the time in seconds.
        """
        if report.answered + report.failed <= 0:
            return
        with self._lock:
            self._speeds.observe(report, now)
            self._failing.observe(report, now)
            self._zones.observe(report, zone, now)

    def with_estimates(
        self, upstreams: dict[str, Upstream], zones: Collection[str], now: float
    ) -> dict[str, Upstream]:
        """Return upstreams with the estimates that all nodes get.

        :param upstreams: all upstreams by id.
        :param zones: the zones that have nodes.
        :param now: the time in seconds.
        """
        by_service: dict[str, list[Upstream]] = {}
        for upstream in upstreams.values():
            by_service.setdefault(upstream.service, []).append(upstream)
        with self._lock:
            self._forget_restarted(upstreams)
            for found in by_service.values():
                self._zones.update(found, zones, now)
            self._prune(set(upstreams), now)
            return {name: self._with_estimate(item) for name, item in upstreams.items()}

    def capacities(
        self, service: str, upstreams: Collection[Upstream], now: float
    ) -> dict[str, Capacity]:
        """Return the capacity of each upstream of a service.

        :param service: name of the service.
        :param upstreams: its upstreams.
        :param now: the time in seconds.
        """
        with self._lock:
            names = [item.upstream_id for item in upstreams]
            excluded = [name for name in names if self._zones.avoided_zones(name)]
            self._failing.update(service, names, excluded, now)
            self._update_used(service, names, now)
            return {item.upstream_id: self._capacity(item) for item in upstreams}

    def _forget_restarted(self, upstreams: dict[str, Upstream]) -> None:
        """Discard the failures of upstreams that have restarted; their speed is that of before."""
        for name, upstream in upstreams.items():
            known = self._incarnations.get(name, upstream.incarnation)
            if known != upstream.incarnation:
                self._failing.forget(name)
                self._zones.forget(name)
        self._incarnations = {name: item.incarnation for name, item in upstreams.items()}

    def _with_estimate(self, upstream: Upstream) -> Upstream:
        avoided_zones = self._zones.avoided_zones(upstream.upstream_id)
        ratio = round(math.exp(self._used.get(upstream.upstream_id, 0.0)), 4)
        if (upstream.avoided_zones, upstream.capacity_ratio) == (avoided_zones, ratio):
            return upstream
        return replace(upstream, avoided_zones=avoided_zones, capacity_ratio=ratio)

    def _capacity(self, upstream: Upstream) -> Capacity:
        name = upstream.upstream_id
        work = upstream.slots * math.exp(self._used.get(name, 0.0))
        state = self._failing.state(name)
        return Capacity(work * STATE_SHARES[state], state is not UpstreamState.FAILING)

    def _update_used(self, service: str, names: Collection[str], now: float) -> None:
        """Use the estimates that differ enough from the ones in use."""
        slowness = {
            name: ratio
            for name in names
            if (ratio := self._speeds.log_ratio(name, now)) is not None
        }
        if not slowness:
            return
        success = {name: self._failing.log_success(name) for name in slowness}
        # The demand is measured in time at average speed, and failures that all upstreams have in
        # common are no reason to move keys.
        mean_slowness = sum(slowness.values()) / len(slowness)
        mean_success = sum(success.values()) / len(success)
        for name in slowness:
            log_ratio = slowness[name] - mean_slowness
            bounded = min(_MAX_LOG_RATIO, max(_MIN_LOG_RATIO, log_ratio))
            estimate = success[name] - mean_success - bounded
            min_change = math.log(MIN_CHANGE) * self._uncertainty(name, now)
            if abs(estimate - self._used.get(name, 0.0)) >= min_change:
                self._used[name] = estimate
                log_state_change(
                    "upstream.capacity",
                    upstream=name,
                    service=service,
                    latency_ratio=round(math.exp(bounded), 2),
                    success_rate=round(math.exp(success[name]), 3),
                )

    def _uncertainty(self, name: str, now: float) -> float:
        """Return a factor by which a change has to be larger while an estimate is new."""
        return 1.0 + NEW_ESTIMATE_UNCERTAINTY * math.exp(
            -self._speeds.age_s(name, now) / UNCERTAINTY_TIME_S
        )

    def _prune(self, names: set[str], now: float) -> None:
        if now - self._pruned_at < PRUNE_INTERVAL_S:
            return
        self._pruned_at = now
        self._speeds.retain(names)
        self._failing.retain(names)
        self._zones.retain(names)
        self._used = {name: value for name, value in self._used.items() if name in names}

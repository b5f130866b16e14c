"""Finds the upstreams that fail most of the requests that they get, from all senders' reports."""

import math
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from foxtailshunt.assigning._failure_share import FailureShare, is_outlier, usual_share
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.upstreams import LatencyReport

#: Time constant of the share of failures, in seconds, and weight of the assumption that requests
#: are served, in requests, for an upstream that fails most requests.
SHARE_TIME_S, PRIOR_REQUESTS = 4.0, 1.0
#: The same for the capacity of an upstream that fails fewer.
SLOW_SHARE_TIME_S, SLOW_PRIOR_REQUESTS = 30.0, 10.0
#: Bound of the share of served requests that a capacity uses.
MIN_SUCCESS = 0.1
#: Number of recent requests from which a share is known.
MIN_REQUESTS = 2.5
#: Share of failures from which an upstream is failing. An upstream that fails half of its requests
#: does less than half of the work, since each failed request is sent again or lost.
MIN_FAILING_SHARE = 0.5
#: Share of failures up to which a failing upstream is considered well again.
MAX_RECOVERED_SHARE = 0.2
#: First and longest time for which an upstream remains failing, in seconds; a relapse within the
#: third time doubles it. Keys that come back to an upstream that still fails move twice.
FIRST_HOLD_S, MAX_HOLD_S, RELAPSE_S = 5.0, 40.0, 60.0
#: Number of requests after which an upstream on trial is considered well again, and number after
#: which it is even if it fails more of them, but not so many as to be failing again.
TRIAL_REQUESTS, LONG_TRIAL_REQUESTS = 6, 24
#: At most one of this many upstreams of a service is failing; of two, one may be.
UPSTREAMS_PER_FAILING = 3


class UpstreamState(Enum):
    """Whether an upstream serves its requests."""

    #: It serves most of them.
    SERVING = "serving"
    #: It fails most of them, and is to lose its keys.
    FAILING = "failing"
    #: It failed most of them, and is tried with a few keys.
    ON_TRIAL = "on_trial"


@dataclass(slots=True)
class _Episode:
    state: UpstreamState
    since: float
    #: Time for which it is failing, in seconds.
    hold_s: float
    #: Requests since it began, and the failures among them.
    requests: int = 0
    failures: int = 0


class FailingUpstreams:
    """Shares of failures, and the upstreams that are to lose their keys; not thread-safe."""

    def __init__(self) -> None:
        self._shares: dict[str, FailureShare] = {}
        self._slow_shares: dict[str, FailureShare] = {}
        #: The last change of the state of upstreams that have been failing.
        self._episodes: dict[str, _Episode] = {}

    def observe(self, report: LatencyReport, now: float) -> None:
        """Add a report of a sender.

        :param report: the report.
        :param now: the time in seconds.
        """
        name, requests = report.upstream_id, report.answered + report.failed
        share = self._shares.setdefault(name, FailureShare(SHARE_TIME_S, PRIOR_REQUESTS))
        share.add(requests, report.failed, now)
        slow_share = self._slow_shares.setdefault(
            name, FailureShare(SLOW_SHARE_TIME_S, SLOW_PRIOR_REQUESTS)
        )
        slow_share.add(requests, report.failed, now)
        episode = self._episodes.get(name)
        if episode is not None:
            episode.requests += requests
            episode.failures += report.failed

    def log_success(self, upstream_id: str) -> float:
        """Return the logarithm of the share of requests that an upstream serves, over some 30 s.

        :param upstream_id: the upstream.
        """
        share = self._slow_shares.get(upstream_id)
        return 0.0 if share is None else math.log(max(MIN_SUCCESS, 1.0 - share.value))

    def state(self, upstream_id: str) -> UpstreamState:
        """Return whether an upstream serves its requests.

        :param upstream_id: the upstream.
        """
        episode = self._episodes.get(upstream_id)
        return UpstreamState.SERVING if episode is None else episode.state

    def update(
        self, service: str, upstream_ids: Collection[str], excluded: Collection[str], now: float
    ) -> None:
        """Update which upstreams of a service are failing.

        :param service: name of the service.
        :param upstream_ids: its upstreams.
        :param excluded: upstreams that may fail only the requests of one zone.
        :param now: the time in seconds.
        """
        known = {
            name: share
            for name in upstream_ids
            if (share := self._shares.get(name)) is not None and share.requests(now) >= MIN_REQUESTS
        }
        for name in upstream_ids:
            self._update_state(service, name, known.get(name), now)
        count = sum(self.state(name) is UpstreamState.FAILING for name in upstream_ids)
        limit = len(upstream_ids) // UPSTREAMS_PER_FAILING
        limit = max(1, limit) if len(upstream_ids) > 1 else 0
        usual = usual_share(known.values())
        for name in sorted(known, key=lambda name: known[name].value, reverse=True):
            if count >= limit or known[name].value < MIN_FAILING_SHARE:
                return
            is_excepted = self.state(name) is UpstreamState.FAILING or name in excluded
            if not is_excepted and is_outlier(known[name], usual, now):
                self._begin(service, name, known[name].value, usual, now)
                count += 1

    def retain(self, upstream_ids: set[str]) -> None:
        """Discard what is known of all but some upstreams.

        :param upstream_ids: the upstreams that exist.
        """
        for name in self._slow_shares.keys() - upstream_ids:
            self.forget(name)

    def forget(self, upstream_id: str) -> None:
        """Discard what is known of an upstream.

        :param upstream_id: the upstream.
        """
        for known in (self._shares, self._slow_shares, self._episodes):
            known.pop(upstream_id, None)

    def _begin(self, service: str, name: str, share: float, usual: float, now: float) -> None:
        previous = self._episodes.get(name)
        hold_s = FIRST_HOLD_S
        if previous is not None and now - previous.since < RELAPSE_S:
            hold_s = min(MAX_HOLD_S, 2 * previous.hold_s)
        self._episodes[name] = _Episode(UpstreamState.FAILING, now, hold_s)
        log_state_change(
            "upstream.failing",
            upstream=name,
            service=service,
            share=round(share, 3),
            usual_share=round(usual, 3),
            at_least_s=hold_s,
        )

    def _update_state(
        self, service: str, name: str, share: FailureShare | None, now: float
    ) -> None:
        """Try a failing upstream again after some time, and let one on trial return."""
        episode = self._episodes.get(name)
        if episode is None or episode.state is UpstreamState.SERVING:
            return
        if episode.state is UpstreamState.FAILING:
            if now - episode.since < episode.hold_s:
                return
            if share is not None and share.value > MAX_RECOVERED_SHARE:
                return
            state = UpstreamState.ON_TRIAL
        else:
            if episode.requests < TRIAL_REQUESTS:
                return
            is_long = episode.requests >= LONG_TRIAL_REQUESTS
            max_share = MIN_FAILING_SHARE if is_long else MAX_RECOVERED_SHARE
            if episode.failures > max_share * episode.requests:
                return
            state = UpstreamState.SERVING
        self._episodes[name] = _Episode(state, now, episode.hold_s)
        log_state_change(
            f"upstream.{state.value}",
            upstream=name,
            service=service,
            requests=episode.requests,
            failures=episode.failures,
            after_s=round(now - episode.since, 1),
        )

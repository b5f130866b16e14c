"""Finds upstreams that fail only the requests that nodes of one zone send to them.

The requests to an upstream usually come from one node in its own zone, so that the reports do not
show whether it fails them all. If they fail, a node of another zone sends them for a short time:
either they succeed, and that zone keeps sending, or the upstream fails in general.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from foxtailshunt.assigning._failure_share import FailureShare, is_outlier, usual_share
from foxtailshunt.fleet import Upstream
from foxtailshunt.telemetry import log_state_change
from foxtailshunt.upstreams import LatencyReport

#: Time constant of the shares of failures, in seconds, and weight of the assumption that requests
#: are served, in requests.
SHARE_TIME_S, PRIOR_REQUESTS = 4.0, 1.0
#: Number of recent requests from which a share is known, and share of failures from which another
#: zone is tried.
MIN_REQUESTS, MIN_FAILING_SHARE = 2.5, 0.5
#: Number of requests from other zones that decide a trial, and its longest duration, in seconds. A
#: trial delays the moves of keys away from an upstream that fails in general.
TRIAL_REQUESTS, MAX_TRIAL_S = 4, 3.0
#: Share of failures in other zones up to which the failures concern one zone only.
MAX_OTHER_SHARE = 0.25
#: First and longest time for which a zone is avoided, in seconds; each one that follows is twice
#: as long.
FIRST_AVOIDED_S, MAX_AVOIDED_S = 10.0, 80.0
#: Time after a trial without success until the next one, in seconds.
TRIAL_INTERVAL_S = 30.0
#: At most one of this many upstreams of a service is on trial or avoids a zone.
UPSTREAMS_PER_AVOIDING = 3


class _Phase(Enum):
    ON_TRIAL = "on_trial"
    AVOIDED = "avoided"
    #: The zone sends again; no further trial before the end of the phase.
    ENDED = "ended"


@dataclass(slots=True)
class _Episode:
    phase: _Phase
    zone: str
    since: float
    #: Length of the phase, in seconds.
    length_s: float
    #: Length of the next avoidance, in seconds.
    avoided_s: float = FIRST_AVOIDED_S
    #: Requests of other zones since the trial began, and the failures among them.
    requests: int = 0
    failures: int = 0


class ZoneFailures:
    """Shares of failures by upstream and zone of the sender; not thread-safe."""

    def __init__(self) -> None:
        #: Shares by upstream and zone of the sender.
        self._shares: dict[str, dict[str, FailureShare]] = {}
        self._episodes: dict[str, _Episode] = {}

    def observe(self, report: LatencyReport, zone: str, now: float) -> None:
        """Add a report of a sender.

        :param report: the report.
        :param zone: zone of the sender.
        :param now: the time in seconds.
        """
        requests = report.answered + report.failed
        by_zone = self._shares.setdefault(report.upstream_id, {})
        share = by_zone.setdefault(zone, FailureShare(SHARE_TIME_S, PRIOR_REQUESTS))
        share.add(requests, report.failed, now)
        episode = self._episodes.get(report.upstream_id)
        if episode is not None and zone != episode.zone:
            episode.requests += requests
            episode.failures += report.failed

    def avoided_zones(self, upstream_id: str) -> tuple[str, ...]:
        """Return the zones whose nodes should not send to an upstream.

        :param upstream_id: the upstream.
        """
        episode = self._episodes.get(upstream_id)
        return () if episode is None or episode.phase is _Phase.ENDED else (episode.zone,)

    def update(self, upstreams: Collection[Upstream], zones: Collection[str], now: float) -> None:
        """Update which zones should not send to the upstreams of a service.

        :param upstreams: the upstreams of one service.
        :param zones: the zones that have nodes.
        :param now: the time in seconds.
        """
        for upstream in upstreams:
            self._update_episode(upstream, zones, now)
        names = {item.upstream_id for item in upstreams}
        shares = {
            (name, zone): share
            for name in names
            for zone, share in self._shares.get(name, {}).items()
            if share.requests(now) >= MIN_REQUESTS
        }
        count = sum(bool(self.avoided_zones(name)) for name in names)
        limit = max(1, len(names) // UPSTREAMS_PER_AVOIDING)
        usual = usual_share(shares.values())
        for (name, zone), share in shares.items():
            is_failing = share.value >= MIN_FAILING_SHARE and is_outlier(share, usual, now)
            has_other_zone = any(other != zone for other in zones)
            if count < limit and has_other_zone and is_failing and self._may_try(name, now):
                self._begin_trial(name, zone, share, now)
                count += 1

    def retain(self, upstream_ids: set[str]) -> None:
        """Discard what is known of all but some upstreams.

        :param upstream_ids: the upstreams that exist.
        """
        for name in self._shares.keys() - upstream_ids:
            self.forget(name)

    def forget(self, upstream_id: str) -> None:
        """Discard what is known of an upstream.

        :param upstream_id: the upstream.
        """
        self._shares.pop(upstream_id, None)
        self._episodes.pop(upstream_id, None)

    def _may_try(self, name: str, now: float) -> bool:
        episode = self._episodes.get(name)
        if episode is None:
            return True
        return episode.phase is _Phase.ENDED and now - episode.since >= episode.length_s

    def _begin_trial(self, name: str, zone: str, share: FailureShare, now: float) -> None:
        previous = self._episodes.get(name)
        avoided_s = FIRST_AVOIDED_S if previous is None else previous.avoided_s
        self._episodes[name] = _Episode(_Phase.ON_TRIAL, zone, now, MAX_TRIAL_S, avoided_s)
        log_state_change(
            "upstream.zone_on_trial", upstream=name, zone=zone, share=round(share.value, 3)
        )

    def _update_episode(self, upstream: Upstream, zones: Collection[str], now: float) -> None:
        episode = self._episodes.get(upstream.upstream_id)
        if episode is None or episode.phase is _Phase.ENDED:
            return
        has_ended = now - episode.since >= episode.length_s
        is_served = episode.failures <= MAX_OTHER_SHARE * episode.requests
        if all(zone == episode.zone for zone in zones):
            # No other zone has a node that could send.
            self._end(upstream, episode, TRIAL_INTERVAL_S, now)
        elif episode.phase is _Phase.ON_TRIAL:
            if episode.requests >= TRIAL_REQUESTS or (has_ended and episode.requests):
                if is_served:
                    self._avoid(upstream, episode, now)
                else:
                    self._end(upstream, episode, TRIAL_INTERVAL_S, now)
            elif has_ended:
                self._end(upstream, episode, TRIAL_INTERVAL_S, now)
        elif has_ended or (episode.requests >= TRIAL_REQUESTS and not is_served):
            self._end(upstream, episode, 0.0 if is_served else TRIAL_INTERVAL_S, now)

    def _avoid(self, upstream: Upstream, episode: _Episode, now: float) -> None:
        avoided_s = episode.avoided_s
        self._episodes[upstream.upstream_id] = _Episode(
            _Phase.AVOIDED, episode.zone, now, avoided_s, min(MAX_AVOIDED_S, 2 * avoided_s)
        )
        self._log("upstream.zone_avoided", upstream, episode, now, for_s=avoided_s)

    def _end(self, upstream: Upstream, episode: _Episode, until_next_s: float, now: float) -> None:
        self._episodes[upstream.upstream_id] = _Episode(
            _Phase.ENDED, episode.zone, now, until_next_s, episode.avoided_s
        )
        self._log("upstream.zone_used", upstream, episode, now)

    def _log(
        self, event: str, upstream: Upstream, episode: _Episode, now: float, **fields: object
    ) -> None:
        log_state_change(
            event,
            upstream=upstream.upstream_id,
            service=upstream.service,
            zone=episode.zone,
            phase=episode.phase.value,
            requests_of_others=episode.requests,
            failures_of_others=episode.failures,
            after_s=round(now - episode.since, 1),
            **fields,
        )

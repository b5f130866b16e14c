"""Determines which upstreams are cold, and until when.

An upstream is cold after a start, and whenever it states so. A start shows in its entry, which may
be late, or in a refused connection. The module performs no I/O and reads no clock.
"""

import threading
from collections.abc import Mapping
from dataclasses import dataclass

from foxtailshunt.fleet import Upstream

#: Age of a refused connection from which a list that still contains the upstream shows that the
#: same process writes its entry, in seconds. The entry of a terminated process is removed within
#: 4 s.
ENTRY_LIFETIME_S = 5.0
#: How long an upstream that is not listed is remembered, in seconds, so that it does not count as
#: started if its entry was missing for a moment.
REMEMBERED_S = 60.0
#: Maximum number of remembered upstreams that are not listed; the oldest are forgotten first.
MAX_UNLISTED = 4096


@dataclass(slots=True)
class _Run:
    """What is known of one run of an upstream; times are in seconds of the caller's clock."""

    #: Latest time at which it may have started; minus infinity if it started long ago.
    started_at: float
    #: Until when it is cold according to its own statements.
    stated_until: float = float("-inf")
    #: When it last refused a connection; None if it has not since it was last known to run.
    refused_at: float | None = None
    #: When it first responded after that; None if it has not.
    responded_at: float | None = None
    #: When it was last missing from the list; None while it is listed.
    unlisted_at: float | None = None


class WarmupStates:
    """The warm-up of each run of an upstream; safe to use from any thread.

    A run is identified by id, address and start time.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._runs: dict[object, _Run] = {}
        self._list: Mapping[str, Upstream] | None = None
        self._listed_at = float("-inf")
        #: When the last evacuation of a zone ended, by zone.
        self._evacuations_ended: dict[str, float] = {}

    def observe(self, upstreams: Mapping[str, Upstream], now: float, age_s: float) -> None:
        """Record a complete list of upstreams.

        Upstreams that the first list does not contain have started if a later one does. Those of
        the first list may have started long ago; they are cold only if they state so. Their start
        times are not compared with the time of day, since either clock may be wrong.

        :param upstreams: the upstreams by id; the same object if only its age has changed. The rest
            of a warm-up counts from now, unless the upstream is the same object as in the list
            before.
        :param now: the time in seconds.
        :param age_s: time since the list was read, in seconds.
        """
        with self._lock:
            self._listed_at = max(self._listed_at, now - age_s)
            if upstreams is self._list:
                return
            is_first, previous, self._list = self._list is None, self._list or {}, upstreams
            unlisted = self._runs
            runs: dict[object, _Run] = {}
            for item in upstreams.values():
                run = unlisted.pop(item.incarnation, None)
                if run is None or _is_forgotten(run, now):
                    run = _Run(float("-inf") if is_first else now)
                run.unlisted_at = None
                if item.warmup_s > 0 and previous.get(item.upstream_id) is not item:
                    run.stated_until = max(run.stated_until, now + item.warmup_s)
                runs[item.incarnation] = run
            for name, run in self._remembered(unlisted, now):
                runs[name] = run
            self._runs = runs

    def record_refusal(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream refused a connection; its process may have been replaced.

        :param upstream: the upstream.
        :param now: the time in seconds.
        """
        with self._lock:
            run = self._runs.get(upstream.incarnation)
            if run is not None:
                run.refused_at, run.responded_at = now, None

    def record_response(self, upstream: Upstream, stated_left_s: float, now: float) -> None:
        """Record a response of an upstream.

        :param upstream: the upstream.
        :param stated_left_s: rest of its warm-up that it states, in seconds; 0 if it states none.
        :param now: the time in seconds.
        """
        run = self._runs.get(upstream.incarnation)
        if run is None or (stated_left_s <= 0 and run.refused_at is None):
            return
        with self._lock:
            if stated_left_s > 0:
                run.stated_until = max(run.stated_until, now + stated_left_s)
            if run.refused_at is not None and run.responded_at is None:
                run.responded_at = now

    def record_evacuation_end(self, zone: str, now: float) -> None:
        """Record that upstreams of a zone may get requests again.

        :param zone: the zone.
        :param now: the time in seconds.
        """
        with self._lock:
            self._evacuations_ended[zone] = now

    def warm_at(self, upstream: Upstream, warmup_s: float, now: float) -> float:
        """Return when an upstream is warm, in seconds; not after ``now`` if it is warm.

        :param upstream: the upstream.
        :param warmup_s: duration of the warm-up after a start, in seconds.
        :param now: the time in seconds.
        """
        with self._lock:
            run = self._runs.get(upstream.incarnation)
            evacuated_until = self._evacuations_ended.get(upstream.zone, float("-inf")) + warmup_s
            if run is None:
                # An upstream that is in no list has started since the last one.
                return max(evacuated_until, now + warmup_s)
            if (
                run.refused_at is not None
                and run.unlisted_at is None
                and self._listed_at > run.refused_at + ENTRY_LIFETIME_S
            ):
                run.refused_at = run.responded_at = None
            warm_at = max(evacuated_until, run.started_at + warmup_s, run.stated_until)
            if run.refused_at is None:
                return warm_at
            # The process that refused the connection may be replaced at any time until it responds.
            responded_at = now if run.responded_at is None else run.responded_at
            return max(warm_at, responded_at + warmup_s)

    def _remembered(self, runs: dict[object, _Run], now: float) -> list[tuple[object, _Run]]:
        """Return those of the runs that are not listed which are to be remembered."""
        remembered = []
        for name, run in runs.items():
            if run.unlisted_at is None:
                run.unlisted_at = now
            # Without a start time, the next process at the address would be taken for this one.
            has_start_time = isinstance(name, tuple) and bool(name[-1])
            if has_start_time and not _is_forgotten(run, now):
                remembered.append((name, run))
        remembered.sort(key=lambda item: item[1].unlisted_at or 0.0)
        return remembered[-MAX_UNLISTED:]


def _is_forgotten(run: _Run, now: float) -> bool:
    return run.unlisted_at is not None and now - run.unlisted_at >= REMEMBERED_S

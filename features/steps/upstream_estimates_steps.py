"""Steps for the estimates of the speed of upstreams and for the load that they report."""

import heapq
import itertools
import random
import re
from collections.abc import Callable
from typing import Any

import eliot
from behave import given, then, when
from behave.runner import Context

from foxtailshunt.fleet import Upstream
from foxtailshunt.platform import UpstreamResponse
from foxtailshunt.relay import LoadReports
from foxtailshunt.upstreams import LatencyEstimator, LoadReport

_ROUTE_LATENCIES_S = {"stock": 0.13, "order": 0.17, "catalogue": 0.322, "statement": 0.524}
_NOISE_S, _NOISE_SHARE, _NOISE_FACTOR = 0.4, 0.2, 3.0
_LONG_SHARE, _LONG_FACTOR = 0.03, 7.0
_HIGHEST_PERCENT = 300
_REPEATED = re.compile(r"\{(.)\*(\d+)\}")


class EstimateSubject:
    """Upstreams that serve requests at a constant rate each, in virtual time."""

    def __init__(self, base_ratios: list[float]) -> None:
        self.now = 100.0
        self._rng = random.Random(5)
        self.latencies = LatencyEstimator(lambda: self.now)
        self.base_ratios = dict(enumerate(base_ratios))
        self.factors = dict.fromkeys(self.base_ratios, 1.0)
        self.has_slowdowns = self.has_long_requests = False
        self._slow_periods: dict[tuple[int, int], bool] = {}
        #: Returns the report in the response of an upstream, or None.
        self.report: Callable[[int], LoadReport | None] = lambda number: None
        #: Slow ratios of all upstreams after each second.
        self.history: list[tuple[float, list[float]]] = []

    def slowdown(self, number: int, at: float) -> float:
        if not self.has_slowdowns:
            return 1.0
        period = (number, int(at / _NOISE_S))
        if period not in self._slow_periods:
            self._slow_periods[period] = self._rng.random() < _NOISE_SHARE
        return _NOISE_FACTOR if self._slow_periods[period] else 1.0

    def run(self, rate_per_s: float, seconds: float) -> None:
        end, second = self.now + seconds, self.now + 1.0
        sequence = itertools.count()
        events: list[tuple[float, int, int, str, float]] = []
        for number in self.base_ratios:
            at = self.now
            while (at := at + self._rng.expovariate(rate_per_s)) < end:
                route = self._rng.choice(list(_ROUTE_LATENCIES_S))
                elapsed_s = self._elapsed_s(number, route, at)
                if at + elapsed_s < end:
                    heapq.heappush(
                        events, (at + elapsed_s, next(sequence), number, route, elapsed_s)
                    )
        while events:
            self.now, _, number, route, elapsed_s = heapq.heappop(events)
            self.latencies.record_response(route, str(number), elapsed_s)
            report = self.report(number)
            if report is not None:
                self.latencies.record_load(str(number), report)
            if self.now >= second:
                self.history.append((self.now, self.slow_ratios()))
                second += 1.0
        self.now = end

    def _elapsed_s(self, number: int, route: str, at: float) -> float:
        ratio = self.base_ratios[number] * self.factors[number] * self.slowdown(number, at)
        is_long = self.has_long_requests and self._rng.random() < _LONG_SHARE
        return _ROUTE_LATENCIES_S[route] * ratio * (_LONG_FACTOR if is_long else 1.0)

    def slow_ratios(self) -> list[float]:
        return [self.latencies.slow_ratio(str(number)) for number in self.base_ratios]

    def ratio_to_others(self, number: int, ratio: Callable[[str], float]) -> float:
        others = [ratio(str(other)) for other in self.base_ratios if other != number]
        return ratio(str(number)) / (sum(others) / len(others))


class LoadReportSubject:
    """An upstream whose responses have a given load report."""

    def __init__(self, value: str) -> None:
        self._response = UpstreamResponse(200, (("Load-Report", value),), b"")
        self._upstream = Upstream("u1", "counter", ("h", 1), "zone", 4, False, 0.0, 0)
        self.recorded: list[LoadReport] = []
        self.logged: list[dict[str, Any]] = []

    def record_load(self, upstream_id: str, report: LoadReport) -> None:
        self.recorded.append(report)

    def read(self, times: int) -> None:
        reports = LoadReports(self)
        eliot.add_destinations(self.logged.append)
        try:
            for _time in range(times):
                reports.record(self._upstream, self._response)
        finally:
            eliot.remove_destination(self.logged.append)


def _report(text: str) -> LoadReport:
    return LoadReport(*(int(part) for part in text.split(",")))


def _subject(context: Context) -> EstimateSubject:
    return context.estimate_subject


@given("upstreams with the base latency ratios {ratios}")
def _(context: Context, ratios: str) -> None:
    context.estimate_subject = EstimateSubject([float(ratio) for ratio in ratios.split()])


@given("no noise")
def _(context: Context) -> None:
    assert not _subject(context).has_slowdowns


@given("slowdowns by 3 for 0.4 s, a fifth of the time")
def _(context: Context) -> None:
    _subject(context).has_slowdowns = True


@given("3 % of the requests taking 7 times as long")
def _(context: Context) -> None:
    _subject(context).has_long_requests = True


@given("upstream {number:d} reports {report} in each response")
def _(context: Context, number: int, report: str) -> None:
    found = _report(report)
    _subject(context).report = lambda other: found if other == number else None


@given("upstream 0 reports its slowdowns and upstream 1 reports the opposite")
def _(context: Context) -> None:
    subject = _subject(context)

    def report(number: int) -> LoadReport:
        is_slow = subject.slowdown(number, subject.now) > 1
        states_slow = is_slow if number == 0 else not is_slow
        return LoadReport(4, 0, 4, _HIGHEST_PERCENT if states_slow else 100)

    subject.report = report


@when("they serve {rate:d} requests a second each for {seconds:d} s")
def _(context: Context, rate: int, seconds: int) -> None:
    _subject(context).run(rate, seconds)


@when(
    "upstream {number:d} takes {factor:d} times as long "
    "and they serve {rate:d} requests a second each for {seconds:d} s"
)
def _(context: Context, number: int, factor: int, rate: int, seconds: int) -> None:
    _subject(context).factors[number] = float(factor)
    _subject(context).run(rate, seconds)


@when("{seconds:d} s pass without requests")
def _(context: Context, seconds: int) -> None:
    _subject(context).now += seconds


@when("upstream {number:d} reports {report}")
def _(context: Context, number: int, report: str) -> None:
    _subject(context).latencies.record_load(str(number), _report(report))


@then("their slow ratios relative to each other have the base ratios within {percent:d} %")
def _(context: Context, percent: int) -> None:
    subject = _subject(context)
    found = subject.slow_ratios()
    scale = sum(found) / sum(subject.base_ratios.values())
    for ratio, base in zip(found, subject.base_ratios.values(), strict=True):
        assert abs(ratio / (scale * base) - 1) <= percent / 100, found


@then("after {seconds:d} s no slow ratio has been more than {percent:d} % from the mean")
def _(context: Context, seconds: int, percent: int) -> None:
    history = [item for item in _subject(context).history if item[0] > 100.0 + seconds]
    assert history
    for at, ratios in history:
        mean = sum(ratios) / len(ratios)
        worst = max(abs(ratio / mean - 1) for ratio in ratios)
        assert worst <= percent / 100, (at, ratios)


@then("the mean latency of each route is within {percent:d} % of that at the first upstream")
def _(context: Context, percent: int) -> None:
    for route, latency_s in _ROUTE_LATENCIES_S.items():
        mean_s = _subject(context).latencies.mean_latency_s(route)
        assert abs(mean_s / latency_s - 1) <= percent / 100, (route, mean_s)


@then("the latency expected at each upstream is within {percent:d} % of the true one")
def _(context: Context, percent: int) -> None:
    subject = _subject(context)
    for number, ratio in subject.base_ratios.items():
        for route, latency_s in _ROUTE_LATENCIES_S.items():
            expected_s = subject.latencies.expected_latency_s(route, str(number))
            assert abs(expected_s / (latency_s * ratio) - 1) <= percent / 100, (route, expected_s)


@then("the latency ratio of upstream {number:d} is at least {least:g} times that of the others")
def _(context: Context, number: int, least: float) -> None:
    ratio = _subject(context).ratio_to_others(number, _subject(context).latencies.latency_ratio)
    assert ratio >= least, ratio


@then("the latency ratio of upstream {number:d} is at most {most:g} times that of the others")
def _(context: Context, number: int, most: float) -> None:
    ratio = _subject(context).ratio_to_others(number, _subject(context).latencies.latency_ratio)
    assert ratio <= most, ratio


@then(
    "the latency ratio of upstream {number:d} is between {least:g} and {most:g} "
    "times that of the others"
)
def _(context: Context, number: int, least: float, most: float) -> None:
    ratio = _subject(context).ratio_to_others(number, _subject(context).latencies.latency_ratio)
    assert least <= ratio <= most, ratio


@then("its slow ratio is at least {least:g} times that of the others")
def _(context: Context, least: float) -> None:
    ratio = _subject(context).ratio_to_others(0, _subject(context).latencies.slow_ratio)
    assert ratio >= least, ratio


@then("the reports of upstream 0 are trusted at least twice as much as those of upstream 1")
def _(context: Context) -> None:
    trust = [_subject(context).latencies.report_trust(str(number)) for number in range(2)]
    assert trust[0] >= 2 * trust[1], trust


@given("an upstream whose responses have the header Load-Report: {value}")
def _(context: Context, value: str) -> None:
    expanded = _REPEATED.sub(lambda match: match[1] * int(match[2]), value)
    context.load_report_subject = LoadReportSubject(expanded)


@when("{count:d} of its responses are read")
def _(context: Context, count: int) -> None:
    context.load_report_subject.read(count)


@then("its load is unknown")
def _(context: Context) -> None:
    assert not context.load_report_subject.recorded


@then("its load is {running:d} running, {waiting:d} waiting, {slots:d} slots")
def _(context: Context, running: int, waiting: int, slots: int) -> None:
    recorded = context.load_report_subject.recorded
    assert recorded and set(recorded) == {LoadReport(running, waiting, slots)}, recorded


@then(
    "its load is {running:d} running, {waiting:d} waiting, {slots:d} slots, "
    "work takes {percent:d} %"
)
def _(context: Context, running: int, waiting: int, slots: int, percent: int) -> None:
    recorded = context.load_report_subject.recorded
    assert recorded and set(recorded) == {LoadReport(running, waiting, slots, percent)}, recorded


@then("{count:d} malformed reports are in the log, in at most {most:d} characters")
def _(context: Context, count: int, most: int) -> None:
    lines = context.load_report_subject.logged
    assert len(lines) == count, lines
    assert all(len(line["error"]) <= most for line in lines), lines

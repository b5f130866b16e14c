"""Records what the outcomes of requests state about their upstreams."""

from foxtailshunt.admission import Call
from foxtailshunt.errors import ResultCode
from foxtailshunt.fleet import Upstream
from foxtailshunt.relay._outcome import Outcome
from foxtailshunt.telemetry import Metrics
from foxtailshunt.upstreams import LatencyEstimator, LeavingUpstreams, RequestResult

#: Time without a response, as a multiple of the expected latency, from which a request that timed
#: out counts as failed by the upstream. With less time the request may only have been sent late;
#: 1 to 3% of the requests take 5 to 7 times as long.
UNANSWERED_LATENCIES = 5.0
#: First status that means that the upstream failed the request.
FIRST_ERROR_STATUS = 500


def rate_outcome(
    call: Call, outcome: Outcome, is_leaving: bool, elapsed_s: float, expected_latency_s: float
) -> RequestResult:
    """Return what the outcome of a request states about the upstream that it was sent to.

    :param call: the request.
    :param outcome: its outcome.
    :param is_leaving: whether the upstream states that it is leaving; it may refuse requests then.
    :param elapsed_s: time since the request was sent, in seconds.
    :param expected_latency_s: latency that was expected, in seconds.
    """
    code = outcome.code
    if code is ResultCode.OK:
        failed = outcome.status >= FIRST_ERROR_STATUS
        return RequestResult.ERROR if failed else RequestResult.SERVED
    if code is ResultCode.ANSWER_MISMATCH:
        return RequestResult.ERROR
    if code is ResultCode.UPSTREAM_CONNECTION_LOST:
        return RequestResult.NO_RESPONSE
    if code is ResultCode.DEADLINE_EXCEEDED:
        is_unanswered = elapsed_s >= UNANSWERED_LATENCIES * expected_latency_s
        return RequestResult.NO_RESPONSE if is_unanswered else RequestResult.NOT_RATED
    if code is ResultCode.NO_OWNER and not outcome.arrived:
        return RequestResult.UNREACHABLE
    is_refusal = code is ResultCode.REFUSED_BY_UPSTREAM or (
        # An upstream with keys refuses a request for a key that has moved, which is no failure.
        code is ResultCode.NO_OWNER
        and call.key is None
    )
    return RequestResult.REFUSED if is_refusal and not is_leaving else RequestResult.NOT_RATED


class ResultRecorder:
    """Records latencies and failures; safe to use from any thread.

    :param latencies: latency estimates by route and upstream.
    :param leaving: the upstreams that state that they are leaving.
    :param metrics: counters and histograms.
    """

    def __init__(
        self, latencies: LatencyEstimator, leaving: LeavingUpstreams, metrics: Metrics
    ) -> None:
        self._latencies = latencies
        self._leaving = leaving
        self._metrics = metrics

    def record(
        self, call: Call, upstream: Upstream, outcome: Outcome, elapsed_s: float
    ) -> RequestResult:
        """Record the outcome of a request and return what it states about the upstream.

        :param call: the request.
        :param upstream: the upstream that it was sent to.
        :param outcome: its outcome.
        :param elapsed_s: time since the request was sent, in seconds.
        """
        upstream_id = upstream.upstream_id
        is_leaving = self._leaving.is_leaving(upstream)
        expected_s = self._latencies.expected_latency_s(call.route, upstream_id)
        result = rate_outcome(call, outcome, is_leaving, elapsed_s, expected_s)
        if result is RequestResult.SERVED:
            self._latencies.record_response(call.route, upstream_id, elapsed_s)
            self._metrics.observe(
                "foxtailshunt_upstream_seconds",
                "Time of requests that upstreams served.",
                elapsed_s,
                {"service": call.service},
            )
        elif result.is_failure:
            self._latencies.record_failure(upstream_id, result)
            self._metrics.count(
                "foxtailshunt_upstream_failures_total",
                "Requests that upstreams failed, by kind of failure.",
                {"service": call.service, "kind": result.value},
            )
        elif outcome.code is ResultCode.DEADLINE_EXCEEDED:
            self._latencies.record_timeout(call.route, upstream_id, elapsed_s)
        return result

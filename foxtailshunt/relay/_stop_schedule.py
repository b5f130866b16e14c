"""Decides which requests of a stopping node are still sent to upstreams, and until when they run.

The module uses neither the network nor a clock: the caller passes the time, in seconds of the
monotonic clock.
"""

from foxtailshunt.errors import ResultCode
from foxtailshunt.relay._outcome import Outcome

#: Time between the deadline that upstreams get and the exit of the node, in seconds. Responses
#: return within it, and queued requests, which check every 0.2 s, are refused within it.
ANSWER_RESERVE_S = 0.3
#: Part of the reserve in which a response is still awaited, in seconds; the rest is for the caller.
LATE_RESPONSE_S = 0.15
#: Minimum time that a request that is not idempotent needs until the exit, as a multiple of its
#: route's mean latency: its caller cannot retry it if its deadline is cut short.
NOT_IDEMPOTENT_LATENCIES = 3.0
#: ``Retry-After`` of requests that a stopping node refuses, in seconds: the caller's next
#: connection goes to another node, which need not become free first.
STOPPING_RETRY_AFTER_S = 0.1


class StopSchedule:
    """The end of the time in which a node's requests may run; safe to use from any thread.

    Without :meth:`begin`, the time has no end.
    """

    def __init__(self) -> None:
        self._run_until = float("inf")

    def begin(self, exits_at: float) -> None:
        """Begin to stop.

        :param exits_at: when the node exits, whatever is still in progress.
        """
        self._run_until = exits_at - ANSWER_RESERVE_S

    @property
    def last_answer_at(self) -> float:
        """Return until when responses are awaited, in seconds; infinity if there is no end."""
        return self._run_until + LATE_RESPONSE_S

    def earlier(self, other: "StopSchedule") -> "StopSchedule":
        """Return the schedule that ends first, of this one and another.

        :param other: the other one.
        """
        return other if other._run_until < self._run_until else self

    def has_ended(self, now: float) -> bool:
        """Return whether no request may run any more.

        :param now: the time.
        """
        return now >= self._run_until

    def may_run(
        self, deadline: float, mean_latency_s: float, now: float, idempotent: bool = True
    ) -> bool:
        """Return whether a request that has not been sent may be sent to an upstream.

        A request whose own deadline is before the end may always: it cannot be cut.

        :param deadline: deadline of the request.
        :param mean_latency_s: mean latency of its route at upstreams, in seconds.
        :param now: the time.
        :param idempotent: whether its caller may retry it if it does not end in time.
        """
        if deadline <= self._run_until:
            return True
        needed_s = mean_latency_s * (1.0 if idempotent else NOT_IDEMPOTENT_LATENCIES)
        return now + needed_s <= self._run_until

    def limit(self, deadline: float) -> float:
        """Return the deadline of a request that is sent to an upstream.

        :param deadline: its own deadline.
        """
        return min(deadline, self._run_until)

    def response_deadline(self, deadline: float) -> float:
        """Return until when the response of an upstream is awaited.

        An upstream whose deadline was cut short ends the request itself; its response is preferred
        to one of this node.

        :param deadline: the request's own or limited deadline.
        """
        return deadline if deadline < self._run_until else self.last_answer_at


def stopping_outcome() -> Outcome:
    """Return the outcome of a request that a stopping node does not send any more."""
    return Outcome(
        ResultCode.STOPPING,
        "the node exits before the request can end",
        retry_after_s=STOPPING_RETRY_AFTER_S,
    )

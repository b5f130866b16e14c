"""State of a request while it is served, and the failure that a caller gets."""

from dataclasses import dataclass

from foxtailshunt.callers import Failure, Headers, RequestInfo, status_of
from foxtailshunt.errors import Family, ResultCode
from foxtailshunt.relay import STOPPING_RETRY_AFTER_S, Outcome
from foxtailshunt.routing import Route

#: ``Retry-After`` if there is no better estimate, in seconds.
DEFAULT_RETRY_AFTER_S = 0.5


@dataclass(slots=True)
class RequestState:
    """A request with its route, and what its attempts have come to so far."""

    #: What the caller states about the request.
    request_info: RequestInfo
    #: Route of the request.
    route: Route
    #: Service that was chosen for it.
    service: str
    #: When it arrived, in seconds of the monotonic clock.
    started_at: float
    #: When its response is due, in seconds of the monotonic clock.
    deadline: float
    #: True if the deadline is earlier than the caller's, since the node is stopping.
    shortened: bool = False
    #: Number of attempts.
    tries: int = 0
    #: Number of attempts that have reached an upstream.
    upstream_attempts: int = 0
    #: Ids of the upstreams that are not tried again.
    excluded: frozenset[str] = frozenset()
    #: Id of the last upstream; empty if there was none.
    last_upstream: str = ""
    #: Outcome of the last attempt that ran or may have run; None if there was none.
    may_have_run: Outcome | None = None

    @property
    def caller_deadline(self) -> float | None:
        """Return until when the caller waits, in seconds of the clock; None if it is not stated."""
        timeout_s = self.request_info.caller_timeout_s
        return None if timeout_s is None else self.started_at + timeout_s

    def final_outcome(self, last: Outcome) -> Outcome:
        """Return the outcome that the caller gets.

        A last attempt that was not run does not undo an earlier one.

        :param last: outcome of the last attempt.
        """
        was_not_run = last.family is Family.NOT_RUN and last.code is not ResultCode.CANCELLED
        return self.may_have_run if was_not_run and self.may_have_run else last


def find_host(headers: Headers) -> str:
    """Return the host that a request names; empty if it names none.

    :param headers: headers of the request.
    """
    return next((value for name, value in headers if name.lower() == "host"), "")


def build_failure(code: ResultCode, detail: str, retry_after_s: float | None = None) -> Failure:
    """Return the failure that a caller gets.

    :param code: result code.
    :param detail: explanation for the caller.
    :param retry_after_s: when a retry may succeed, in seconds; None for a default.
    """
    status = status_of(code)
    default_s = STOPPING_RETRY_AFTER_S if code is ResultCode.STOPPING else DEFAULT_RETRY_AFTER_S
    wait_s = (retry_after_s or default_s) if status.retry_after else None
    return Failure(status.status, code, detail, wait_s)

"""Classifies the HTTP responses of upstreams."""

import math
import re
from dataclasses import dataclass
from enum import Enum

from foxtailshunt.errors import DocumentError
from foxtailshunt.platform._durations import parse_warmup_s
from foxtailshunt.upstreams import LoadReport

_REQUEST_ID = "attempt-id"
#: A signature of status and body that only the upstream can create; callers verify it.
_SEAL = "response-seal"
#: Present if the upstream has not run the request and will never run it.
_NOT_EXECUTED = "not-executed"
#: ``Server-Leaving: 1`` is in all responses of an upstream that is leaving; not a header of the
#: connection, so it is passed on to callers.
_LEAVING, _IS_LEAVING = "server-leaving", "1"
#: For how long an upstream that responds with 503 wants no requests, in seconds, also fractions.
_RETRY_AFTER, _UNAVAILABLE_STATUS = "retry-after", 503
_SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?")
#: Remaining warm-up of the upstream that responds, in milliseconds.
_WARMUP_REMAINING = "warmup-remaining-ms"
_KEEP_ALIVE = "keep-alive"
#: Load of the upstream at this moment: ``running,waiting,slots``, and possibly the time that work
#: takes in percent of the usual time.
_LOAD_REPORT = "load-report"
#: A number of a load report; at most six digits, so that a hostile value cannot become expensive.
_LOAD_NUMBER = re.compile(r"[0-9]{1,6}")
#: Characters of a malformed load report that are quoted.
_MAX_QUOTED = 40
#: Sent for a key that the upstream does not own and for a request that expects another upstream.
_MISDIRECTED_STATUS = 421
_INSTANCE_ID = "instance-id"
_CONNECTION_HEADERS = frozenset(
    ("connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "te")
)
#: Statuses that callers take as a guarantee that the request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class AttemptResult(Enum):
    """The result of one attempt to run a request at an upstream."""

    #: The response comes from the upstream and may be passed to the caller.
    ANSWERED = "answered"
    #: The upstream has not run the request.
    NOT_RUN = "not run"
    #: The upstream does not own the key; it has not run the request.
    NOT_OWNER = "not owner"
    #: Another upstream now listens at the address; it has not run the request.
    REPLACED = "replaced"
    #: The response carries the id of another request.
    MISMATCHED = "foreign"
    #: The upstream failed; the request may have run.
    FAILED = "failed"

    @property
    def is_refusal(self) -> bool:
        """Return whether the upstream states that it has not run the request."""
        return self in (AttemptResult.NOT_RUN, AttemptResult.NOT_OWNER, AttemptResult.REPLACED)


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete response of an upstream."""

    #: HTTP status.
    status: int
    #: Headers in the order in which they were received.
    headers: tuple[tuple[str, str], ...]
    #: Response body.
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the value of the first header with a name, or None.

        :param name: header name in lower case.
        """
        return _find_header(self.headers, name)

    @property
    def states_leaving(self) -> bool:
        """Return whether the response states that the upstream is leaving."""
        return states_leaving(self.headers)

    def names_request(self, request_id: str) -> bool:
        """Return whether the response carries the id of a request.

        :param request_id: id of the request.
        """
        return self.header(_REQUEST_ID) == request_id

    @property
    def keep_alive_s(self) -> float | None:
        """Return the upstream's keep-alive timeout in seconds, or None if it states none."""
        for part in (self.header(_KEEP_ALIVE) or "").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                return float(value)
        return None

    @property
    def retry_after_s(self) -> float | None:
        """Return for how long the upstream wants no requests, in seconds; None if unstated.

        Only a response with status 503 states it.
        """
        value = (self.header(_RETRY_AFTER) or "").strip()
        if self.status != _UNAVAILABLE_STATUS or not _SECONDS.fullmatch(value):
            return None
        seconds = float(value)
        return seconds if math.isfinite(seconds) else None

    def warmup_remaining_s(self) -> float | None:
        """Return the stated rest of the upstream's warm-up, in seconds; None if unstated.

        :raises ValueError: the header is malformed or out of bounds.
        """
        value = self.header(_WARMUP_REMAINING)
        return None if value is None else parse_warmup_s(f"{value.strip()}ms")

    @property
    def load_report(self) -> LoadReport | None:
        """Return the load that the upstream reports, or None if it reports none.

        :raises DocumentError: the report is malformed.
        """
        value = self.header(_LOAD_REPORT)
        return None if value is None else _decode_load_report(value)

    def caller_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers to pass to the caller, without connection headers and body length."""
        return tuple(
            (name, value) for name, value in self.headers if name.lower() not in _CONNECTION_HEADERS
        )


def states_leaving(headers: tuple[tuple[str, str], ...]) -> bool:
    """Return whether a response states that its upstream is leaving.

    :param headers: headers of the response, as received or as passed to the caller.
    """
    return _find_header(headers, _LEAVING) == _IS_LEAVING


def classify_response(
    response: UpstreamResponse, request_id: str, upstream_id: str
) -> AttemptResult:
    """Classify the response to a request.

    :param response: a complete response.
    :param request_id: id of the request that was sent.
    :param upstream_id: id of the upstream that the request was sent to.
    """
    echoed_id = response.header(_REQUEST_ID)
    if echoed_id is not None and echoed_id != request_id:
        return AttemptResult.MISMATCHED
    if response.status == _MISDIRECTED_STATUS:
        responding_id = response.header(_INSTANCE_ID)
        is_same_upstream = responding_id in (None, upstream_id)
        return AttemptResult.NOT_OWNER if is_same_upstream else AttemptResult.REPLACED
    if response.header(_NOT_EXECUTED) is not None:
        return AttemptResult.NOT_RUN
    if response.status in _NOT_RUN_STATUSES or response.header("content-encoding") is not None:
        return AttemptResult.FAILED
    if response.status < 300:
        is_sealed = response.header(_SEAL) is not None and echoed_id == request_id
        return AttemptResult.ANSWERED if is_sealed else AttemptResult.FAILED
    return AttemptResult.ANSWERED


def _decode_load_report(value: str) -> LoadReport:
    parts = [part.strip(" \t") for part in value.split(",", 4)]
    if len(parts) not in (3, 4) or not all(_LOAD_NUMBER.fullmatch(part) for part in parts):
        raise DocumentError(f"load report {value[:_MAX_QUOTED]!r} is not running,waiting,slots")
    running, waiting, slots, *durations = (int(part) for part in parts)
    if slots == 0 or 0 in durations:
        raise DocumentError(f"load report {value[:_MAX_QUOTED]!r} has no slots or no duration")
    return LoadReport(running, waiting, slots, durations[0] if durations else None)


def _find_header(headers: tuple[tuple[str, str], ...], name: str) -> str | None:
    for key, value in headers:
        if key.lower() == name:
            return value
    return None

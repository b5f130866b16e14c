"""Calls to one upstream over HTTP/1.1; docs/INTERFACES.md has the messages."""

import json
from typing import Any
from urllib.parse import quote

from foxtailshunt.ownership import Address, Fence, slots_to_ranges
from foxtailshunt.timing import Clock
from foxtailshunt.upstream._connection import HttpAnswer, HttpRequest
from foxtailshunt.upstream._connection_pool import ConnectionPool
from foxtailshunt.upstream._interface import (
    CancelOutcome,
    ClockReading,
    Grant,
    GrantReply,
    UpstreamConnectionError,
    WorkOutcome,
    WorkReply,
    WorkRequest,
)

_GRANT_STATUSES = (200, 409)
_JSON_HEADERS = (("Content-Type", "application/json"),)
# Headers between the two ends of one connection, and those that this package sets itself.
_OWN_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-boot-id",
        "x-deadline-reading-ms",
        "x-fence",
        "x-key",
        "x-outcome",
        "x-request-id",
        "x-slot",
    )
)
# Every printable ASCII character but the percent sign.
_PLAIN_KEY_CHARACTERS = "".join(chr(code) for code in range(33, 127) if chr(code) != "%")


class HttpUpstream:
    """Client of one upstream; safe to use from any thread. Nothing is retried.

    One connection is kept for grants, so that work cannot hold them up.

    :param address: host and port of the upstream.
    :param connections: most connections at one time, grants included.
    :param clock: stamps the arrival of readings.
    """

    def __init__(self, address: Address, connections: int, clock: Clock) -> None:
        self.address = address
        self._clock = clock
        self._work = ConnectionPool(address, max(1, connections - 1), clock)
        self._control = self._work if connections == 1 else ConnectionPool(address, 1, clock)

    def send_grant(self, grant: Grant, timeout_s: float) -> GrantReply:
        """Send a grant or renew it.

        :param grant: the grant.
        :param timeout_s: longest wait in seconds; the connection is reset after it.
        :raises UpstreamConnectionError: no whole, well-formed answer came.
        """
        body = json.dumps(_grant_to_dict(grant), separators=(",", ":")).encode()
        req = HttpRequest("POST", "/control/grant", _JSON_HEADERS, body)
        answer = self._control.call(req, timeout_s, fresh=False)
        received_at = self._clock.now()
        try:
            return _grant_reply(answer, received_at)
        except (KeyError, TypeError, ValueError) as exc:
            raise _malformed_answer("grant", exc)

    def send_work(self, req: WorkRequest) -> WorkReply:
        """Send one request and wait for its whole answer.

        The caller compares the answer's request id with its own; the connection of an answer that
        carries another id is reset here.

        :param req: the request.
        :raises UpstreamConnectionError: no whole, well-formed answer came.
        """
        message = HttpRequest(req.method, req.target, _work_headers(req), req.body)
        answer = self._work.call(
            message,
            req.timeout_s,
            fresh=req.fresh_connection,
            accept=lambda answer: answer.header("x-request-id") == req.request_id,
        )
        try:
            return _work_reply(answer)
        except (KeyError, ValueError) as exc:
            raise _malformed_answer("request", exc)

    def cancel(self, request_id: str, timeout_s: float) -> CancelOutcome:
        """Ask the upstream to give up a request.

        :param request_id: the request.
        :param timeout_s: longest wait in seconds.
        :raises UpstreamConnectionError: no whole, well-formed answer came.
        """
        body = json.dumps({"request_id": request_id}).encode()
        req = HttpRequest("POST", "/control/cancel", _JSON_HEADERS, body)
        answer = self._work.call(req, timeout_s, fresh=False)
        try:
            return CancelOutcome(json.loads(answer.body)["outcome"])
        except (KeyError, TypeError, ValueError) as exc:
            raise _malformed_answer("cancellation", exc)

    def close(self) -> None:
        """Close all connections; those in use close when their call ends."""
        self._work.close()
        self._control.close()


def _malformed_answer(what: str, exc: Exception) -> UpstreamConnectionError:
    reason = f"malformed answer to a {what}: {type(exc).__name__}: {exc}"
    return UpstreamConnectionError(reason, sent=True, refused=False)


def _grant_to_dict(grant: Grant) -> dict[str, Any]:
    reading = grant.reading
    return {
        "fence": [grant.fence.term, grant.fence.version],
        "slots": slots_to_ranges(grant.slots),
        "pins": sorted(grant.pins),
        "excluded": sorted(grant.excluded),
        "reading_ms": reading.reading_ms if reading else None,
        "boot_id": reading.boot_id if reading else None,
        "ttl_ms": grant.ttl_ms,
        "sender": grant.sender,
    }


def _grant_reply(answer: HttpAnswer, received_at: float) -> GrantReply:
    if answer.status not in _GRANT_STATUSES:
        raise ValueError(f"status {answer.status}")
    value = json.loads(answer.body)
    term, version = value["highest_fence"]
    return GrantReply(
        accepted=value["accepted"] is True,
        released=value["released"] is True,
        highest_fence=Fence(int(term), int(version)),
        reading=ClockReading(str(value["boot_id"]), int(value["reading_ms"]), received_at),
        draining=bool(value["draining"]),
        warming=bool(value["warming"]),
    )


def _work_headers(req: WorkRequest) -> tuple[tuple[str, str], ...]:
    deadline_reading_ms = req.reading.reading_ms + req.deadline_after_reading_ms
    passed_on = (header for header in req.headers if header[0].lower() not in _OWN_HEADERS)
    return (
        ("X-Request-Id", req.request_id),
        ("X-Key", quote(req.key, safe=_PLAIN_KEY_CHARACTERS)),
        ("X-Slot", str(req.slot)),
        ("X-Fence", f"{req.fence.term}.{req.fence.version}"),
        ("X-Boot-Id", req.reading.boot_id),
        ("X-Deadline-Reading-Ms", str(deadline_reading_ms)),
        *passed_on,
    )


def _work_reply(answer: HttpAnswer) -> WorkReply:
    request_id = answer.header("x-request-id")
    if request_id is None:
        raise ValueError("no X-Request-Id")
    passed_back = (header for header in answer.headers if header[0].lower() not in _OWN_HEADERS)
    return WorkReply(
        request_id=request_id,
        outcome=WorkOutcome(answer.header("x-outcome")),
        status=answer.status,
        headers=tuple(passed_back),
        body=answer.body,
    )

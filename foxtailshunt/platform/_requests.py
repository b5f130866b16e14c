"""Reads the headers of callers' requests and builds those of requests to upstreams."""

from collections.abc import Iterable

from foxtailshunt.callers import Failure, Headers, Reply, RequestInfo
from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.routing import KEY_COUNT, RouteMatch

_REQUEST_ID = "attempt-id"
_DEADLINE = "deadline-ms"
_KEY = "shard-key"
_EXPECTED_UPSTREAM = "Expect-Instance"

#: Headers that apply to one connection only or are set again for each hop.
_CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        _DEADLINE,
        _EXPECTED_UPSTREAM.lower(),
    )
)


class PlatformCallerInterface:
    """Caller interface with the header names of the platform."""

    def request_id(self, headers: Headers) -> str:
        """Return the id of a caller's request; empty if it has none.

        :param headers: the request's headers.
        """
        return _first_value(headers, _REQUEST_ID) or ""

    def read(self, request_id: str, match: RouteMatch, headers: Headers) -> RequestInfo:
        """Return the deadline and the key from the headers of a caller's request.

        :param request_id: id of the request.
        :param match: the matched route.
        :param headers: the request's headers.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if a header is malformed.
        """
        deadline_ms = _first_value(headers, _DEADLINE)
        key = _first_value(headers, _KEY)
        return RequestInfo(
            request_id=request_id,
            caller_timeout_s=(
                None if deadline_ms is None else _parse_number(_DEADLINE, deadline_ms) / 1000
            ),
            key=None if key is None else _parse_number(_KEY, key, KEY_COUNT - 1),
        )

    def success(self, request_id: str, status: int, headers: Headers, body: bytes) -> Reply:
        """Return the reply that passes on an upstream's response.

        The response already carries the request id.

        :param request_id: id of the request.
        :param status: HTTP status of the upstream's response.
        :param headers: the upstream's headers to pass on.
        :param body: body of the upstream's response.
        """
        return Reply(status, headers, body)

    def failure(self, request_id: str, failure: Failure) -> Reply:
        """Return the reply to a request that no upstream answered.

        :param request_id: id of the request.
        :param failure: the reason.
        """
        headers = [("Content-Type", "text/plain"), ("X-Result-Code", str(int(failure.code)))]
        if failure.retry_after_s is not None:
            # The platform's callers accept fractions of a second.
            headers.append(("Retry-After", f"{failure.retry_after_s:.2f}"))
        body = f"{failure.code.name}: {failure.detail}\n".encode()
        return Reply(failure.status, tuple(headers), body)


def upstream_request_headers(
    headers: Headers, request_id: str, key: int | None, upstream_id: str, remaining_s: float
) -> Headers:
    """Return the headers of a request to an upstream, without its content length.

    :param headers: the headers of the caller's request.
    :param request_id: id of the request; empty if the caller gave none.
    :param key: key of the request; None for a service that is not sharded.
    :param upstream_id: id of the only upstream that may run the request.
    :param remaining_s: time until the deadline of the request, in seconds.
    """
    replaced = {_REQUEST_ID: ("Attempt-Id", request_id)} if request_id else {}
    if key is not None:
        replaced[_KEY] = ("Shard-Key", str(key))
    dropped = _CONNECTION_HEADERS | replaced.keys() | _connection_options(headers)
    kept = [(name, value) for name, value in headers if name.lower() not in dropped]
    kept.extend(replaced.values())
    kept.append(("Deadline-Ms", str(max(1, int(remaining_s * 1000)))))
    kept.append((_EXPECTED_UPSTREAM, upstream_id))
    return tuple(kept)


def _first_value(headers: Iterable[tuple[str, str]], wanted: str) -> str | None:
    for name, value in headers:
        if name.lower() == wanted:
            return value
    return None


def _connection_options(headers: Iterable[tuple[str, str]]) -> set[str]:
    options: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            options.update(part.strip().lower() for part in value.split(","))
    return options


def _parse_number(name: str, text: str, largest: int = 2**53) -> int:
    number = int(text) if text.isascii() and text.isdigit() and len(text) < 17 else -1
    if not 0 <= number <= largest:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, f"{name} is not a number in range: {text[:40]!r}"
        )
    return number

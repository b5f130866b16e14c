"""Headers of callers' requests and of requests to upstreams."""

from collections.abc import Iterable

from foxtailshunt.callers import Failure, Headers, Reply, RequestInfo
from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.routing import KEY_COUNT, RouteMatch

_REQUEST_ID = "attempt-id"
_DEADLINE = "deadline-ms"
_KEY = "shard-key"
_EXPECTED_UPSTREAM = "Expect-Instance"

#: Headers that concern one connection only, or that are set anew on each.
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
    """Callers that name their requests as the platform says."""

    def request_id(self, headers: Headers) -> str:
        """Return the id of a caller's attempt; empty if it has none.

        :param headers: the request's headers.
        """
        return _first(headers, _REQUEST_ID) or ""

    def read(self, request_id: str, match: RouteMatch, headers: Headers) -> RequestInfo:
        """Return what the headers of a caller's request say.

        :param request_id: id of the request.
        :param match: its route.
        :param headers: the request's headers.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if a header is malformed.
        """
        patience = _first(headers, _DEADLINE)
        key = _first(headers, _KEY)
        return RequestInfo(
            request_id=request_id,
            caller_timeout_s=None if patience is None else _whole(_DEADLINE, patience) / 1000,
            key=None if key is None else _whole(_KEY, key, KEY_COUNT - 1),
        )

    def success(self, request_id: str, status: int, headers: Headers, body: bytes) -> Reply:
        """Return the answer that carries an upstream's answer, which names its request itself.

        :param request_id: id of the request.
        :param status: the upstream's status.
        :param headers: the upstream's headers for the caller.
        :param body: the upstream's body.
        """
        return Reply(status, headers, body)

    def failure(self, request_id: str, failure: Failure) -> Reply:
        """Return the answer to a request that has no upstream's answer.

        :param request_id: id of the request.
        :param failure: why.
        """
        headers = [("Content-Type", "text/plain"), ("X-Result-Code", str(int(failure.code)))]
        if failure.retry_after_s is not None:
            # The platform's callers understand fractions of a second.
            headers.append(("Retry-After", f"{failure.retry_after_s:.2f}"))
        body = f"{failure.code.name}: {failure.detail}\n".encode()
        return Reply(failure.status, tuple(headers), body)


def upstream_request_headers(
    headers: Headers, request_id: str, key: int | None, upstream_id: str, remaining_s: float
) -> Headers:
    """Return the headers of a request to an upstream, without its length.

    :param headers: the headers of the caller's request.
    :param request_id: id of the request; empty if the caller gave none.
    :param key: number of its key; None if it has none.
    :param upstream_id: the only upstream that may run it.
    :param remaining_s: how long the answer is waited for, in seconds.
    """
    named = {_REQUEST_ID: ("Attempt-Id", request_id)} if request_id else {}
    if key is not None:
        named[_KEY] = ("Shard-Key", str(key))
    dropped = _CONNECTION_HEADERS | named.keys() | _named_by_connection(headers)
    kept = [(name, value) for name, value in headers if name.lower() not in dropped]
    kept.extend(named.values())
    kept.append(("Deadline-Ms", str(max(1, int(remaining_s * 1000)))))
    kept.append((_EXPECTED_UPSTREAM, upstream_id))
    return tuple(kept)


def _first(headers: Iterable[tuple[str, str]], wanted: str) -> str | None:
    for name, value in headers:
        if name.lower() == wanted:
            return value
    return None


def _named_by_connection(headers: Iterable[tuple[str, str]]) -> set[str]:
    named: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            named.update(part.strip().lower() for part in value.split(","))
    return named


def _whole(name: str, text: str, most: int = 2**53) -> int:
    number = int(text) if text.isascii() and text.isdigit() and len(text) < 17 else -1
    if not 0 <= number <= most:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST, f"{name} is not a number in range: {text[:40]!r}"
        )
    return number

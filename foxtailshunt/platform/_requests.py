"""Headers of callers' requests and of requests to upstreams."""

from collections.abc import Iterable
from dataclasses import dataclass

from foxtailshunt.errors import FoxtailshuntError, ResultCode

Headers = Iterable[tuple[str, str]]

_REQUEST_ID = "attempt-id"
_DEADLINE = "deadline-ms"
_KEY = "shard-key"
_EXPECTED_UPSTREAM = "Expect-Instance"
_LAST_KEY = 65_535

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


class RequestHeaderError(FoxtailshuntError):
    """A request whose headers cannot be understood.

    :param message: which header and why.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.BAD_REQUEST, message)


@dataclass(frozen=True, slots=True)
class CallFacts:
    """What a caller says about its request."""

    #: Id of this attempt of the caller.
    request_id: str
    #: How long the caller waits, in seconds; None if it does not say.
    patience_s: float | None
    #: The key that the request is about; None if it names none.
    key: int | None


def read_call(headers: Headers) -> CallFacts:
    """Return what the headers of a caller's request say.

    :param headers: the request's headers.
    :raises RequestHeaderError: a header is malformed.
    """
    found = {name.lower(): value for name, value in headers}
    patience = found.get(_DEADLINE)
    key = found.get(_KEY)
    return CallFacts(
        request_id=found.get(_REQUEST_ID, ""),
        patience_s=None if patience is None else _whole(_DEADLINE, patience) / 1000,
        key=None if key is None else _whole(_KEY, key, _LAST_KEY),
    )


def upstream_head(
    headers: Headers, upstream_id: str, remaining_s: float
) -> tuple[tuple[str, str], ...]:
    """Return the headers of a request to an upstream, without its length.

    :param headers: the headers of the caller's request.
    :param upstream_id: the only upstream that may run it.
    :param remaining_s: how long the answer is waited for, in seconds.
    """
    dropped = _CONNECTION_HEADERS | _named_by_connection(headers)
    kept = [(name, value) for name, value in headers if name.lower() not in dropped]
    kept.append(("Deadline-Ms", str(max(1, int(remaining_s * 1000)))))
    kept.append((_EXPECTED_UPSTREAM, upstream_id))
    return tuple(kept)


def _named_by_connection(headers: Headers) -> set[str]:
    named: set[str] = set()
    for name, value in headers:
        if name.lower() == "connection":
            named.update(part.strip().lower() for part in value.split(","))
    return named


def _whole(name: str, text: str, most: int = 2**53) -> int:
    number = int(text) if text.isascii() and text.isdigit() and len(text) < 17 else -1
    if not 0 <= number <= most:
        raise RequestHeaderError(f"{name} is not a number in range: {text[:40]!r}")
    return number

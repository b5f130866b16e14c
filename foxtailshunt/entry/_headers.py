"""Which headers pass between callers and upstreams."""

from foxtailshunt.protocol import Header

_HOP_BY_HOP = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
#: Headers that only this system sets; a caller's own are dropped.
_RESERVED = {
    "x-request-id",
    "x-key",
    "x-slot",
    "x-fence",
    "x-boot-id",
    "x-deadline-reading-ms",
    "x-outcome",
    "x-result-code",
    "x-rank",
    "x-attempt",
}
_FRAMING = {"content-length", "host", "expect"}
_NOT_TO_UPSTREAM = _HOP_BY_HOP | _RESERVED | _FRAMING
_NOT_TO_CALLER = _HOP_BY_HOP | _RESERVED | {"date", "server"}


def headers_to_upstream(headers: dict[bytes, bytes]) -> list[Header]:
    """Return the headers of a caller that are passed on.

    :param headers: headers by name as the HTTP server read them.
    """
    dropped = _NOT_TO_UPSTREAM | _named_by_connection(headers.get(b"Connection", b""))
    named = ((name.decode("latin-1"), value) for name, value in headers.items())
    return [
        Header(name, value.decode("latin-1"))
        for name, value in named
        if name.lower() not in dropped
    ]


def headers_to_caller(headers: list[Header], keep_length: bool) -> list[tuple[str, str]]:
    """Return the headers of an upstream that are passed back.

    :param headers: the upstream's headers.
    :param keep_length: whether the upstream's ``Content-Length`` stands, as for ``HEAD``.
    """
    return [
        (header.name, header.value)
        for header in headers
        if header.name.lower() not in _NOT_TO_CALLER
        and (keep_length or header.name.lower() != "content-length")
        and _is_safe(header)
    ]


def _named_by_connection(value: bytes) -> set[str]:
    if not value:
        return set()
    return {name.strip().lower() for name in value.decode("latin-1").split(",")}


def _is_safe(header: Header) -> bool:
    text = header.name + header.value
    return "\r" not in text and "\n" not in text and "\0" not in text

"""Fast parser for the simple request heads that nearly all callers send."""

import re
from dataclasses import dataclass

_SIMPLE_HEAD = re.compile(
    rb"(GET|HEAD|POST|PUT|PATCH|DELETE) (/(?!/)[!\"$-~]*) HTTP/1\.1\r\n"
    rb"((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*\r\n)*)\r\n"
)
#: Headers that change how the request is parsed.
_UNSUPPORTED_HEADERS = {b"Expect", b"Transfer-Encoding"}


@dataclass(frozen=True, slots=True)
class SimpleHead:
    """A well-formed request head that needs no special handling."""

    #: HTTP method.
    method: bytes
    #: Request target: path and query.
    target: bytes
    #: Header values by name, in title case.
    headers: dict[bytes, bytes]
    #: Length of the request body in bytes.
    content_length: int

    @property
    def closes_connection(self) -> bool:
        """Return whether the caller asks to close the connection after this request."""
        return self.headers.get(b"Connection", b"").lower() == b"close"


def parse_simple_head(head: bytes) -> SimpleHead | None:
    """Parse a request head; return None if it needs the full parser.

    :param head: request line and headers, including the empty line.
    """
    match = _SIMPLE_HEAD.fullmatch(head)
    if match is None:
        return None
    headers: dict[bytes, bytes] = {}
    for line in match[3].split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        name = name.title()
        if name in headers or name in _UNSUPPORTED_HEADERS:
            return None
        headers[name] = value.strip(b" \t")
    length = headers.get(b"Content-Length", b"0")
    if not length.isdigit():
        return None
    return SimpleHead(match[1], match[2], headers, int(length))

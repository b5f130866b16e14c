"""A fast reading of the heads that nearly all callers send."""

import re
from dataclasses import dataclass

_HEAD = re.compile(
    rb"(GET|HEAD|POST|PUT|PATCH|DELETE) (/(?!/)[!\"$-~]*) HTTP/1\.1\r\n"
    rb"((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*\r\n)*)\r\n"
)
#: Headers that change how a request is read.
_UNUSUAL = {b"Expect", b"Transfer-Encoding"}


@dataclass(frozen=True, slots=True)
class SimpleHead:
    """A well-formed head with nothing unusual in it."""

    #: HTTP method.
    method: bytes
    #: Path and query.
    target: bytes
    #: Headers by name, capitalized.
    headers: dict[bytes, bytes]
    #: Length of the body in bytes.
    content_length: int

    @property
    def closes_connection(self) -> bool:
        """Return whether the caller asks for the connection to be closed."""
        return self.headers.get(b"Connection", b"").lower() == b"close"


def parse_simple_head(head: bytes) -> SimpleHead | None:
    """Return a head's content, or None if it has to be read with more care.

    :param head: request line and headers with the empty line.
    """
    match = _HEAD.fullmatch(head)
    if match is None:
        return None
    headers: dict[bytes, bytes] = {}
    for line in match[3].split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        name = name.title()
        if name in headers or name in _UNUSUAL:
            return None
        headers[name] = value.strip(b" \t")
    length = headers.get(b"Content-Length", b"0")
    if not length.isdigit():
        return None
    return SimpleHead(match[1], match[2], headers, int(length))

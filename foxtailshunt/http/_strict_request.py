"""Requests of which nothing is read two ways."""

from cheroot.server import HTTPRequest

from foxtailshunt.http._plain_head import SimpleHead, parse_simple_head

#: Largest request line with headers, in bytes.
MAX_HEAD_BYTES = 16_384


class StrictHttpRequest(HTTPRequest):
    """A request that is refused if its framing is ambiguous."""

    def parse_request(self) -> None:
        """Read the head: at once if it is plain, else as cheroot does."""
        head = self.conn.rfile.read_head(MAX_HEAD_BYTES)
        plain = parse_simple_head(head) if head is not None else None
        if plain is not None and plain.content_length <= self.server.max_request_body_size:
            self._take_plain(plain)
            return
        if head is not None:
            self.conn.rfile.unread(head)
        super().parse_request()

    def _take_plain(self, plain: SimpleHead) -> None:
        self.started_request = True
        self.method = plain.method
        self.uri = plain.target
        self.path, _, self.qs = plain.target.partition(b"?")
        self.inheaders = plain.headers
        self.request_protocol = b"HTTP/1.1"
        self.response_protocol = "HTTP/1.1"
        self.close_connection = plain.closes_connection
        self.ready = True

    def read_request_headers(self) -> bool:
        """Read the headers; refuse ambiguous framing."""
        if not super().read_request_headers():
            return False
        length = self.inheaders.get(b"Content-Length")
        if length is not None and not length.isdigit():
            self.simple_response("400 Bad Request", "Content-Length is not a number.")
            return False
        if length is not None and b"Transfer-Encoding" in self.inheaders:
            self.simple_response(
                "400 Bad Request", "Content-Length and Transfer-Encoding exclude each other."
            )
            return False
        if any(b"\r" in value or b"\0" in value for value in self.inheaders.values()):
            self.simple_response("400 Bad Request", "A header has control characters.")
            return False
        return True

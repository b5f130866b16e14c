"""HTTP request parsing that rejects ambiguous framing."""

from cheroot.server import HTTPRequest

from foxtailshunt.http._simple_head import SimpleHead, parse_simple_head

#: Size limit of the request line with headers, in bytes.
MAX_HEAD_BYTES = 16_384


class StrictHttpRequest(HTTPRequest):
    """A cheroot request that is rejected if its framing is ambiguous."""

    def parse_request(self) -> None:
        """Parse the head with the fast parser if it is simple, otherwise with cheroot's parser."""
        head = self.conn.rfile.read_head(MAX_HEAD_BYTES)
        simple = parse_simple_head(head) if head is not None else None
        if simple is not None and simple.content_length <= self.server.max_request_body_size:
            self._use_simple_head(simple)
            return
        if head is not None:
            self.conn.rfile.unread(head)
        super().parse_request()

    def _use_simple_head(self, head: SimpleHead) -> None:
        self.started_request = True
        self.method = head.method
        self.uri = head.target
        self.path, _, self.qs = head.target.partition(b"?")
        self.inheaders = head.headers
        self.request_protocol = b"HTTP/1.1"
        self.response_protocol = "HTTP/1.1"
        self.close_connection = head.closes_connection
        self.ready = True

    def read_request_headers(self) -> bool:
        """Read the headers and reject ambiguous framing."""
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

"""Hands whole requests to the call handler and writes its answers."""

from http import HTTPStatus

from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway

from foxtailshunt.entry._answers import Answer
from foxtailshunt.entry._call_handler import CallerRequest

_REASONS = {status.value: status.phrase for status in HTTPStatus}
_REASONS[499] = "Client Closed Request"
_BODILESS = {204, 304}


class CallerGateway(Gateway):
    """Reads a request's body, has it handled and writes the answer."""

    def respond(self) -> None:
        """Answer the request."""
        body = self._read_body()
        if body is None:
            return
        req = self.req
        caller_request = CallerRequest(
            method=req.method.decode("latin-1"),
            target=req.uri.decode("latin-1"),
            headers=req.inheaders,
            body=body,
            sock=req.conn.socket,
        )
        answer = req.server.handler.handle(caller_request)
        self._write(answer)

    def _read_body(self) -> bytes | None:
        """Return the whole body, or None after the request was refused."""
        req = self.req
        try:
            body = req.rfile.read()
            if req.chunked_read:
                for _ in req.rfile.read_trailer_lines():
                    pass
        except ValueError:
            req.simple_response("400 Bad Request", "The chunked body is malformed.")
            return None
        except (MaxSizeExceeded, OSError) as exc:
            if isinstance(exc, OSError) and exc.errno is not None:
                raise
            req.simple_response("413 Content Too Large", "The body is too large.")
            return None
        if not req.chunked_read and len(body) != int(req.inheaders.get(b"Content-Length", 0)):
            req.simple_response("400 Bad Request", "The body ended early.")
            return None
        return body

    def _write(self, answer: Answer) -> None:
        req = self.req
        if req.server.is_draining:
            req.close_connection = True
        lines = [
            f"HTTP/1.1 {answer.status} {_REASONS.get(answer.status, 'Status')}",
            f"X-Request-Id: {answer.request_id}",
            f"X-Result-Code: {int(answer.code)}",
        ]
        lines += [f"{name}: {value}" for name, value in answer.headers]
        body = answer.body
        if req.method == b"HEAD" or answer.status in _BODILESS:
            body = b""
        elif answer.status not in _BODILESS:
            lines.append(f"Content-Length: {len(body)}")
        if req.close_connection:
            lines.append("Connection: close")
        elif req.response_protocol == "HTTP/1.0":
            lines.append("Connection: Keep-Alive")
        head = "\r\n".join(lines) + "\r\n\r\n"
        req.sent_headers = True
        req.conn.wfile.write(head.encode("latin-1", "replace") + body)

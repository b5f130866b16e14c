"""HTTP servers that take their address before they start any thread."""

import socket

from cheroot.server import HTTPServer

from foxtailshunt.errors import FoxtailshuntError, ResultCode


class EarlyBindingServer(HTTPServer):
    """A cheroot server whose address is bound apart from its start.

    A program binds all its addresses first, so that one in use ends it before anything runs.
    """

    _bound_socket: socket.socket | None = None

    def bind_listener(self) -> None:
        """Bind the address; nothing listens and no thread runs yet.

        :raises FoxtailshuntError: with ``ADDRESS_IN_USE`` if the address cannot be bound.
        """
        host, port = self.bind_addr
        try:
            super().bind(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as exc:
            raise FoxtailshuntError(
                ResultCode.ADDRESS_IN_USE, f"cannot listen on {host}:{port}: {exc}"
            )
        self._bound_socket = self.socket

    def bind(self, family: int, type: int, proto: int = 0) -> socket.socket:  # noqa: A002
        """Return the socket that is bound already; called by the server as it starts.

        :param family: address family.
        :param type: type of socket.
        :param proto: protocol.
        """
        if self._bound_socket is None:
            return super().bind(family, type, proto)
        self.socket = self._bound_socket
        return self.socket

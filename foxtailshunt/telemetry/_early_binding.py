"""HTTP server whose socket is bound before any thread starts."""

import socket

from cheroot.server import HTTPServer

from foxtailshunt.errors import FoxtailshuntError, ResultCode


class EarlyBindingServer(HTTPServer):
    """A cheroot server whose socket is bound before the server starts.

    A program binds all its addresses first, so that it exits before any service runs if one of
    them is in use.
    """

    _bound_socket: socket.socket | None = None

    def bind_listener(self) -> None:
        """Bind the socket, without listening or starting a thread.

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
        """Return the socket that is already bound; called by cheroot when the server starts.

        :param family: address family.
        :param type: socket type.
        :param proto: protocol number.
        :returns: the socket to listen on.
        """
        if self._bound_socket is None:
            return super().bind(family, type, proto)
        self.socket = self._bound_socket
        return self.socket

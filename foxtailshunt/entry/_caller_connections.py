"""The connections that wait for their next request."""

import time

from cheroot.connections import ConnectionManager

from foxtailshunt.entry._caller_connection import CallerConnection

#: Time in which a caller must have sent a whole request, in seconds.
REQUEST_READ_TIMEOUT_S = 5.0
#: Time after which a connection without a request is closed, in seconds.
IDLE_TIMEOUT_S = 75.0


class CallerConnections(ConnectionManager):
    """Closes connections whose next request takes too long to arrive."""

    def stop(self) -> None:
        """Stop the selector thread; requests that have arrived are still handed to workers."""
        super().stop()
        self.server.socket.setblocking(False)
        while (conn := self._from_server_socket(self.server.socket)) is not None:
            self.server.process_conn(conn)

    def close(self) -> None:
        """Close the connections on which no request has arrived."""
        for number, conn in self._callers():
            self._selector.unregister(number)
            self.server.process_last(conn)
        self._selector.close()

    def _expire(self, threshold: float) -> None:
        now = time.time()
        for number, conn in self._callers():
            if _is_overdue(conn, now, self.server.request_read_timeout_s):
                self._selector.unregister(number)
                self.server.expire(conn)
        self.server.lingering.drop_received(now)

    def _callers(self) -> list[tuple[int, CallerConnection]]:
        connections = list(self._selector.connections)
        return [(number, conn) for number, conn in connections if conn is not self.server]


def _is_overdue(conn: CallerConnection, now: float, read_timeout_s: float) -> bool:
    if conn.partial_since is not None:
        return conn.partial_since < now - read_timeout_s
    limit_s = IDLE_TIMEOUT_S if conn.is_used else read_timeout_s
    return conn.last_used < now - limit_s

"""A pool of connections to one upstream."""

import threading
from collections.abc import Callable

from foxtailshunt.ownership import Address
from foxtailshunt.timing import Clock
from foxtailshunt.upstream._connection import HttpAnswer, HttpRequest, UpstreamConnection
from foxtailshunt.upstream._interface import UpstreamConnectionError

#: Idle time after which a connection is not trusted with work that must not repeat, in seconds.
TRUSTED_IDLE_S = 0.5

#: Tells whether an answer belongs to the request.
AnswerCheck = Callable[[HttpAnswer], bool]


def _accept_any(answer: HttpAnswer) -> bool:
    return True


class ConnectionPool:
    """Keeps at most a fixed number of connections; each call takes one for itself.

    :param address: host and port of the upstream.
    :param limit: most connections at one time, idle ones included.
    :param clock: tells how long a connection stood idle.
    """

    def __init__(self, address: Address, limit: int, clock: Clock) -> None:
        self.address = address
        self._limit = limit
        self._clock = clock
        self._freed = threading.Condition()
        # The connection used last stands last.
        self._idle: list[UpstreamConnection] = []
        self._in_use = 0
        self._closed = False

    def call(
        self, req: HttpRequest, timeout_s: float, fresh: bool, accept: AnswerCheck = _accept_any
    ) -> HttpAnswer:
        """Send a request on an idle connection or a new one, and wait for the whole answer.

        :param req: the request.
        :param timeout_s: longest wait in seconds, connecting and waiting for a connection included.
        :param fresh: True if a connection that stood idle is not good enough.
        :param accept: False for an answer after which the connection must be reset.
        :raises UpstreamConnectionError: the connection was reset; nothing is retried.
        """
        deadline = self._clock.now() + timeout_s
        conn = self._take(timeout_s, fresh)
        try:
            remaining_s = deadline - self._clock.now()
            if remaining_s <= 0:
                raise UpstreamConnectionError("no time is left", sent=False, refused=False)
            answer = conn.exchange(req, remaining_s)
            conn.last_success = self._clock.now()
            if not accept(answer):
                conn.reset()
            return answer
        except BaseException:
            conn.reset()
            raise
        finally:
            self._put_back(conn)

    def discard_idle(self, used_before: float) -> None:
        """Reset the idle connections that have not answered since a moment.

        :param used_before: the moment, in seconds of the clock.
        """
        with self._freed:
            suspects = [conn for conn in self._idle if conn.last_success <= used_before]
            self._idle = [conn for conn in self._idle if conn.last_success > used_before]
            self._freed.notify_all()
        for conn in suspects:
            conn.reset()

    def close(self) -> None:
        """Close idle connections; those in use close when their call ends."""
        with self._freed:
            self._closed = True
            idle, self._idle = self._idle, []
        for conn in idle:
            conn.close()

    def _take(self, timeout_s: float, fresh: bool) -> UpstreamConnection:
        self._reserve(timeout_s)
        try:
            return self._idle_connection(fresh) or self._new_connection()
        except BaseException:
            self._release()
            raise

    def _reserve(self, timeout_s: float) -> None:
        with self._freed:
            if not self._freed.wait_for(lambda: self._in_use < self._limit, timeout_s):
                raise UpstreamConnectionError("all connections are in use", False, False)
            self._in_use += 1

    def _release(self) -> None:
        with self._freed:
            self._in_use -= 1
            self._freed.notify()

    def _idle_connection(self, fresh: bool) -> UpstreamConnection | None:
        while True:
            with self._freed:
                conn = self._idle.pop() if self._idle else None
            if conn is None:
                return None
            if fresh and self._clock.now() - conn.last_success > TRUSTED_IDLE_S:
                self._keep(conn)
                return None
            if conn.is_quiet():
                return conn
            conn.reset()

    def _new_connection(self) -> UpstreamConnection:
        self._make_room()
        conn = UpstreamConnection(self.address)
        conn.open()
        conn.last_success = self._clock.now()
        return conn

    def _make_room(self) -> None:
        with self._freed:
            over = len(self._idle) + self._in_use > self._limit
            oldest = self._idle.pop(0) if over and self._idle else None
        if oldest is not None:
            oldest.close()

    def _put_back(self, conn: UpstreamConnection) -> None:
        if conn.timed_out:
            self.discard_idle(conn.last_success)
        self._keep(conn)
        self._release()

    def _keep(self, conn: UpstreamConnection) -> None:
        with self._freed:
            keep = conn.reusable and not self._closed
            if keep:
                self._idle.append(conn)
        if not keep:
            conn.close()

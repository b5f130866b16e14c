"""Order of the responses on one connection whose requests may overlap."""

import threading
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from foxtailshunt.memory import Reservation

#: Maximum number of requests of one connection that are in progress or wait for their response to
#: be written.
MAX_OVERLAPPING = 8
#: Maximum size of the bodies of these requests and of their unwritten responses, in bytes. A single
#: request may exceed it.
MAX_OVERLAPPING_BYTES = 256 * 1024

#: Returns the parts of a response; its argument tells whether the response closes the connection.
Render = Callable[[bool], Sequence[bytes]]
#: Sends the parts of a response, and releases its memory.
Write = Callable[[Sequence[bytes], Reservation | None], None]


@dataclass(slots=True, eq=False)
class Turn:
    """A request's place in the order of responses."""

    #: True if other idempotent requests may be in progress at the same time.
    idempotent: bool
    #: Size of the request's body, then of the response, in bytes.
    size: int
    #: Renders the response; None while the request is in progress.
    render: Render | None = None
    #: True if the connection is to be closed after the response.
    closes: bool = False
    #: Memory of the response; None if it takes none.
    memory: Reservation | None = None


class ResponseOrder:
    """Admits the requests of a connection and writes their responses in the same order.

    Idempotent requests may overlap. Any other request starts when the ones before it have ended,
    and none behind it starts before it has ended. A response that closes the connection is the last
    one: no request behind it is admitted.

    :param write: sends a response to the caller; raises ``OSError`` if that fails.
    :param is_draining: returns whether the connection is to be closed after the responses to the
        requests that have been admitted.
    """

    def __init__(self, write: Write, is_draining: Callable[[], bool]) -> None:
        self._write = write
        self._is_draining = is_draining
        self._changed = threading.Condition()
        self._turns: deque[Turn] = deque()
        self._is_writing = False
        self._is_closing = False
        self._has_failed = False
        #: True after a response that closes the connection was written.
        self.has_sent_last = False

    @property
    def is_closing(self) -> bool:
        """Return whether no more requests are admitted."""
        return self._is_closing

    def admit(self, idempotent: bool, size: int, memory: Reservation | None = None) -> Turn | None:
        """Wait until a request may start; return its turn, or None if it must not be passed on.

        :param idempotent: whether the request may overlap with other idempotent ones.
        :param size: size of its body in bytes.
        :param memory: memory of its response, which is released when that has been written.
        """
        with self._changed:
            while not self._is_closing and not self._may_start(idempotent, size):
                self._changed.wait()
            if self._is_closing:
                return None
            turn = Turn(idempotent, size, memory=memory)
            self._turns.append(turn)
            return turn

    def may_read_ahead(self) -> bool:
        """Return whether the next request may be read before the admitted ones have ended."""
        with self._changed:
            return not self._is_closing and self._may_start(True, 1)

    def wait_until_empty(self) -> None:
        """Wait until all responses have been written, or the connection has failed."""
        with self._changed:
            while self._turns and not self._has_failed:
                self._changed.wait()

    def complete(self, turn: Turn, render: Render, size: int, closes: bool) -> bool:
        """Set the response of a request, and write all responses whose turn has come.

        :param turn: the request's turn.
        :param render: returns the bytes of the response.
        :param size: size of the response's body in bytes.
        :param closes: whether the connection is to be closed after the response.
        :returns: whether this call has written the last response that was due; no other call has
            returned or will return True for the same one.
        :raises OSError: writing failed; no further response is written.
        """
        with self._changed:
            is_dropped = turn not in self._turns
            turn.render, turn.size, turn.closes = render, size, closes
            if closes:
                self._is_closing = True
            may_write = not self._is_writing
            self._is_writing = True
        if is_dropped:
            # The connection has failed, or an earlier response was the last one.
            _release([turn])
        return self._write_due() if may_write else False

    def close_after(self, render: Render) -> None:
        """Add a response of this node's own behind those to the admitted requests, and close.

        :param render: returns the bytes of the response.
        :raises OSError: writing failed.
        """
        with self._changed:
            if self._is_closing:
                return
            turn = Turn(idempotent=True, size=0)
            self._turns.append(turn)
        self.complete(turn, render, 0, closes=True)

    def stop_admitting(self) -> None:
        """Admit no further request; the last response that is still due closes the connection."""
        with self._changed:
            self._is_closing = True
            self._changed.notify_all()

    def fail(self) -> None:
        """Write no further response and admit no further request."""
        with self._changed:
            self._is_closing = self._has_failed = True
            dropped = list(self._turns)
            self._turns.clear()
            self._changed.notify_all()
        _release(dropped)

    def _may_start(self, idempotent: bool, size: int) -> bool:
        if not self._turns:
            return True
        if not idempotent or not all(turn.idempotent for turn in self._turns):
            return False
        waiting_bytes = sum(turn.size for turn in self._turns)
        return len(self._turns) < MAX_OVERLAPPING and waiting_bytes + size <= MAX_OVERLAPPING_BYTES

    def _write_due(self) -> bool:
        while True:
            with self._changed:
                if not self._turns or self._turns[0].render is None:
                    self._is_writing = False
                    return not self._turns
                turn = self._turns[0]
                is_last = len(self._turns) == 1
                if is_last and self._is_draining():
                    self._is_closing = True
                closes = turn.closes or (is_last and self._is_closing)
                data = turn.render(closes)
            try:
                self._write(data, turn.memory)
            except OSError:
                self.fail()
                raise
            with self._changed:
                if self._turns:
                    self._turns.popleft()
                dropped = []
                if closes:
                    self.has_sent_last = True
                    dropped = list(self._turns)
                    self._turns.clear()
                self._changed.notify_all()
            _release(dropped)


def _release(turns: Sequence[Turn]) -> None:
    """Release the memory of responses that are not written."""
    for turn in turns:
        if turn.memory is not None:
            turn.memory.release()

"""One proxied connection: two sockets and a thread for each direction."""

import socket
import threading

from standins.proxy._faults import Direction
from standins.proxy._lane import ByteForwarder, reset


class ProxiedConnection:
    """Joins a caller's connection with one to the target.

    :param caller: the caller's socket.
    :param target: the socket to the target; None if the target learns nothing of the connection.
    """

    def __init__(self, caller: socket.socket, target: socket.socket | None) -> None:
        self._far_end: socket.socket | None = None
        if target is None:
            target, self._far_end = socket.socketpair()
        self._sockets = (caller, target)
        self._lanes = {
            Direction.TO_TARGET: ByteForwarder(caller, target),
            Direction.TO_CALLER: ByteForwarder(target, caller),
        }
        to_target, to_caller = self._lanes.values()
        to_target.opposite = to_caller
        to_caller.opposite = to_target

    def run(self) -> None:
        """Move bytes both ways until both directions have ended, then close."""
        to_target, to_caller = self._lanes.values()
        other = threading.Thread(target=to_caller.run, name="proxy-to-caller", daemon=True)
        other.start()
        to_target.run()
        if self._far_end is not None:
            self._far_end.close()
        other.join()
        for sock in self._sockets:
            sock.close()

    def cut(self) -> None:
        """Reset both ends."""
        for lane in self._lanes.values():
            lane.is_cut = True
        for sock in self._sockets:
            reset(sock)

    def silence(self, direction: Direction) -> None:
        """Lose bytes and closings from now on.

        :param direction: in which direction.
        """
        for single, lane in self._lanes.items():
            if direction.includes(single):
                lane.is_silent = True

    def delay(self, delay_s: float) -> None:
        """Hold bytes up in both directions.

        :param delay_s: by how much, in seconds.
        """
        for lane in self._lanes.values():
            lane.delay_s = delay_s

    def truncate(self, byte_count: int | None) -> None:
        """Close after a number of bytes more to the caller.

        :param byte_count: how many bytes; None for no limit.
        """
        self._lanes[Direction.TO_CALLER].truncate_after(byte_count)

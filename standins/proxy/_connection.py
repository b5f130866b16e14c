"""One proxied connection: two sockets, and a thread for each direction."""

import socket
import threading

from standins.proxy._byte_forwarder import ByteForwarder, reset
from standins.proxy._faults import Direction


class ProxiedConnection:
    """Forwards bytes between a caller's connection and one to the target.

    :param caller: the caller's socket.
    :param target: the socket to the target; None if the target must not see the connection.
    """

    def __init__(self, caller: socket.socket, target: socket.socket | None) -> None:
        self._socketpair_peer: socket.socket | None = None
        if target is None:
            target, self._socketpair_peer = socket.socketpair()
        self._sockets = (caller, target)
        self._forwarders = {
            Direction.TO_TARGET: ByteForwarder(caller, target),
            Direction.TO_CALLER: ByteForwarder(target, caller),
        }
        to_target, to_caller = self._forwarders.values()
        to_target.opposite = to_caller
        to_caller.opposite = to_target

    def run(self) -> None:
        """Forward bytes until both directions have ended, then close both sockets."""
        to_target, to_caller = self._forwarders.values()
        to_caller_thread = threading.Thread(
            target=to_caller.run, name="proxy-to-caller", daemon=True
        )
        to_caller_thread.start()
        to_target.run()
        if self._socketpair_peer is not None:
            self._socketpair_peer.close()
        to_caller_thread.join()
        for sock in self._sockets:
            sock.close()

    def cut(self) -> None:
        """Reset both ends."""
        for forwarder in self._forwarders.values():
            forwarder.is_cut = True
        for sock in self._sockets:
            reset(sock)

    def silence(self, direction: Direction) -> None:
        """Drop bytes and connection closes from now on.

        :param direction: the direction in which they are dropped.
        """
        for forwarder_direction, forwarder in self._forwarders.items():
            if direction.includes(forwarder_direction):
                forwarder.is_silent = True

    def delay(self, delay_s: float) -> None:
        """Delay bytes in both directions.

        :param delay_s: the delay in seconds.
        """
        for forwarder in self._forwarders.values():
            forwarder.delay_s = delay_s

    def truncate(self, byte_count: int | None) -> None:
        """Close the connection after a number of further bytes to the caller.

        :param byte_count: the number of bytes; None for no limit.
        """
        self._forwarders[Direction.TO_CALLER].truncate_after(byte_count)

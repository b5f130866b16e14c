"""Waits for an answer while watching whether its caller is still there."""

import select
import socket
import time
from enum import Enum


class WaitOutcome(Enum):
    """Why a wait ended."""

    #: The socket has something to read, or failed.
    READABLE = "readable"
    #: The time was up.
    TIMED_OUT = "timed out"
    #: The caller closed its connection.
    CALLER_DISCONNECTED = "caller gone"


def wait_readable(
    sock: socket.socket, timeout_s: float, caller: socket.socket | None
) -> WaitOutcome:
    """Wait until a socket is readable, unless its caller goes away first.

    :param sock: where the answer comes.
    :param timeout_s: longest wait in seconds.
    :param caller: the connection of the one who waits for the answer; None to watch none.
    """
    deadline = time.monotonic() + timeout_s
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    watched = caller is not None and caller.fileno() >= 0
    if watched:
        poll.register(caller, select.POLLIN)
    while True:
        events = dict(poll.poll(max(0.0, deadline - time.monotonic()) * 1000))
        if sock.fileno() in events:
            return WaitOutcome.READABLE
        if not events:
            return WaitOutcome.TIMED_OUT
        if caller_disconnected(caller):
            return WaitOutcome.CALLER_DISCONNECTED
        # The caller sent its next request early; nothing more can be seen on its connection.
        poll.unregister(caller)


def caller_disconnected(caller: socket.socket | None) -> bool:
    """Return whether a caller has closed its connection.

    :param caller: the connection; None for a caller that is not watched.
    """
    if caller is None:
        return False
    if caller.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(caller, select.POLLIN)
    # A socket with a time-out would wait inside recv, whatever its flags say.
    if not poll.poll(0):
        return False
    try:
        return not caller.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


def is_idle(sock: socket.socket) -> bool:
    """Return whether a socket is open and has nothing to read.

    :param sock: the socket.
    """
    timeout = sock.gettimeout()
    sock.setblocking(False)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    finally:
        sock.settimeout(timeout)
    return False

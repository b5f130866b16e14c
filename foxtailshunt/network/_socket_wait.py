"""Waiting for a response while checking that its caller is still connected."""

import select
import socket
import time
from enum import Enum

#: Reported also while the connection has unread bytes.
_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class WaitOutcome(Enum):
    """Reason for which a wait ended."""

    #: The socket has data to read, or has failed.
    READABLE = "readable"
    #: The timeout elapsed.
    TIMED_OUT = "timed out"
    #: The caller closed its connection.
    CALLER_DISCONNECTED = "caller gone"


def wait_readable(
    sock: socket.socket, timeout_s: float, caller: socket.socket | None
) -> WaitOutcome:
    """Wait until a socket is readable, the timeout elapses or the caller disconnects.

    :param sock: socket on which the response arrives.
    :param timeout_s: longest wait in seconds.
    :param caller: connection of the caller that waits for the response; None for no such check.
    """
    deadline = time.monotonic() + timeout_s
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    check_caller = caller is not None and caller.fileno() >= 0
    if check_caller:
        poll.register(caller, select.POLLIN | select.POLLRDHUP)
    while True:
        events = dict(poll.poll(max(0.0, deadline - time.monotonic()) * 1000))
        if sock.fileno() in events:
            return WaitOutcome.READABLE
        if not events:
            return WaitOutcome.TIMED_OUT
        if caller_disconnected(caller):
            return WaitOutcome.CALLER_DISCONNECTED
        # The caller has sent its next request already. Its connection stays readable from here on;
        # a disconnect behind the unread bytes is reported separately.
        poll.modify(caller, select.POLLRDHUP)


def caller_disconnected(caller: socket.socket | None) -> bool:
    """Return whether a caller has closed its connection.

    :param caller: connection of the caller; None for a caller that is not checked.
    """
    if caller is None:
        return False
    if caller.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(caller, select.POLLIN | select.POLLRDHUP)
    # Polls first, since recv on a socket with a timeout blocks regardless of its flags.
    events = dict(poll.poll(0)).get(caller.fileno(), 0)
    if not events:
        return False
    if events & _DISCONNECT_EVENTS:
        return True
    try:
        return not caller.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        # Another thread has read the data.
        return False
    except OSError:
        return True


def is_idle(sock: socket.socket) -> bool:
    """Return whether a socket is open and has no data to read.

    :param sock: connected socket.
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

"""Closes a connection after a rejection without losing the rejection."""

import socket
import time

#: How long a rejected caller's remaining bytes are read, in seconds; sending a body of a megabyte
#: takes a few milliseconds.
LINGER_TIMEOUT_S = 1.0
#: Maximum number of bytes that are read and discarded.
MAX_LINGER_BYTES = 8 * 1024 * 1024
_READ_SIZE = 65_536


def discard_until_closed(sock: socket.socket) -> int:
    """End the sending direction, and discard what the caller still sends until it closes.

    Closing a connection with unread bytes resets it, and the reset can overtake the response.

    :param sock: the connection; stays open.
    :returns: the number of discarded bytes.
    """
    discarded = 0
    deadline = time.monotonic() + LINGER_TIMEOUT_S
    try:
        sock.shutdown(socket.SHUT_WR)
        while discarded < MAX_LINGER_BYTES and (left_s := deadline - time.monotonic()) > 0:
            sock.settimeout(left_s)
            data = sock.recv(_READ_SIZE)
            if not data:
                break
            discarded += len(data)
    except OSError:
        # The caller has reset the connection or keeps it open; either way it is closed now.
        return discarded
    return discarded

"""Socket options that let a connection to a silent peer fail soon."""

import socket
import struct

#: Time in which sent bytes must be acknowledged, in milliseconds; a round trip takes a few.
UNACKNOWLEDGED_LIMIT_MS = 700
#: Idle time before the first keep-alive probe, and time between probes, in seconds.
KEEPALIVE_S = 1
#: Probes without an answer after which a connection is given up.
KEEPALIVE_PROBES = 2

#: For a connection on which an answer may be long in coming.
KEEPALIVE_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
]
#: For a connection to an upstream, whose answers are waited for under a deadline.
UPSTREAM_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
]
# l_onoff = 1, l_linger = 0: closing resets the connection and drops unsent data.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
#: For a connection with orders that must not arrive late: what a cut holds up is lost with a reset.
RESET_ON_CLOSE_SOCKET_OPTIONS = [
    *UPSTREAM_SOCKET_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE),
]

"""Socket options that make connections to unresponsive peers fail quickly."""

import socket
import struct

#: Time within which sent bytes must be acknowledged, in milliseconds; a round trip takes a few
#: milliseconds.
TCP_USER_TIMEOUT_MS = 700
#: Idle time before the first keepalive probe, and interval between probes, in seconds.
KEEPALIVE_S = 1
#: Number of unanswered keepalive probes after which a connection is closed.
KEEPALIVE_PROBES = 2

#: For connections on which a response may take long.
KEEPALIVE_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
]
#: For connections to upstreams; the request's deadline limits the wait for a response.
UPSTREAM_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
]
# l_onoff = 1, l_linger = 0: closing resets the connection and drops unsent data.
_LINGER_RESET = struct.pack("ii", 1, 0)
#: For connections whose messages must not arrive late: the reset on close drops data that a network
#: partition has delayed.
RESET_ON_CLOSE_SOCKET_OPTIONS = [
    *UPSTREAM_SOCKET_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET),
]

"""Limits of the peer protocol."""

#: Largest frame in bytes: holds a store value of 1 MB, a request body and the other fields.
MAX_FRAME_BYTES = 4 * 1024 * 1024
#: Largest request body that a frame carries, in bytes; the rest is for the head.
MAX_RELAYED_BODY_BYTES = 3 * 1024 * 1024
#: Timeout of connecting to a peer, in seconds.
CONNECT_TIMEOUT_S = 0.15

"""Size limits of the inner protocol."""

#: Largest frame in bytes: one store value of 1 MB, a request body and room for the rest.
MAX_FRAME_BYTES = 4 * 1024 * 1024
#: Time to establish a connection to a peer, in seconds.
CONNECT_TIMEOUT_S = 0.15

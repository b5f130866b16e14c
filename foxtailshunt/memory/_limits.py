"""Limits of bodies and connections, from the memory and descriptors of an instance."""

from dataclasses import dataclass

_MB = 1024 * 1024
#: Limit without a stated memory, in bytes; that of an instance with 200 MB. A limit of 24 MiB for
#: requests, responses and frames refused half of the uploads in review/4 at 88 MB of memory.
DEFAULT_LIMIT_BYTES = 54 * _MB
#: Memory of a node without requests, with room for the fleet's tables and for threads, in MB.
_BASE_MB = 64
#: Share of the remaining memory that bodies may take by count. A process took 1.8 times the counted
#: bytes in review/4, since messages are copied while they are encoded and decoded.
_BODY_SHARE = 0.4
#: Smallest limit: two of the largest messages between nodes, in bytes.
_MIN_LIMIT_BYTES = 8 * _MB
#: A single body takes up to this multiple of its size while it is received.
_SINGLE_BODY_FACTOR = 1.3
#: Maximum number of callers' connections.
_MAX_CONNECTIONS = 1500
#: Memory of a connection: its thread takes about 60 KB, its buffer 16 KB.
CONNECTION_BYTES = 80_000
#: Share of the memory above that of a node without requests that is kept for connections. Those
#: beyond it are counted like bodies: a burst of ordinary callers may need them, and they must not
#: take the memory of bodies that are in progress.
_CONNECTION_SHARE = 0.25
_MIN_CONNECTIONS = 16
#: Descriptors for the store, other nodes, upstreams and the process itself.
_RESERVED_FDS = 150
#: Descriptors of a connection with a request: its own and that of the connection it is sent on.
_FDS_PER_CONNECTION = 2


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Limits of a memory account, in bytes."""

    #: Limit of all bodies together.
    total: int = DEFAULT_LIMIT_BYTES
    #: Limit of a single body, which may exceed that of all; None for no limit.
    single: int | None = None

    @classmethod
    def for_memory(cls, memory_mb: float | None) -> "MemoryLimits":
        """Return the limits for an instance.

        :param memory_mb: memory of the instance in MB; None if it is not stated.
        """
        if memory_mb is None:
            return cls()
        free_bytes = max(0, int((memory_mb - _BASE_MB) * _MB))
        total = max(_MIN_LIMIT_BYTES, int(free_bytes * _BODY_SHARE))
        return cls(total, max(total, int(free_bytes / _SINGLE_BODY_FACTOR)))


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of callers' connections."""

    #: Maximum number of connections.
    total: int = _MAX_CONNECTIONS
    #: Number of connections that are not counted in the memory account.
    uncounted: int = _MAX_CONNECTIONS

    @classmethod
    def for_instance(cls, max_fds: int | None, memory_mb: float | None) -> "ConnectionLimits":
        """Return the limits for an instance.

        :param max_fds: descriptors that the process may open; None if it is not stated.
        :param memory_mb: memory of the instance in MB; None if it is not stated.
        """
        total = uncounted = _MAX_CONNECTIONS
        if max_fds is not None:
            total = min(total, (max_fds - _RESERVED_FDS) // _FDS_PER_CONNECTION)
        if memory_mb is not None:
            free_bytes = (memory_mb - _BASE_MB) * _MB
            uncounted = int(free_bytes * _CONNECTION_SHARE / CONNECTION_BYTES)
        total = max(_MIN_CONNECTIONS, total)
        return cls(total, min(total, max(_MIN_CONNECTIONS, uncounted)))

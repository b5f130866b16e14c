"""The IP number that outgoing connections come from.

It belongs to the process as a whole, as its addresses do, and is set once from the settings before
anything connects.
"""

_source_host: str | None = None


def set_source_host(host: str | None) -> None:
    """Let all outgoing connections come from an IP number.

    :param host: the IP number; None leaves it to the system.
    """
    global _source_host
    _source_host = host


def source_address() -> tuple[str, int] | None:
    """Return the source of outgoing connections as sockets take it, or None."""
    return (_source_host, 0) if _source_host else None

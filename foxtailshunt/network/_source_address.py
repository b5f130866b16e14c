"""Source IP address of outgoing connections.

The address applies to the whole process. It is set once from the settings, before the first
connection is opened.
"""

_source_host: str | None = None


def set_source_host(host: str | None) -> None:
    """Set the source IP address of all outgoing connections.

    :param host: IP address; None lets the operating system choose.
    """
    global _source_host
    _source_host = host


def source_address() -> tuple[str, int] | None:
    """Return the source address as host and port 0 (any port); None if none is set."""
    return (_source_host, 0) if _source_host else None

"""Parsing and formatting of host and port addresses."""

Address = tuple[str, int]

_MAX_PORT = 65_535


def parse_address(text: str) -> Address:
    """Parse an address such as ``10.1.0.9:8080``.

    :param text: host and port, separated by a colon.
    :returns: host and port.
    :raises ValueError: the text is not a valid address.
    """
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()):
        raise ValueError(f"'{text}' is not a host and port such as 10.1.0.9:8080")
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"'{text}' has no port from 1 to {_MAX_PORT}")
    return host, int(port)


def format_address(address: Address) -> str:
    """Return an address as ``host:port``.

    :param address: host and port.
    """
    return f"{address[0]}:{address[1]}"

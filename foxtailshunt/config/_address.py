"""Addresses as text."""

from typing import Annotated

from pydantic import AfterValidator

_MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of an address such as ``127.0.0.1:8080``.

    :param text: IP number and port.
    :raises ValueError: the text is not an address.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not _is_host(host):
        raise ValueError(f"'{text}' is not an IPv4 address and port such as 127.0.0.1:8080")
    if not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"'{text}' has no port from 1 to {_MAX_PORT}")
    return host, int(port)


def format_address(address: tuple[str, int]) -> str:
    """Return an address as text.

    :param address: host and port.
    """
    return f"{address[0]}:{address[1]}"


def _is_host(text: str) -> bool:
    octets = text.split(".")
    return len(octets) == 4 and all(o.isdigit() and int(o) < 256 for o in octets)


def _check_host(text: str) -> str:
    if not _is_host(text):
        raise ValueError(f"'{text}' is not an IPv4 number such as 127.0.0.1")
    return text


def _check_address(text: str) -> str:
    parse_address(text)
    return text


#: A validated ``host:port`` text in a model.
AddressText = Annotated[str, AfterValidator(_check_address)]

#: A validated IP number in a model.
HostText = Annotated[str, AfterValidator(_check_host)]

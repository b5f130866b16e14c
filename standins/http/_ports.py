"""Ports for servers that are started later, or again at the same port."""

import itertools
import random
import socket
from collections.abc import Iterator

#: Ports below those that the kernel assigns to outgoing connections, which could take a port before
#: its server binds it.
_FIRST_PORT, _LAST_PORT = 12_000, 32_767


def _endless_ports() -> Iterator[int]:
    # A random start keeps test runs on the same machine apart.
    start = random.SystemRandom().randint(_FIRST_PORT, _LAST_PORT)
    return itertools.cycle([*range(start, _LAST_PORT + 1), *range(_FIRST_PORT, start)])


_ports = _endless_ports()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a free port, different from those that this process got last.

    :param host: IP address of the server.
    :raises OSError: no port is free.
    """
    for port in itertools.islice(_ports, _LAST_PORT + 1 - _FIRST_PORT):
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                # Another process uses the port.
                continue
            return port
    raise OSError("no port is free")

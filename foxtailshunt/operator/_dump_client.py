"""Reads the state of processes from their operator ports."""

import json
from typing import Any

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.network import Address

_OK = 200
_MAX_DUMP_BYTES = 16 * 1024 * 1024


class DumpError(FoxtailshuntError):
    """A process's operator port did not answer with a dump.

    :param message: what failed.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.NODE_UNREACHABLE, message)


class DumpClient:
    """Asks for ``/dump``.

    :param timeout_s: longest wait for each step, in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout = Timeout(connect=timeout_s, read=timeout_s)

    def read(self, address: Address) -> dict[str, Any]:
        """Return the dump of a process.

        :param address: its operator address.
        :raises DumpError: it cannot be reached or its answer is no dump.
        """
        place = f"{address[0]}:{address[1]}"
        try:
            with HTTPConnectionPool(*address, timeout=self._timeout, retries=False) as pool:
                response = pool.request("GET", "/dump", preload_content=False, redirect=False)
                body = response.read(_MAX_DUMP_BYTES)
        except (HTTPError, OSError) as exc:
            raise DumpError(f"{place} cannot be reached: {exc}")
        if response.status != _OK:
            raise DumpError(f"{place} answered with status {response.status}")
        return _parse(body, place)


def _parse(body: bytes, place: str) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except ValueError:
        raise DumpError(f"{place} is no operator port: its answer is no JSON document")
    if not isinstance(document, dict):
        raise DumpError(f"{place} is no operator port: its answer is no dump")
    return document

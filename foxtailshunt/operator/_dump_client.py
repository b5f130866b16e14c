"""Client for the ``/dump`` endpoint of operator ports."""

import json
from typing import Any

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.network import Address

_OK = 200
_MAX_DUMP_BYTES = 16 * 1024 * 1024


class DumpError(FoxtailshuntError):
    """An operator port did not return a dump.

    :param message: description of the failure.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.NODE_UNREACHABLE, message)


class DumpClient:
    """Fetches the state of processes from ``/dump``.

    :param timeout_s: connect timeout and read timeout, in seconds each.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout = Timeout(connect=timeout_s, read=timeout_s)

    def read(self, address: Address) -> dict[str, Any]:
        """Return the dump of a process.

        :param address: operator address of the process.
        :raises DumpError: the address cannot be reached or its response is not a dump.
        """
        endpoint = f"{address[0]}:{address[1]}"
        try:
            with HTTPConnectionPool(*address, timeout=self._timeout, retries=False) as pool:
                response = pool.request("GET", "/dump", preload_content=False, redirect=False)
                body = response.read(_MAX_DUMP_BYTES)
        except (HTTPError, OSError) as exc:
            raise DumpError(f"{endpoint} cannot be reached: {exc}")
        if response.status != _OK:
            raise DumpError(f"{endpoint} responded with status {response.status}")
        return _parse(body, endpoint)


def _parse(body: bytes, endpoint: str) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except ValueError:
        raise DumpError(f"{endpoint} is not an operator port: the response is not valid JSON")
    if not isinstance(document, dict):
        raise DumpError(f"{endpoint} is not an operator port: the response is not a dump")
    return document

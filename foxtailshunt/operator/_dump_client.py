"""Client for the ``/dump`` and ``/configuration`` endpoints of operator ports."""

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
    """Fetches the state of processes and their configuration.

    :param timeout_s: connect timeout and read timeout, in seconds each.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout = Timeout(connect=timeout_s, read=timeout_s)

    def read(self, address: Address) -> dict[str, Any]:
        """Return the dump of a process.

        :param address: operator address of the process.
        :raises DumpError: the address cannot be reached or its response is not a dump.
        """
        return _parse(self._get(address, "/dump"), _endpoint(address))

    def read_configuration(self, address: Address) -> bytes:
        """Return the configuration in force at a node as the store held it; empty if it has none.

        :param address: operator address of the node.
        :raises DumpError: the address cannot be reached or does not return a configuration.
        """
        return self._get(address, "/configuration")

    def _get(self, address: Address, path: str) -> bytes:
        endpoint = _endpoint(address)
        try:
            with HTTPConnectionPool(*address, timeout=self._timeout, retries=False) as pool:
                response = pool.request("GET", path, preload_content=False, redirect=False)
                body = response.read(_MAX_DUMP_BYTES)
        except (HTTPError, OSError) as exc:
            raise DumpError(f"{endpoint} cannot be reached: {exc}")
        if response.status != _OK:
            raise DumpError(f"{endpoint} responded with status {response.status}")
        return body


def _endpoint(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _parse(body: bytes, endpoint: str) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except ValueError:
        raise DumpError(f"{endpoint} is not an operator port: the response is not valid JSON")
    if not isinstance(document, dict):
        raise DumpError(f"{endpoint} is not an operator port: the response is not a dump")
    return document

"""The platform over HTTP: the key-value calls follow the shape of the Consul HTTP API."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from urllib.parse import quote

from urllib3.response import BaseHTTPResponse

from foxtailshunt.errors import (
    FoxtailshuntError,
    ResultCode,
    StoreConflictError,
    StoreUnavailableError,
    StoreUnknownError,
)
from foxtailshunt.kvstore._answers import flag_of, instances_of, lease_id_of, record_of
from foxtailshunt.kvstore._http_calls import HttpCalls
from foxtailshunt.kvstore._interface import InstanceStatus, StoreRecord
from foxtailshunt.ownership import Address
from foxtailshunt.telemetry import Metrics

_MAX_VALUE_BYTES = 1_000_000
_OK = 200
_NOT_FOUND = 404
_TOO_LARGE = 413


class HttpPlatform:
    """Implements :class:`~foxtailshunt.kvstore.Platform`; safe to use from any thread.

    Counts every call in ``foxtailshunt_store_calls_total``.

    :param addresses: the platform's addresses, asked in turn while one does not answer.
    :param metrics: where calls are counted.
    :param timeout_s: time for connecting and for an answer, in seconds; a connection that does not
        answer in time is reset and not used again.
    """

    def __init__(
        self, addresses: tuple[Address, ...], metrics: Metrics, timeout_s: float = 1.0
    ) -> None:
        self._calls = HttpCalls(addresses, timeout_s)
        self._metrics = metrics

    def read(self, key: str) -> StoreRecord | None:
        """Return the record of a key, or None if there is none.

        :param key: the key.
        """
        with self._counted("read"):
            return _record_or_none(key, self._calls.read(_kv_target(key)))

    def watch(self, key: str, revision: int, wait_s: float) -> StoreRecord | None:
        """Return the record once its revision differs from the one given, or after a wait.

        :param key: the key.
        :param revision: the revision known to the caller; 0 for none.
        :param wait_s: longest wait in seconds.
        """
        target = f"{_kv_target(key)}?index={revision}&wait={round(wait_s * 1000)}ms"
        with self._counted("watch"):
            return _record_or_none(key, self._calls.read(target, wait_s))

    def compare_and_swap(self, key: str, value: str, revision: int) -> int:
        """Write a value if the key is still at a revision.

        :param key: the key.
        :param value: the new value.
        :param revision: the revision that the caller read; 0 if the key must not exist.
        :returns: the new revision. If another value has already followed, a revision between both,
            at which no compare-and-swap succeeds.
        :raises StoreConflictError: the key is at another revision; nothing was written.
        :raises FoxtailshuntError: with ``OVERSIZED`` for a value over 1,000,000 bytes.
        """
        with self._counted("cas"):
            response = self._put(f"{_kv_target(key)}?cas={revision}", value.encode())
            if not flag_of(_checked_write(response)):
                raise StoreConflictError(f"{key} is no longer at revision {revision}")
        return self._revision_written(key, value, revision)

    def open_lease(self, ttl_s: float) -> str:
        """Open a lease and return its id.

        :param ttl_s: time to live without renewal, in seconds.
        """
        body = {"TTL": f"{ttl_s}s", "Behavior": "release", "LockDelay": "0s"}
        with self._counted("open_lease"):
            response = self._put("/v1/session/create", json.dumps(body).encode())
            return lease_id_of(_checked_write(response))

    def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease; False if it has lapsed.

        :param lease_id: the lease.
        """
        with self._counted("renew_lease"):
            response = self._put(f"/v1/session/renew/{quote(lease_id)}", b"")
            if response.status == _NOT_FOUND:
                return False
            _checked_write(response)
            return True

    def close_lease(self, lease_id: str) -> None:
        """End a lease and free the keys that it holds.

        :param lease_id: the lease.
        """
        with self._counted("close_lease"):
            _checked_write(self._put(f"/v1/session/destroy/{quote(lease_id)}", b""))

    def acquire(self, key: str, value: str, lease_id: str) -> bool:
        """Write a key and hold it under a lease; False if another lease holds it.

        :param key: the key.
        :param value: the value to write.
        :param lease_id: the lease.
        :raises FoxtailshuntError: with ``OVERSIZED`` for a value over 1,000,000 bytes.
        """
        with self._counted("acquire"):
            response = self._put(f"{_kv_target(key)}?acquire={quote(lease_id)}", value.encode())
            return flag_of(_checked_write(response))

    def list_instances(self) -> tuple[InstanceStatus, ...]:
        """Return the platform's list of instances."""
        with self._counted("list"):
            return instances_of(_checked_read(self._calls.read("/v1/catalog/nodes")))

    def close(self) -> None:
        """Close all idle connections."""
        self._calls.close()

    def _put(self, target: str, body: bytes) -> BaseHTTPResponse:
        if len(body) > _MAX_VALUE_BYTES:
            raise _oversized(f"value of {len(body)} bytes is over {_MAX_VALUE_BYTES}")
        return self._calls.write(target, body)

    def _revision_written(self, key: str, value: str, revision: int) -> int:
        try:
            record = self.read(key)
        except StoreUnavailableError as exc:
            raise StoreUnknownError(f"{key} was written at an unknown revision: {exc.message}")
        if record is None or record.revision <= revision:
            raise StoreUnknownError(f"{key} was written but an older value was read back")
        return record.revision if record.value == value else record.revision - 1

    @contextmanager
    def _counted(self, call: str) -> Iterator[None]:
        result = "ok"
        try:
            yield
        except FoxtailshuntError as exc:
            result = exc.code.name.lower()
            raise
        finally:
            self._metrics.count(
                "foxtailshunt_store_calls_total",
                "Calls to the platform's services.",
                {"call": call, "result": result},
            )


def _kv_target(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _record_or_none(key: str, response: BaseHTTPResponse) -> StoreRecord | None:
    if response.status == _NOT_FOUND:
        return None
    return record_of(key, _checked_read(response))


def _checked_read(response: BaseHTTPResponse) -> bytes:
    if response.status != _OK:
        raise StoreUnavailableError(f"the platform answered {response.status} to a read")
    return response.data


def _checked_write(response: BaseHTTPResponse) -> bytes:
    if response.status == _TOO_LARGE:
        raise _oversized("the platform refused a value over its size limit")
    if response.status != _OK:
        raise StoreUnknownError(f"the platform answered {response.status} to a write")
    return response.data


def _oversized(message: str) -> FoxtailshuntError:
    return FoxtailshuntError(ResultCode.OVERSIZED, message)

"""HTTP client of the platform's metadata store."""

import base64
import json
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.fleet import Address
from foxtailshunt.network import KEEPALIVE_SOCKET_OPTIONS, source_address
from foxtailshunt.platform._durations import format_duration, parse_duration_s

#: Timeout of connecting to the store, in seconds; connecting takes about 1 ms on a working link.
CONNECT_TIMEOUT_S = 0.5
#: Timeout of a watch beyond its own wait, in seconds; a slow store takes 0.4 s to respond.
WATCH_MARGIN_S = 1.5

_HEADERS = {"Content-Type": "application/json"}


class StoreError(FoxtailshuntError):
    """A call to the store that failed.

    :param message: the call and the failure.
    :param may_have_run: False if the call has definitely had no effect.
    """

    def __init__(self, message: str, may_have_run: bool) -> None:
        code = ResultCode.STORE_UNKNOWN if may_have_run else ResultCode.STORE_UNAVAILABLE
        super().__init__(code, message)
        self.may_have_run = may_have_run


class ConflictError(StoreError):
    """A precondition of a commit did not hold; nothing was changed.

    :param message: the call.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=False)


class LeaseEndedError(StoreError):
    """The lease of a call has expired or was ended.

    :param message: the call.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=False)


class HistoryLostError(StoreError):
    """The store no longer keeps the requested part of its change history.

    :param message: the call.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=False)


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key with its value, as stored."""

    #: The key.
    key: str
    #: The value.
    value: bytes
    #: Revision of the last change of the key.
    revision: int
    #: Lease that the key is bound to; 0 for none.
    lease: int


@dataclass(frozen=True, slots=True)
class StoreChange:
    """A change of a key."""

    #: The key.
    key: str
    #: The new item; None if the key was removed.
    item: StoreItem | None


def _ignore_call(call: str, status: str) -> None:
    """Default observer of calls; does nothing."""


class StoreClient:
    """Client of the store; safe to use from any thread.

    Each thread has its own connection, so that a blocking watch does not delay other calls.

    :param address: host and port of the store.
    :param on_call: called after each call with its name and the status ("none" without a response).
    """

    def __init__(
        self, address: Address, on_call: Callable[[str, str], None] = _ignore_call
    ) -> None:
        self._address = address
        self._on_call = on_call
        self._local = threading.local()

    def read(self, key: str, timeout_s: float) -> StoreItem | None:
        """Return the item of a key, or None if the key does not exist.

        :param key: the key.
        :param timeout_s: maximum wait in seconds.
        :raises StoreError: the call failed.
        """
        status, reply = self._call("GET", "/api/kv-key", {"key": key}, None, timeout_s)
        if status == 404:
            return None
        self._expect(status, 200, f"read {key}")
        return _to_item(reply)

    def list_items(self, prefix: str, stale: bool, timeout_s: float) -> tuple[list[StoreItem], int]:
        """Return the items under a prefix and the revision from which to watch for changes.

        :param prefix: prefix of the keys.
        :param stale: True to accept items that are some seconds old, which costs the store less.
        :param timeout_s: maximum wait for each page in seconds.
        :raises StoreError: the call failed.
        """
        items: list[StoreItem] = []
        first_revision: int | None = None
        query: dict[str, Any] = {"prefix": prefix} | ({"allow_stale": 1} if stale else {})
        while True:
            status, reply = self._call("GET", "/api/kv-range", query, None, timeout_s)
            self._expect(status, 200, f"list {prefix}")
            # The pages are not a snapshot, so the watch has to start at the first page's revision.
            if first_revision is None:
                first_revision = int(reply["as_of"])
            page = [_to_item(wire) for wire in reply["items"]]
            items.extend(page)
            if not reply.get("has_more") or not page:
                return items, first_revision
            query["after"] = page[-1].key

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[StoreChange], int]:
        """Wait for changes of the keys under a prefix.

        :param prefix: prefix of the keys.
        :param after: revision of the last known change.
        :param wait_s: how long the store may wait for a change, in seconds.
        :returns: the changes in order and the revision to continue from.
        :raises HistoryLostError: the store no longer keeps the changes since the revision.
        :raises StoreError: the call failed.
        """
        query = {"prefix": prefix, "after": after, "wait_ms": round(wait_s * 1000)}
        status, reply = self._call("GET", "/api/kv-watch", query, None, wait_s + WATCH_MARGIN_S)
        if status == 410:
            raise HistoryLostError(f"watch {prefix} after {after}")
        self._expect(status, 200, f"watch {prefix}")
        changes = [_to_change(wire) for wire in reply["events"]]
        return changes, int(reply["as_of"])

    def commit(
        self,
        conditions: dict[str, int],
        puts: Sequence[tuple[str, bytes, int]],
        timeout_s: float,
        removes: Sequence[str] = (),
    ) -> int:
        """Change keys in one transaction if all conditions hold.

        :param conditions: revision by key; 0 means that the key must not exist.
        :param puts: key, value and lease (0 for none) of each item to write.
        :param timeout_s: maximum wait in seconds.
        :param removes: keys to remove.
        :returns: the revision of the change.
        :raises ConflictError: a condition did not hold.
        :raises LeaseEndedError: a lease has expired.
        :raises StoreError: the call failed; unless ``may_have_run`` is False, the change may take
            effect, even later.
        """
        body = {
            "precondition": [
                {"key": key, "revision": revision} for key, revision in conditions.items()
            ],
            "set_keys": [
                {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
                for key, value, lease in puts
            ],
            "remove": list(removes),
        }
        status, reply = self._call("POST", "/api/kv-txn", None, body, timeout_s)
        keys = ",".join(key for key, _, _ in puts)
        if status == 412:
            raise ConflictError(f"commit {keys}")
        if status == 404:
            raise LeaseEndedError(f"commit {keys}")
        self._expect(status, 200, f"commit {keys}")
        return int(reply["revision"])

    def open_lease(self, ttl_s: float, timeout_s: float) -> tuple[int, float]:
        """Open a lease and return its id and its time to live in seconds.

        :param ttl_s: requested time to live in seconds.
        :param timeout_s: maximum wait in seconds.
        :raises StoreError: the call failed.
        """
        body = {"ttl_time": format_duration(ttl_s)}
        status, reply = self._call("POST", "/api/kv-lease", None, body, timeout_s)
        self._expect(status, 200, "open lease")
        return int(reply["lease"]), parse_duration_s(reply["ttl_time"])

    def renew_lease(self, lease: int, timeout_s: float) -> None:
        """Renew a lease.

        :param lease: id of the lease.
        :param timeout_s: maximum wait in seconds.
        :raises LeaseEndedError: the lease has expired.
        :raises StoreError: the call failed.
        """
        status, _ = self._call("POST", f"/api/kv-keep/{lease}", None, {}, timeout_s)
        if status == 404:
            raise LeaseEndedError(f"renew lease {lease}")
        self._expect(status, 200, "renew lease")

    def end_lease(self, lease: int, timeout_s: float) -> None:
        """End a lease, which removes its keys.

        :param lease: id of the lease.
        :param timeout_s: maximum wait in seconds.
        :raises StoreError: the call failed.
        """
        self._call("DELETE", f"/api/kv-lease-end/{lease}", None, None, timeout_s)

    def _call(
        self, method: str, path: str, query: dict[str, Any] | None, body: Any, timeout_s: float
    ) -> tuple[int, dict[str, Any]]:
        target = f"{path}?{urlencode(query)}" if query else path
        payload = None if body is None else json.dumps(body).encode()
        timeout = urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s)
        try:
            resp = self._pool().request(
                method, target, body=payload, headers=_HEADERS, timeout=timeout
            )
            reply = json.loads(resp.data) if resp.data else {}
        except (HTTPError, OSError, ValueError) as exc:
            self._on_call(_call_name(path), "none")
            self._drop_pool()
            connected = not isinstance(exc, (NewConnectionError, ConnectTimeoutError))
            raise StoreError(
                f"{path}: {type(exc).__name__}: {exc}", may_have_run=connected and method != "GET"
            ) from exc
        self._on_call(_call_name(path), str(resp.status))
        if resp.status in (429, 503):
            raise StoreError(f"{path}: status {resp.status}", may_have_run=False)
        return resp.status, reply if isinstance(reply, dict) else {}

    def _expect(self, status: int, expected: int, call: str) -> None:
        if status != expected:
            raise StoreError(f"{call}: status {status}", may_have_run=True)

    def _pool(self) -> urllib3.HTTPConnectionPool:
        pool = getattr(self._local, "pool", None)
        if pool is None:
            pool = self._local.pool = urllib3.HTTPConnectionPool(
                *self._address,
                maxsize=1,
                retries=False,
                socket_options=KEEPALIVE_SOCKET_OPTIONS,
                source_address=source_address(),
            )
        return pool

    def _drop_pool(self) -> None:
        # A connection on which a response was lost may deliver no further responses.
        pool, self._local.pool = self._local.pool, None
        pool.close()


def _call_name(path: str) -> str:
    """Return the name of a call from its path, without the lease id."""
    return path.split("/")[2]


def _to_item(wire: dict[str, Any]) -> StoreItem:
    return StoreItem(
        key=wire["key"],
        value=base64.b64decode(wire["value"]),
        revision=int(wire["revision"]),
        lease=int(wire.get("lease", 0)),
    )


def _to_change(wire: dict[str, Any]) -> StoreChange:
    return StoreChange(wire["key"], None if wire.get("tombstone") else _to_item(wire))

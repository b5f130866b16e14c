"""Client of the platform's metadata store."""

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

#: Time to establish a connection to the store, in seconds; links take about 1 ms.
CONNECT_TIMEOUT_S = 0.5
#: What a waiting watch may take beyond its own wait, in seconds; a slow store answers in 0.4 s.
WATCH_SLACK_S = 1.5

_HEADERS = {"Content-Type": "application/json"}


class StoreError(FoxtailshuntError):
    """A call to the store that was not answered as asked.

    :param message: the call and what went wrong.
    :param may_have_run: False if the store has surely done nothing.
    """

    def __init__(self, message: str, may_have_run: bool) -> None:
        code = ResultCode.STORE_UNKNOWN if may_have_run else ResultCode.STORE_UNAVAILABLE
        super().__init__(code, message)
        self.may_have_run = may_have_run


class ConflictError(StoreError):
    """A condition did not hold; nothing was changed.

    :param message: the call.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=False)


class LeaseEndedError(StoreError):
    """A lease has ended.

    :param message: the call.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=False)


class HistoryLostError(StoreError):
    """The store no longer has the changes that were asked for.

    :param message: the call.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=False)


@dataclass(frozen=True, slots=True)
class StoreItem:
    """A key and its value."""

    #: The key.
    key: str
    #: The value.
    value: bytes
    #: Revision of its last change.
    revision: int
    #: Lease that it ends with; 0 for none.
    lease: int


@dataclass(frozen=True, slots=True)
class StoreChange:
    """A change of a key."""

    #: The key.
    key: str
    #: The item as it was written; None if the key was removed.
    item: StoreItem | None


def _note_nothing(call: str, answer: str) -> None:
    """Count no call."""


class StoreClient:
    """Calls the store; safe to use from any thread.

    Each thread has a connection of its own, so that a waiting watch delays no other call.

    :param address: host and port of the store.
    :param note_call: told the call and what it was answered, for counting.
    """

    def __init__(
        self, address: Address, note_call: Callable[[str, str], None] = _note_nothing
    ) -> None:
        self._address = address
        self._note_call = note_call
        self._local = threading.local()

    def read(self, key: str, timeout_s: float) -> StoreItem | None:
        """Return an item, or None if there is none.

        :param key: the key.
        :param timeout_s: longest wait in seconds.
        :raises StoreError: the store did not answer.
        """
        status, answer = self._call("GET", "/api/kv-key", {"key": key}, None, timeout_s)
        if status == 404:
            return None
        self._expect(status, 200, f"read {key}")
        return _to_item(answer)

    def list_items(self, prefix: str, stale: bool, timeout_s: float) -> tuple[list[StoreItem], int]:
        """Return the items under a prefix and a revision from which changes can be watched.

        :param prefix: beginning of the keys.
        :param stale: True if the answer may be some seconds old, which costs less.
        :param timeout_s: longest wait for each page in seconds.
        :raises StoreError: the store did not answer.
        """
        items: list[StoreItem] = []
        first_revision: int | None = None
        query: dict[str, Any] = {"prefix": prefix} | ({"allow_stale": 1} if stale else {})
        while True:
            status, answer = self._call("GET", "/api/kv-range", query, None, timeout_s)
            self._expect(status, 200, f"list {prefix}")
            # Pages are no snapshot: changes since the first one are watched for.
            if first_revision is None:
                first_revision = int(answer["as_of"])
            page = [_to_item(wire) for wire in answer["items"]]
            items.extend(page)
            if not answer.get("has_more") or not page:
                return items, first_revision
            query["after"] = page[-1].key

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[StoreChange], int]:
        """Wait for changes under a prefix.

        :param prefix: beginning of the keys.
        :param after: revision of the last change known.
        :param wait_s: how long the store may wait for a change, in seconds.
        :returns: the changes in order and the revision to go on from.
        :raises HistoryLostError: changes since the revision are no longer kept.
        :raises StoreError: the store did not answer.
        """
        query = {"prefix": prefix, "after": after, "wait_ms": round(wait_s * 1000)}
        status, answer = self._call("GET", "/api/kv-watch", query, None, wait_s + WATCH_SLACK_S)
        if status == 410:
            raise HistoryLostError(f"watch {prefix} after {after}")
        self._expect(status, 200, f"watch {prefix}")
        changes = [_to_change(wire) for wire in answer["events"]]
        return changes, int(answer["as_of"])

    def commit(
        self,
        conditions: dict[str, int],
        puts: Sequence[tuple[str, bytes, int]],
        timeout_s: float,
        removes: Sequence[str] = (),
    ) -> int:
        """Change keys if conditions hold, all or nothing.

        :param conditions: revision by key; 0 means that the key must not exist.
        :param puts: key, value and lease (0 for none) of what is written.
        :param timeout_s: longest wait in seconds.
        :param removes: keys to remove.
        :returns: the revision of the change.
        :raises ConflictError: a condition did not hold.
        :raises LeaseEndedError: a lease has ended.
        :raises StoreError: no answer; the change may be made, also later.
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
        status, answer = self._call("POST", "/api/kv-txn", None, body, timeout_s)
        keys = ",".join(key for key, _, _ in puts)
        if status == 412:
            raise ConflictError(f"commit {keys}")
        if status == 404:
            raise LeaseEndedError(f"commit {keys}")
        self._expect(status, 200, f"commit {keys}")
        return int(answer["revision"])

    def open_lease(self, ttl_s: float, timeout_s: float) -> tuple[int, float]:
        """Return a new lease and its time to live in seconds.

        :param ttl_s: wanted time to live in seconds.
        :param timeout_s: longest wait in seconds.
        :raises StoreError: the store did not answer.
        """
        body = {"ttl_time": format_duration(ttl_s)}
        status, answer = self._call("POST", "/api/kv-lease", None, body, timeout_s)
        self._expect(status, 200, "open lease")
        return int(answer["lease"]), parse_duration_s(answer["ttl_time"])

    def renew_lease(self, lease: int, timeout_s: float) -> None:
        """Renew a lease.

        :param lease: the lease.
        :param timeout_s: longest wait in seconds.
        :raises LeaseEndedError: it has ended.
        :raises StoreError: the store did not answer.
        """
        status, _ = self._call("POST", f"/api/kv-keep/{lease}", None, {}, timeout_s)
        if status == 404:
            raise LeaseEndedError(f"renew lease {lease}")
        self._expect(status, 200, "renew lease")

    def end_lease(self, lease: int, timeout_s: float) -> None:
        """End a lease and remove its keys.

        :param lease: the lease.
        :param timeout_s: longest wait in seconds.
        :raises StoreError: the store did not answer.
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
            answer = json.loads(resp.data) if resp.data else {}
        except (HTTPError, OSError, ValueError) as exc:
            self._note_call(_call_name(path), "none")
            self._drop_pool()
            reached = not isinstance(exc, (NewConnectionError, ConnectTimeoutError))
            raise StoreError(
                f"{path}: {type(exc).__name__}: {exc}", may_have_run=reached and method != "GET"
            ) from exc
        self._note_call(_call_name(path), str(resp.status))
        if resp.status in (429, 503):
            raise StoreError(f"{path}: status {resp.status}", may_have_run=False)
        return resp.status, answer if isinstance(answer, dict) else {}

    def _expect(self, status: int, expected: int, what: str) -> None:
        if status != expected:
            raise StoreError(f"{what}: status {status}", may_have_run=True)

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
        # A connection on which an answer was lost returns nothing further.
        pool, self._local.pool = self._local.pool, None
        pool.close()


def _call_name(path: str) -> str:
    """Return the name of a call without the lease that it is about."""
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

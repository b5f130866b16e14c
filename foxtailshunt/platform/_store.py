"""HTTP client of the platform's metadata store."""

import base64
import json
import threading
from collections.abc import Callable, Sequence
from http.client import HTTPException
from typing import Any, TypeVar
from urllib.parse import urlencode

from foxtailshunt.fleet import MAX_ERA, Address, EntryLapses, era_of, plain_revision
from foxtailshunt.http import HttpResponse, format_request
from foxtailshunt.network import (
    format_address,
)
from foxtailshunt.platform._durations import format_duration
from foxtailshunt.platform._store_connections import StoreConnections
from foxtailshunt.platform._store_errors import (
    ConflictError,
    HistoryLostError,
    LeaseEndedError,
    NoResponseError,
    StoreEraChangedError,
    StoreError,
)
from foxtailshunt.platform._store_messages import (
    LEASE_BITS,
    StoreChange,
    StoreItem,
    to_changes,
    to_item,
    to_item_at,
    to_lease,
    to_page,
    to_revision,
)
from foxtailshunt.telemetry import log_state_change

#: Timeout of a watch beyond its own wait, in seconds; a slow store takes 0.4 s to respond. Until
#: then the loss of the response is not noticed.
WATCH_MARGIN_S = 0.8

_OK_STATUS = 200
#: The store has not executed the call: too many calls, or unavailable.
_REFUSALS = (429, 503)
_ERA_HEADER = "store-era"
_MAX_ERA_DIGITS = 6
_DECODE_ERRORS = (AttributeError, KeyError, TypeError, ValueError)

T = TypeVar("T")


def _ignore_call(call: str, status: str) -> None:
    """Default observer of calls; does nothing."""


class StoreClient:
    """Client of the store; safe to use from any thread.

    Each thread has its own connection, so that a blocking watch does not delay other calls.

    The store may return from an older copy: its era increases, and it reuses revisions and leases.
    All revisions and leases that this client returns contain the era of their response. A call with
    one of an earlier era is not sent, and a response from another era than the newest one, or than
    that of the revision or lease that the call depends on, fails the call.

    :param address: host and port of the store.
    :param on_call: called after each call with its name and the status; "none" without a response,
        "renewed" if the wait of a watch was ended.
    :param lapses: is told of each call whether the store responded; None if nobody asks.
    """

    def __init__(
        self,
        address: Address,
        on_call: Callable[[str, str], None] = _ignore_call,
        lapses: EntryLapses | None = None,
    ) -> None:
        self._lapses = lapses
        self._headers = (
            ("Host", format_address(address)),
            ("Content-Type", "application/json"),
        )
        self._on_call = on_call
        self._connections = StoreConnections(address)
        self._era_lock = threading.Lock()
        self._era = 0

    @property
    def era(self) -> int:
        """Return the highest era of the store that is known; 0 if the store states none."""
        return self._era

    def observe_era(self, era: int) -> None:
        """Record an era of the store, for example one that another node states.

        A higher one at once invalidates all revisions and leases of earlier eras.

        :param era: the era.
        """
        with self._era_lock:
            if not self._era < era <= MAX_ERA:
                return
            known, self._era = self._era, era
        log_state_change("store.era_changed", era=era, known=known)

    @property
    def waiting_watches(self) -> int:
        """Return the number of watches that wait for changes."""
        return self._connections.waiting

    def renew_watches(self) -> None:
        """End the wait of all watches in progress, whose responses may have been lost.

        They fail with ``NoResponseError``. A call without a response ends them, too: the failure of
        one connection is a sign for the others.
        """
        self._connections.renew()

    def read(self, key: str, timeout_s: float) -> StoreItem | None:
        """Return the item of a key, or None if the key does not exist.

        :param key: the key.
        :param timeout_s: maximum wait in seconds.
        :raises StoreError: the call failed.
        """
        status, reply, era = self._call("GET", "/api/kv-key", {"key": key}, None, timeout_s)
        if status == 404:
            return None
        self._expect(status, f"read {key}")
        return _decode(f"read {key}", False, to_item, reply, era)

    def read_to_watch(self, key: str, timeout_s: float) -> tuple[StoreItem | None, int]:
        """Return the item of a key and the revision from which to watch the key for changes.

        :param key: the key.
        :param timeout_s: maximum wait in seconds.
        :returns: the item and the store's revision; None and 0 if the key does not exist.
        :raises StoreError: the call failed.
        """
        status, reply, era = self._call("GET", "/api/kv-key", {"key": key}, None, timeout_s)
        if status == 404:
            return None, 0
        self._expect(status, f"read {key}")
        return _decode(f"read {key}", False, to_item_at, reply, era)

    def list_items(self, prefix: str, stale: bool, timeout_s: float) -> tuple[list[StoreItem], int]:
        """Return the items under a prefix and the revision from which to watch for changes.

        :param prefix: prefix of the keys.
        :param stale: True to accept items that are some seconds old, which costs the store less.
        :param timeout_s: maximum wait for each page in seconds.
        :raises StoreError: the call failed.
        """
        items: list[StoreItem] = []
        first_revision: int | None = None
        list_era: int | None = None
        query: dict[str, Any] = {"prefix": prefix} | ({"allow_stale": 1} if stale else {})
        while True:
            status, reply, era = self._call(
                "GET", "/api/kv-range", query, None, timeout_s, list_era
            )
            self._expect(status, f"list {prefix}")
            page = _decode(f"list {prefix}", False, to_page, reply, era)
            # The pages are not a snapshot, so the watch has to start at the first page's revision.
            if first_revision is None:
                first_revision, list_era = page.revision, era
            items.extend(page.items)
            if not page.has_more or not page.items:
                return items, first_revision
            query["after"] = page.items[-1].key

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[StoreChange], int]:
        """Wait for changes of the keys under a prefix.

        :param prefix: prefix of the keys.
        :param after: revision of the last known change.
        :param wait_s: how long the store may wait for a change, in seconds.
        :returns: the changes in order and the revision to continue from.
        :raises HistoryLostError: the store no longer keeps the changes since the revision.
        :raises StoreError: the call failed.
        """
        query = {
            "prefix": prefix,
            "after": plain_revision(after),
            "wait_ms": round(wait_s * 1000),
        }
        status, reply, era = self._call(
            "GET", "/api/kv-watch", query, None, wait_s + WATCH_MARGIN_S, era_of(after), wait_s
        )
        if status == 410:
            raise HistoryLostError(f"watch {prefix} after {after}")
        self._expect(status, f"watch {prefix}")
        return _decode(f"watch {prefix}", False, to_changes, reply, era)

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
                {"key": key, "revision": plain_revision(revision)}
                for key, revision in conditions.items()
            ],
            "set_keys": [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "lease": _plain_lease(lease),
                }
                for key, value, lease in puts
            ],
            "remove": list(removes),
        }
        eras = {era_of(revision) for revision in conditions.values() if revision}
        eras |= {lease >> LEASE_BITS for _, _, lease in puts if lease}
        if len(eras) > 1:
            raise StoreEraChangedError("commit with revisions of several eras", False)
        status, reply, era = self._call(
            "POST", "/api/kv-txn", None, body, timeout_s, next(iter(eras), None)
        )
        keys = ",".join(key for key, _, _ in puts)
        if status == 412:
            raise ConflictError(f"commit {keys}")
        if status == 404:
            raise LeaseEndedError(f"commit {keys}")
        self._expect(status, f"commit {keys}")
        return _decode(f"commit {keys}", True, to_revision, reply, era)

    def open_lease(self, ttl_s: float, timeout_s: float) -> tuple[int, float]:
        """Open a lease and return its id and its time to live in seconds.

        :param ttl_s: requested time to live in seconds.
        :param timeout_s: maximum wait in seconds.
        :raises StoreError: the call failed.
        """
        body = {"ttl_time": format_duration(ttl_s)}
        status, reply, era = self._call("POST", "/api/kv-lease", None, body, timeout_s)
        self._expect(status, "open lease")
        return _decode("open lease", True, to_lease, reply, era)

    def renew_lease(self, lease: int, timeout_s: float) -> None:
        """Renew a lease.

        :param lease: id of the lease.
        :param timeout_s: maximum wait in seconds.
        :raises LeaseEndedError: the lease has expired.
        :raises StoreError: the call failed.
        """
        path = f"/api/kv-keep/{_plain_lease(lease)}"
        status, _, _ = self._call("POST", path, None, {}, timeout_s, lease >> LEASE_BITS)
        if status == 404:
            raise LeaseEndedError(f"renew lease {lease}")
        self._expect(status, "renew lease")

    def end_lease(self, lease: int, timeout_s: float) -> None:
        """End a lease, which removes its keys.

        :param lease: id of the lease.
        :param timeout_s: maximum wait in seconds.
        :raises StoreError: the call failed.
        """
        path = f"/api/kv-lease-end/{_plain_lease(lease)}"
        self._call("DELETE", path, None, None, timeout_s, lease >> LEASE_BITS)

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None,
        body: Any,
        timeout_s: float,
        depends_on: int | None = None,
        wait_s: float = 0.0,
    ) -> tuple[int, dict[str, Any], int]:
        """Return the status, the fields and the era of the response to a call.

        :param depends_on: era of the revisions and leases in the call; None if there are none.
        :param wait_s: how long the store may wait before it responds, in seconds.
        """
        if depends_on is not None and depends_on != self._era:
            raise StoreEraChangedError(f"{path}: era {depends_on}, now {self._era}", False)
        target = f"{path}?{urlencode(query)}" if query else path
        payload = b"" if body is None else json.dumps(body).encode()
        may_have_run = False
        try:
            channel = self._connections.connect(timeout_s)
            may_have_run = method != "GET"
            message = format_request(method, target, self._headers, payload)
            response = self._connections.exchange(channel, method, message, timeout_s, wait_s)
            has_reply = response.status == _OK_STATUS and response.body
            era = _era_of_response(response)
            reply = json.loads(response.body) if has_reply else {}
            if not isinstance(reply, dict):
                raise ValueError("the response is not an object")
        except (HTTPException, OSError, ValueError) as exc:
            was_renewed = self._connections.disconnect()
            self._on_call(_call_name(path), "renewed" if was_renewed else "none")
            if not was_renewed:
                self._record(False)
                self.renew_watches()
            text = f"{path}: {type(exc).__name__}: {exc}"
            raise NoResponseError(text, may_have_run) from exc
        self._on_call(_call_name(path), str(response.status))
        self._record(response.status not in _REFUSALS)
        if response.status != _OK_STATUS or response.closes_connection:
            # A refusal names no call, so a copy of it could pass for the next response.
            self._connections.disconnect()
        if era is not None:
            self.observe_era(era)
        if response.status in _REFUSALS:
            raise StoreError(f"{path}: status {response.status}", may_have_run=False)
        found = era or 0
        if found != self._era or depends_on not in (None, found):
            message = f"{path}: response of era {found}, now {self._era}"
            raise StoreEraChangedError(message, may_have_run)
        return response.status, reply, found

    def _record(self, has_answered: bool) -> None:
        if self._lapses is None:
            return
        if has_answered:
            self._lapses.record_answer()
        else:
            self._lapses.record_failure()

    def _expect(self, status: int, call: str) -> None:
        if status != _OK_STATUS:
            raise StoreError(f"{call}: status {status}", may_have_run=True)


def _call_name(path: str) -> str:
    """Return the name of a call from its path, without the lease id."""
    return path.split("/")[2]


def _plain_lease(lease: int) -> int:
    return lease & ((1 << LEASE_BITS) - 1)


def _era_of_response(response: HttpResponse) -> int | None:
    """Return the era that a response states; None if it states none.

    :raises ValueError: the header is malformed.
    """
    texts = {value for name, value in response.headers if name.lower() == _ERA_HEADER}
    if not texts:
        return None
    text = texts.pop()
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_ERA_DIGITS
    if texts or not is_number:
        raise ValueError(f"malformed era {text[:20]!r}")
    if int(text) > MAX_ERA:
        raise ValueError(f"era {text} is above {MAX_ERA}")
    return int(text)


def _decode(
    call: str,
    may_have_run: bool,
    convert: Callable[[dict[str, Any], int], T],
    reply: dict[str, Any],
    era: int,
) -> T:
    """Return the converted fields of a response.

    :param call: the call, for the error.
    :param may_have_run: whether the call may have had an effect.
    :param convert: converts the fields.
    :param reply: the body of the response.
    :param era: era of the response.
    :raises StoreError: a field is missing or malformed.
    """
    try:
        return convert(reply, era)
    except _DECODE_ERRORS as exc:
        message = f"{call}: malformed response: {type(exc).__name__}: {exc}"
        raise StoreError(message, may_have_run) from exc

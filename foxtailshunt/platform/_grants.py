"""Client of the upstream API that grants key ranges to an upstream and releases them."""

import json
from dataclasses import dataclass
from enum import Enum
from http.client import HTTPException

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.fleet import Address, KeyRange
from foxtailshunt.network import RESET_ON_CLOSE_SOCKET_OPTIONS, source_address
from foxtailshunt.platform._durations import format_duration

#: Timeout of connecting to an upstream, in seconds; connecting takes about 1 ms on a working link.
CONNECT_TIMEOUT_S = 0.15

_GRANT_PATH = "/api/grant"
_RELEASE_PATH = "/api/release"
_HEADERS = {"Content-Type": "application/json"}
_HANDOVER = "Handover"
_EXPECTED_UPSTREAM = "Expect-Instance"
_MISDIRECTED_STATUS = 421
_BAD_REQUEST_STATUS = 400
#: Present if an upstream without keys treated the call as a request and has not run it.
_NOT_EXECUTED = "Not-Executed"


class KeyGrantError(FoxtailshuntError):
    """A grant or release without a usable response; unless unsent, it may take effect, even later.

    :param message: the call and the failure.
    :param sent: False if there was no connection to the upstream, so that nothing can arrive.
    :param may_have_restarted: True if the upstream closed or refused the connection.
    """

    def __init__(self, message: str, sent: bool, may_have_restarted: bool = False) -> None:
        super().__init__(ResultCode.UPSTREAM_CONNECTION_LOST, message)
        self.sent = sent
        self.may_have_restarted = may_have_restarted


class UpstreamReplacedError(FoxtailshuntError):
    """Another upstream responds at the address, so the intended upstream has terminated.

    :param message: the call.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.NO_OWNER, message)


class GrantOutcome(Enum):
    """The response of an upstream to a grant."""

    #: The upstream has accepted the grant for the hold time.
    ACCEPTED = "accepted"
    #: The upstream has seen a higher fencing token for one of the keys.
    FENCED_OFF = "fenced off"


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    handover: str | None


class KeyGrantClient:
    """Grants key ranges to one upstream and releases them; used by one thread at a time.

    :param address: host and port of the upstream.
    :param upstream_id: id of the upstream; any other upstream at the address rejects the calls.
    """

    def __init__(self, address: Address, upstream_id: str) -> None:
        self._address = address
        self._headers = _HEADERS | {_EXPECTED_UPSTREAM: upstream_id}
        self._conn: HTTPConnection | None = None
        self._close_announced = False

    def grant(
        self, keys: KeyRange, hold_s: float, handover: str | None, timeout_s: float
    ) -> GrantOutcome:
        """Grant keys to the upstream, or renew an existing grant.

        :param keys: the key range with its fencing token.
        :param hold_s: how long the upstream holds the keys after the grant arrives, in seconds.
        :param handover: handover data that the previous owner returned on release; None for none.
        :param timeout_s: maximum wait in seconds.
        :raises KeyGrantError: it is unknown whether the grant takes effect, unless unsent.
        :raises UpstreamReplacedError: the intended upstream has terminated.
        """
        payload = self._range_fields(keys) | {"hold_time": format_duration(hold_s)}
        if handover is not None:
            payload["handover"] = handover
        response = self._post(_GRANT_PATH, payload, timeout_s)
        if response.status == 200:
            return GrantOutcome.ACCEPTED
        if response.status == 409:
            return GrantOutcome.FENCED_OFF
        raise KeyGrantError(f"grant answered with status {response.status}", sent=True)

    def release(self, keys: KeyRange, timeout_s: float) -> str | None:
        """Release keys from the upstream; returns when its requests for the keys have ended.

        :param keys: the key range with the fencing token of the new owner.
        :param timeout_s: maximum wait in seconds.
        :returns: handover data that lets the new owner start warm; None for none.
        :raises KeyGrantError: it is unknown whether the release takes effect, unless unsent.
        :raises UpstreamReplacedError: the intended upstream has terminated.
        """
        response = self._post(_RELEASE_PATH, self._range_fields(keys), timeout_s)
        if response.status == 200:
            return response.handover
        raise KeyGrantError(f"release answered with status {response.status}", sent=True)

    def close(self) -> None:
        """Reset the connection, so that no unsent data arrives later."""
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.close()

    def _range_fields(self, keys: KeyRange) -> dict[str, object]:
        return {"from": keys.first, "to": keys.last, "fence": keys.fence}

    def _post(self, path: str, payload: dict[str, object], timeout_s: float) -> _Response:
        conn = self._connect(path, timeout_s)
        try:
            conn.timeout = timeout_s
            conn.sock.settimeout(timeout_s)
            conn.request("POST", path, body=json.dumps(payload).encode(), headers=self._headers)
            resp = conn.getresponse()
            resp.read()
        except (HTTPError, HTTPException, OSError) as exc:
            # A connection that failed once may stay unresponsive; the next call opens a new one.
            self.close()
            was_closed = not isinstance(exc, TimeoutError)
            raise KeyGrantError(f"{path}: {type(exc).__name__}: {exc}", True, was_closed) from exc
        self._close_announced = resp.headers.get("Connection", "").lower() == "close"
        if _is_from_other_upstream(resp):
            raise UpstreamReplacedError(f"{path}: another upstream responds at the address")
        return _Response(resp.status, resp.headers.get(_HANDOVER))

    def _connect(self, path: str, timeout_s: float) -> HTTPConnection:
        conn = self._conn
        if conn is not None and conn.is_connected:
            return conn
        self.close()
        if conn is not None and not self._close_announced:
            # A restarted upstream may be listening at the address now.
            raise KeyGrantError(f"{path}: the upstream closed the connection", False, True)
        conn = HTTPConnection(
            *self._address,
            timeout=min(timeout_s, CONNECT_TIMEOUT_S),
            source_address=source_address(),
            socket_options=RESET_ON_CLOSE_SOCKET_OPTIONS,
        )
        try:
            conn.connect()
        except (HTTPError, OSError) as exc:
            was_refused = isinstance(exc.__cause__, ConnectionRefusedError)
            raise KeyGrantError(f"{path}: {type(exc).__name__}: {exc}", False, was_refused) from exc
        self._conn = conn
        return conn


def _is_from_other_upstream(resp: HTTPResponse) -> bool:
    """Return whether a response shows that another upstream now has the address.

    An upstream without keys treats the call as an ordinary request that lacks its id.
    """
    if resp.status == _MISDIRECTED_STATUS:
        return True
    return resp.status == _BAD_REQUEST_STATUS and _NOT_EXECUTED in resp.headers

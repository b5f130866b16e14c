"""Orders that give keys to an upstream and take them back."""

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

#: Time to establish a connection to an upstream, in seconds; a link takes about 1 ms.
CONNECT_TIMEOUT_S = 0.15

_GRANT_PATH = "/api/grant"
_RELEASE_PATH = "/api/release"
_HEADERS = {"Content-Type": "application/json"}
_HANDOVER = "Handover"
_EXPECTED_UPSTREAM = "Expect-Instance"
_REPLACED_STATUS = 421
_NOT_UNDERSTOOD_STATUS = 400
#: Present if an upstream took the order for a request and has not run it.
_NOT_RUN = "Not-Executed"


class KeyGrantError(FoxtailshuntError):
    """An order without a usable answer; it may be carried out, also later.

    :param message: what was ordered and what went wrong.
    :param sent: False if the upstream could not be connected to, so that nothing can arrive.
    :param may_have_restarted: True if the upstream's end of the connection was closed.
    """

    def __init__(self, message: str, sent: bool, may_have_restarted: bool = False) -> None:
        super().__init__(ResultCode.UPSTREAM_CONNECTION_LOST, message)
        self.sent = sent
        self.may_have_restarted = may_have_restarted


class UpstreamReplacedError(FoxtailshuntError):
    """Another upstream answers at the address, so that the one that was meant has ended.

    :param message: what was ordered.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.NO_OWNER, message)


class GrantOutcome(Enum):
    """What an upstream made of a grant."""

    #: The keys are the upstream's for the hold time.
    ACCEPTED = "accepted"
    #: The upstream has seen a higher fencing token on one of the keys.
    FENCED_OFF = "fenced off"


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    handover: str | None


class KeyGrantClient:
    """Sends orders about keys to one upstream; used by one thread at a time.

    :param address: host and port of the upstream.
    :param upstream_id: the only upstream that may obey the orders.
    """

    def __init__(self, address: Address, upstream_id: str) -> None:
        self._address = address
        self._headers = _HEADERS | {_EXPECTED_UPSTREAM: upstream_id}
        self._conn: HTTPConnection | None = None
        self._close_is_announced = False

    def grant(
        self, keys: KeyRange, hold_s: float, handover: str | None, timeout_s: float
    ) -> GrantOutcome:
        """Give keys to the upstream, or renew its hold on them.

        :param keys: the keys with the fencing token.
        :param hold_s: how long it holds them from the arrival of the order, in seconds.
        :param handover: what the last holder returned on its release; None without one.
        :param timeout_s: longest wait in seconds.
        :raises OrderError: the order may or may not be carried out.
        :raises UpstreamReplacedError: the upstream has ended.
        """
        order = self._describe(keys) | {"hold_time": format_duration(hold_s)}
        if handover is not None:
            order["handover"] = handover
        answer = self._post(_GRANT_PATH, order, timeout_s)
        if answer.status == 200:
            return GrantOutcome.ACCEPTED
        if answer.status == 409:
            return GrantOutcome.FENCED_OFF
        raise KeyGrantError(f"grant answered with status {answer.status}", sent=True)

    def release(self, keys: KeyRange, timeout_s: float) -> str | None:
        """Take keys back; returns once the work on them has ended.

        :param keys: the keys with the new owner's fencing token.
        :param timeout_s: longest wait in seconds.
        :returns: what the next holder is given to stay warm; None if there is nothing.
        :raises OrderError: the order may or may not be carried out.
        :raises UpstreamReplacedError: the upstream has ended.
        """
        answer = self._post(_RELEASE_PATH, self._describe(keys), timeout_s)
        if answer.status == 200:
            return answer.handover
        raise KeyGrantError(f"release answered with status {answer.status}", sent=True)

    def close(self) -> None:
        """Close the connection by reset, so that nothing of it arrives any more."""
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.close()

    def _describe(self, keys: KeyRange) -> dict[str, object]:
        return {"from": keys.first, "to": keys.last, "fence": keys.fence}

    def _post(self, path: str, order: dict[str, object], timeout_s: float) -> _Answer:
        conn = self._connect(path, timeout_s)
        try:
            conn.timeout = timeout_s
            conn.sock.settimeout(timeout_s)
            conn.request("POST", path, body=json.dumps(order).encode(), headers=self._headers)
            resp = conn.getresponse()
            resp.read()
        except (HTTPError, HTTPException, OSError) as exc:
            # A connection that failed once may stay silent; the next order takes a new one.
            self.close()
            closed = not isinstance(exc, TimeoutError)
            raise KeyGrantError(f"{path}: {type(exc).__name__}: {exc}", True, closed) from exc
        self._close_is_announced = resp.headers.get("Connection", "").lower() == "close"
        if _is_from_another(resp):
            raise UpstreamReplacedError(f"{path}: another upstream has the address")
        return _Answer(resp.status, resp.headers.get(_HANDOVER))

    def _connect(self, path: str, timeout_s: float) -> HTTPConnection:
        conn = self._conn
        if conn is not None and conn.is_connected:
            return conn
        self.close()
        if conn is not None and not self._close_is_announced:
            # Whatever listens there now may be a new start of the upstream.
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
            refused = isinstance(exc.__cause__, ConnectionRefusedError)
            raise KeyGrantError(f"{path}: {type(exc).__name__}: {exc}", False, refused) from exc
        self._conn = conn
        return conn


def _is_from_another(resp: HTTPResponse) -> bool:
    """Return whether an answer shows that the upstream that was meant no longer has the address.

    An upstream without keys takes an order for a request that lacks its id.
    """
    if resp.status == _REPLACED_STATUS:
        return True
    return resp.status == _NOT_UNDERSTOOD_STATUS and _NOT_RUN in resp.headers

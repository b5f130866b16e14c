"""Client of the upstream API that grants key ranges to an upstream and releases them."""

import json
import time
from enum import Enum
from http.client import HTTPException

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.fleet import Address, KeyRange
from foxtailshunt.http import HttpChannel, HttpResponse, format_request
from foxtailshunt.network import RESET_ON_CLOSE_SOCKET_OPTIONS, format_address
from foxtailshunt.platform._durations import format_duration

#: Timeout of connecting to an upstream, in seconds; connecting takes about 1 ms on a working link.
CONNECT_TIMEOUT_S = 0.15

_GRANT_PATH = "/api/grant"
_RELEASE_PATH = "/api/release"
_HANDOVER = "handover"
_EXPECTED_UPSTREAM = "Expect-Instance"
_OK_STATUS = 200
_MISDIRECTED_STATUS = 421
_BAD_REQUEST_STATUS = 400
#: Present if an upstream without keys treated the call as a request and has not run it.
_NOT_EXECUTED = "not-executed"


class KeyGrantError(FoxtailshuntError):
    """A grant or release without a usable response; unless unsent, it may take effect, even later.

    :param message: the call and the failure.
    :param sent: False if nothing was sent to the upstream, so that nothing can arrive.
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


class KeyGrantClient:
    """Grants key ranges to one upstream and releases them; used by one thread at a time.

    :param address: host and port of the upstream.
    :param upstream_id: id of the upstream; any other upstream at the address rejects the calls.
    """

    def __init__(self, address: Address, upstream_id: str) -> None:
        self._address = address
        self._headers = (
            ("Host", format_address(address)),
            ("Content-Type", "application/json"),
            (_EXPECTED_UPSTREAM, upstream_id),
        )
        self._channel: HttpChannel | None = None

    def grant(
        self, keys: KeyRange, hold_s: float, handover: str | None, timeout_s: float
    ) -> GrantOutcome:
        """Grant keys to the upstream, or renew an existing grant.

        :param keys: the key range with its fencing token.
        :param hold_s: how long the upstream holds the keys after the grant arrives, in seconds.
        :param handover: handover data that the previous owner returned on release; None for none.
        :param timeout_s: maximum wait in seconds, with that for the connection; nothing is sent
            later.
        :raises KeyGrantError: it is unknown whether the grant takes effect, unless unsent.
        :raises UpstreamReplacedError: the intended upstream has terminated.
        """
        payload = self._range_fields(keys) | {"hold_time": format_duration(hold_s)}
        if handover is not None:
            payload["handover"] = handover
        response = self._post(_GRANT_PATH, payload, timeout_s)
        if response.status == _OK_STATUS:
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
        if response.status == _OK_STATUS:
            return _header(response, _HANDOVER)
        raise KeyGrantError(f"release answered with status {response.status}", sent=True)

    def close(self) -> None:
        """Reset the connection, so that no unsent data arrives later."""
        channel, self._channel = self._channel, None
        if channel is not None:
            channel.reset()

    def _range_fields(self, keys: KeyRange) -> dict[str, object]:
        return {"from": keys.first, "to": keys.last, "fence": keys.fence}

    def _post(self, path: str, payload: dict[str, object], timeout_s: float) -> HttpResponse:
        deadline = time.monotonic() + timeout_s
        channel = self._connect(path, timeout_s)
        if time.monotonic() >= deadline:
            raise KeyGrantError(f"{path}: connecting took the whole timeout", False)
        try:
            body = json.dumps(payload).encode()
            channel.send(format_request("POST", path, self._headers, body), deadline)
            response = channel.receive("POST", deadline)
        except (HTTPException, OSError, ValueError) as exc:
            # A connection that failed once may stay unresponsive; the next call opens a new one.
            self.close()
            was_closed = not isinstance(exc, TimeoutError)
            raise KeyGrantError(f"{path}: {type(exc).__name__}: {exc}", True, was_closed) from exc
        if response.status != _OK_STATUS or response.closes_connection:
            # A refusal names no call, so a copy of it could pass for the next response.
            self.close()
        if _is_from_other_upstream(response):
            raise UpstreamReplacedError(f"{path}: another upstream responds at the address")
        return response

    def _connect(self, path: str, timeout_s: float) -> HttpChannel:
        channel = self._channel
        if channel is not None and channel.is_idle():
            return channel
        self.close()
        if channel is not None:
            # A restarted upstream may be listening at the address now.
            raise KeyGrantError(f"{path}: the upstream closed the connection", False, True)
        try:
            channel = HttpChannel(
                self._address,
                max(0.001, min(timeout_s, CONNECT_TIMEOUT_S)),
                RESET_ON_CLOSE_SOCKET_OPTIONS,
            )
        except OSError as exc:
            was_refused = isinstance(exc, ConnectionRefusedError)
            raise KeyGrantError(f"{path}: {type(exc).__name__}: {exc}", False, was_refused) from exc
        self._channel = channel
        return channel


def _header(response: HttpResponse, name: str) -> str | None:
    """Return the value of a header, or None.

    :param response: the response.
    :param name: header name in lower case.
    """
    return next((value for key, value in response.headers if key.lower() == name), None)


def _is_from_other_upstream(response: HttpResponse) -> bool:
    """Return whether a response shows that another upstream now has the address.

    An upstream without keys treats the call as an ordinary request that lacks its id.
    """
    if response.status == _MISDIRECTED_STATUS:
        return True
    return response.status == _BAD_REQUEST_STATUS and _header(response, _NOT_EXECUTED) is not None

"""Default caller interface, independent of any platform."""

import json
import math
import re
import uuid

from foxtailshunt.callers._types import Failure, Headers, Reply, RequestInfo
from foxtailshunt.errors import FoxtailshuntError, ResultCode, family_of
from foxtailshunt.routing import RouteMatch, key_number

_REQUEST_ID = "x-request-id"
_RESULT_CODE = "x-result-code"
_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
#: Headers that only this interface may set; removed from responses of upstreams.
_RESERVED_HEADERS = (_REQUEST_ID, _RESULT_CODE)


class OwnCallerInterface:
    """Identifies requests by ``X-Request-Id`` and returns result codes in ``X-Result-Code``."""

    def request_id(self, headers: Headers) -> str:
        """Return the id sent by the caller, or a new random id if there is none.

        :param headers: the request's headers.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if the id is malformed.
        """
        for name, value in headers:
            if name.lower() == _REQUEST_ID:
                return _check_request_id(value)
        return uuid.uuid4().hex

    def read(self, request_id: str, match: RouteMatch, headers: Headers) -> RequestInfo:
        """Return the id and the key of a request; the caller cannot set a timeout.

        :param request_id: id of the request.
        :param match: the matched route, with the key found in the request target.
        :param headers: the request's headers; not used.
        """
        key = None if match.key is None else key_number(match.key)
        return RequestInfo(request_id, None, key)

    def success(self, request_id: str, status: int, headers: Headers, body: bytes) -> Reply:
        """Return the reply that carries the response of an upstream.

        :param request_id: id of the request.
        :param status: HTTP status of the upstream's response.
        :param headers: headers of the upstream's response to pass to the caller.
        :param body: body of the upstream's response.
        """
        passed_headers = tuple(
            (name, value) for name, value in headers if name.lower() not in _RESERVED_HEADERS
        )
        return Reply(status, passed_headers + _result_headers(request_id, ResultCode.OK), body)

    def failure(self, request_id: str, failure: Failure) -> Reply:
        """Return the reply to a request that failed without a response of an upstream.

        :param request_id: id of the request; if empty, a random id is generated.
        :param failure: cause of the failure.
        """
        request_id = request_id or uuid.uuid4().hex
        document = {
            "code": int(failure.code),
            "name": failure.code.name,
            "family": family_of(failure.code).value,
            "detail": failure.detail,
            "request_id": request_id,
        }
        headers: Headers = (("Content-Type", "application/json"),)
        if failure.retry_after_s is not None:
            # RFC 9110 allows only whole seconds in this header.
            headers += (("Retry-After", str(math.ceil(failure.retry_after_s))),)
        body = json.dumps(document).encode()
        return Reply(failure.status, headers + _result_headers(request_id, failure.code), body)


def _result_headers(request_id: str, code: ResultCode) -> Headers:
    return (("X-Request-Id", request_id), ("X-Result-Code", str(int(code))))


def _check_request_id(text: str) -> str:
    if _REQUEST_ID_PATTERN.fullmatch(text) is None:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST,
            "X-Request-Id may hold up to 128 letters, digits and the signs . _ : -",
        )
    return text

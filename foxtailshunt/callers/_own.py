"""The product's own interface for callers."""

import json
import math
import re
import uuid

from foxtailshunt.callers._types import Failure, Headers, Reply, RequestInfo
from foxtailshunt.errors import FoxtailshuntError, ResultCode, family_of
from foxtailshunt.routing import RouteMatch, key_number

_REQUEST_ID = "x-request-id"
_RESULT_CODE = "x-result-code"
_TOKEN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
#: Headers of an upstream that only this interface sets for callers.
_RESERVED = (_REQUEST_ID, _RESULT_CODE)


class OwnCallerInterface:
    """Names requests by ``X-Request-Id`` and tells each outcome's number in ``X-Result-Code``."""

    def request_id(self, headers: Headers) -> str:
        """Return the id that a caller gave its request, or a new one.

        :param headers: the request's headers.
        :raises FoxtailshuntError: with ``BAD_REQUEST`` if the id is malformed.
        """
        for name, value in headers:
            if name.lower() == _REQUEST_ID:
                return _checked(value)
        return uuid.uuid4().hex

    def read(self, request_id: str, match: RouteMatch, headers: Headers) -> RequestInfo:
        """Return what a caller says about its request.

        :param request_id: id of the request.
        :param match: its route, with the key that stands in its target.
        :param headers: the request's headers; none of them says more.
        """
        key = None if match.key is None else key_number(match.key)
        return RequestInfo(request_id, None, key)

    def success(self, request_id: str, status: int, headers: Headers, body: bytes) -> Reply:
        """Return the answer that carries an upstream's answer.

        :param request_id: id of the request.
        :param status: the upstream's status.
        :param headers: the upstream's headers for the caller.
        :param body: the upstream's body.
        """
        kept = tuple((name, value) for name, value in headers if name.lower() not in _RESERVED)
        return Reply(status, kept + _marks(request_id, ResultCode.OK), body)

    def failure(self, request_id: str, failure: Failure) -> Reply:
        """Return the answer to a request that has no upstream's answer.

        :param request_id: id of the request; empty to draw one.
        :param failure: why.
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
            # The header holds whole seconds (RFC 9110).
            headers += (("Retry-After", str(math.ceil(failure.retry_after_s))),)
        body = json.dumps(document).encode()
        return Reply(failure.status, headers + _marks(request_id, failure.code), body)


def _marks(request_id: str, code: ResultCode) -> Headers:
    return (("X-Request-Id", request_id), ("X-Result-Code", str(int(code))))


def _checked(text: str) -> str:
    if _TOKEN.fullmatch(text) is None:
        raise FoxtailshuntError(
            ResultCode.BAD_REQUEST,
            "X-Request-Id may hold up to 128 letters, digits and the signs . _ : -",
        )
    return text

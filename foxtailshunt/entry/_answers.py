"""Answers to callers."""

import json
from dataclasses import dataclass

from foxtailshunt.entry._statuses import RETRY_AFTER_S, status_of
from foxtailshunt.errors import ResultCode, family_of

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class Answer:
    """One whole answer to a caller."""

    #: The request that it answers.
    request_id: str
    #: The numbered outcome.
    code: ResultCode
    #: HTTP status.
    status: int
    #: Headers beside those that every answer carries.
    headers: Headers
    #: Body.
    body: bytes


def error_answer(
    request_id: str, code: ResultCode, detail: str, status: int | None = None
) -> Answer:
    """Return the answer for a request that has no upstream's answer.

    :param request_id: the request.
    :param code: the numbered outcome.
    :param detail: one sentence for the caller.
    :param status: HTTP status if it is not that of the code.
    """
    code_status = status_of(code)
    document = {
        "code": int(code),
        "name": code.name,
        "family": family_of(code).value,
        "detail": detail,
        "request_id": request_id,
    }
    headers: list[tuple[str, str]] = [("Content-Type", "application/json")]
    if code_status.retry_after:
        headers.append(("Retry-After", str(RETRY_AFTER_S)))
    body = json.dumps(document).encode()
    return Answer(request_id, code, status or code_status.status, tuple(headers), body)

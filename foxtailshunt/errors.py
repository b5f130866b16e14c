"""Numbered result codes and the exceptions that carry them.

A code's family tells whether the request took effect: codes below 200 mean that it ran, codes from
200 to 299 that it was not run, codes from 300 to 399 that this is unknown. Codes from 400 on belong
to messages between processes and to operators, not to callers. docs/RESULT-CODES.md is the table.
"""

from enum import Enum, IntEnum


class Family(Enum):
    """What a result code says about the effect of a request."""

    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    INTERNAL = "internal"


class ResultCode(IntEnum):
    """The numbered outcome of a request or of an inner message."""

    #: The upstream ran the request and its whole answer is attached.
    OK = 100

    #: No route of the configuration matches the request.
    NO_ROUTE = 200
    #: The request is malformed: bad request id, missing key, body over the limit.
    BAD_REQUEST = 201
    #: The remaining time is too short for the queue ahead.
    TOO_LATE = 203
    #: The key has no reachable owner at the moment.
    NO_OWNER = 204
    #: The key moved to another upstream while the request waited.
    KEY_MOVED = 205
    #: The upstream refused the request before any work.
    REFUSED_BY_UPSTREAM = 206
    #: The caller went away before the request was sent to an upstream.
    CANCELLED = 207
    #: The process is stopping and takes no new requests.
    STOPPING = 208
    #: The node has no configuration yet.
    NO_CONFIG = 210
    #: Another node could not be connected to.
    NODE_UNREACHABLE = 211

    #: The answer did not arrive inside the deadline.
    DEADLINE_EXCEEDED = 300
    #: The connection to the upstream failed after the request was sent.
    UPSTREAM_CONNECTION_LOST = 301
    #: The connection to another node failed after the request was sent.
    NODE_CONNECTION_LOST = 302
    #: The upstream's answer carried another request id.
    ANSWER_MISMATCH = 303

    #: A document (table, configuration, settings) is malformed.
    MALFORMED_DOCUMENT = 404
    #: A value or frame is over its size limit.
    OVERSIZED = 405
    #: A compare-and-swap found another version than expected.
    CONFLICT = 407
    #: The platform's store did not answer.
    STORE_UNAVAILABLE = 408
    #: The effect of a write to the platform's store is not known.
    STORE_UNKNOWN = 409
    #: An address of the settings is in use.
    ADDRESS_IN_USE = 410


_FIRST_NOT_RUN = 200
_FIRST_UNKNOWN = 300
_FIRST_INTERNAL = 400


def family_of(code: ResultCode) -> Family:
    """Return the :class:`Family` of a result code.

    :param code: the numbered code.
    :returns: the family that the code's number range stands for.
    """
    if code < _FIRST_NOT_RUN:
        return Family.RAN
    if code < _FIRST_UNKNOWN:
        return Family.NOT_RUN
    if code < _FIRST_INTERNAL:
        return Family.UNKNOWN
    return Family.INTERNAL


class FoxtailshuntError(Exception):
    """Base of all errors; carries a numbered code and a message for a user.

    :param code: the numbered result code.
    :param message: one sentence that a user can act on.
    """

    def __init__(self, code: ResultCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message

    def __str__(self) -> str:
        return f"[{int(self.code)} {self.code.name}] {self.message}"


class DocumentError(FoxtailshuntError):
    """A settings file, configuration or table is malformed; the message names the place."""

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.MALFORMED_DOCUMENT, message)


class StoreUnknownError(FoxtailshuntError):
    """A write's answer was lost; the caller reads back to learn whether it took effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.STORE_UNKNOWN, message)


class StoreConflictError(FoxtailshuntError):
    """A compare-and-swap found another version; nothing was written."""

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.CONFLICT, message)


class PeerUnreachableError(FoxtailshuntError):
    """A peer could not be reached.

    :param message: what failed.
    :param sent: whether the message may have reached the peer.
    """

    def __init__(self, message: str, sent: bool) -> None:
        code = ResultCode.NODE_CONNECTION_LOST if sent else ResultCode.NODE_UNREACHABLE
        super().__init__(code, message)
        self.sent = sent

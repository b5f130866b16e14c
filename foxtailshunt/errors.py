"""Numbered result codes and the exceptions that carry them.

The family of a code states whether the request was executed: codes below 200 mean that it was,
codes from 200 to 299 that it was not, and codes from 300 to 399 that this is unknown. Codes from
400 are used between processes and for operators; they are never sent to callers.
docs/RESULT-CODES.md lists all codes.
"""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Family(Enum):
    """What a result code states about the execution of a request."""

    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    INTERNAL = "internal"


class ResultCode(IntEnum):
    """The numbered outcome of a request or of a message between processes."""

    #: The upstream executed the request and its complete response is attached.
    OK = 100

    #: No route of the configuration matches the request.
    NO_ROUTE = 200
    #: The request is malformed: invalid request id, missing key, or body over the limit.
    BAD_REQUEST = 201
    #: The remaining time until the deadline is too short for the requests already queued.
    TOO_LATE = 203
    #: The key has no reachable owner at present.
    NO_OWNER = 204
    #: The key was moved to another upstream while the request was queued.
    KEY_MOVED = 205
    #: The upstream rejected the request without executing any of it.
    REFUSED_BY_UPSTREAM = 206
    #: The caller disconnected before the request was sent to an upstream.
    CANCELLED = 207
    #: The process is stopping and accepts no new requests.
    STOPPING = 208
    #: The node has no configuration yet.
    NO_CONFIG = 210
    #: No connection to another node could be established.
    NODE_UNREACHABLE = 211
    #: The node has no memory for the body of the request at present.
    NO_MEMORY = 212

    #: The response did not arrive before the deadline.
    DEADLINE_EXCEEDED = 300
    #: The connection to the upstream failed after the request was sent.
    UPSTREAM_CONNECTION_LOST = 301
    #: The connection to another node failed after the request was sent.
    NODE_CONNECTION_LOST = 302
    #: The upstream's response had the id of another request.
    ANSWER_MISMATCH = 303

    #: A document (table, configuration, settings) is malformed.
    MALFORMED_DOCUMENT = 404
    #: A value or frame is over its size limit.
    OVERSIZED = 405
    #: A compare-and-swap found a version other than the expected one.
    CONFLICT = 407
    #: The platform's store did not respond.
    STORE_UNAVAILABLE = 408
    #: It is not known whether a write to the platform's store took effect.
    STORE_UNKNOWN = 409
    #: An address in the settings is already in use.
    ADDRESS_IN_USE = 410


_FIRST_NOT_RUN = 200
_FIRST_UNKNOWN = 300
_FIRST_INTERNAL = 400


def family_of(code: ResultCode) -> Family:
    """Return the :class:`Family` of a result code.

    :param code: result code.
    :returns: the family of the code's number range.
    """
    if code < _FIRST_NOT_RUN:
        return Family.RAN
    if code < _FIRST_UNKNOWN:
        return Family.NOT_RUN
    if code < _FIRST_INTERNAL:
        return Family.UNKNOWN
    return Family.INTERNAL


class FoxtailshuntError(Exception):
    """Base class of all errors, with a result code and a message for the user.

    :param code: result code.
    :param message: one sentence that the user can act on.
    """

    def __init__(self, code: ResultCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message

    def __str__(self) -> str:
        return f"[{int(self.code)} {self.code.name}] {self.message}"


@dataclass(frozen=True, slots=True)
class DocumentFault:
    """One invalid value of a document."""

    #: Path of the value in the document; ``document`` for the document as a whole.
    location: str
    #: What is wrong with it.
    message: str

    def __str__(self) -> str:
        return f"{self.location}: {self.message}"


class DocumentError(FoxtailshuntError):
    """A settings file, configuration or table is malformed.

    :param message: description of the error, with its location in the document.
    :param faults: all errors of the document, if they are known one by one.
    """

    def __init__(self, message: str, faults: tuple[DocumentFault, ...] = ()) -> None:
        super().__init__(ResultCode.MALFORMED_DOCUMENT, message)
        self.faults = faults


class StoreUnknownError(FoxtailshuntError):
    """It is not known whether a write took effect, since its response was lost.

    The caller reads the key back to find out.

    :param message: description of the failure.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.STORE_UNKNOWN, message)


class StoreConflictError(FoxtailshuntError):
    """A compare-and-swap found a version other than the expected one; nothing was written.

    :param message: description of the conflict.
    """

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.CONFLICT, message)


class PeerUnreachableError(FoxtailshuntError):
    """A peer could not be reached.

    :param message: description of the failure.
    :param sent: whether the request may have reached the peer.
    """

    def __init__(self, message: str, sent: bool) -> None:
        code = ResultCode.NODE_CONNECTION_LOST if sent else ResultCode.NODE_UNREACHABLE
        super().__init__(code, message)
        self.sent = sent

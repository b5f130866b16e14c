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
    #: A repeat of a request id met the finished first request; its answer is attached.
    OK_REPEATED = 101

    #: No service or operation of the configuration matches the request.
    NO_ROUTE = 200
    #: The request is malformed: bad request id, missing key, body over the limit.
    BAD_REQUEST = 201
    #: The queue of this rank is full.
    QUEUE_FULL = 202
    #: The remaining time is too short for the queue ahead.
    TOO_LATE = 203
    #: The key has no reachable owner at the moment.
    NO_OWNER = 204
    #: The dispatcher that was asked is not the one that may send to this upstream.
    NOT_DISPATCHER = 205
    #: The upstream refused the request before any work.
    REFUSED_BY_UPSTREAM = 206
    #: The caller went away before the request was sent to an upstream.
    CANCELLED = 207
    #: The process is stopping and takes no new requests.
    STOPPING = 208
    #: The entry's limit for this rank is reached.
    ENTRY_LIMIT = 209
    #: The entry has no configuration yet.
    NO_CONFIG = 210
    #: No dispatcher of the upstream could be connected to.
    DISPATCHER_UNREACHABLE = 211

    #: The answer did not arrive inside the deadline.
    DEADLINE_EXCEEDED = 300
    #: The connection to the upstream failed after the request was sent.
    UPSTREAM_CONNECTION_LOST = 301
    #: The connection to the dispatcher failed after the request was sent.
    DISPATCHER_CONNECTION_LOST = 302
    #: The upstream's answer carried another request id.
    ANSWER_MISMATCH = 303
    #: The dispatcher's memory is younger than the request id.
    MEMORY_TOO_YOUNG = 304
    #: The first request of this id is still running.
    STILL_RUNNING = 305
    #: The right to send lapsed while the request was being sent.
    ASSENT_LAPSED = 306

    #: The message names a fence lower than one already known.
    STALE_FENCE = 400
    #: The message names another incarnation of this process.
    WRONG_BOOT_ID = 401
    #: The witness is inside its silent period after its own start.
    WITNESS_SILENT = 402
    #: The message was accepted.
    ACCEPTED = 403
    #: A document (table, configuration, settings) is malformed.
    MALFORMED_DOCUMENT = 404
    #: A value or frame is over its size limit.
    OVERSIZED = 405
    #: A zone is not named in the configuration.
    UNKNOWN_ZONE = 406
    #: A compare-and-swap found another version than expected.
    CONFLICT = 407
    #: The platform's store did not answer.
    STORE_UNAVAILABLE = 408
    #: The effect of a write to the platform's store is not known.
    STORE_UNKNOWN = 409
    #: An address of the settings is in use.
    ADDRESS_IN_USE = 410
    #: A peer sent a frame that is not of the inner protocol.
    MALFORMED_FRAME = 411
    #: A configuration version is not higher than the one in force.
    STALE_CONFIG = 412


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


class StoreUnavailableError(FoxtailshuntError):
    """The platform's store did not answer and the call had no effect or was a read."""

    def __init__(self, message: str) -> None:
        super().__init__(ResultCode.STORE_UNAVAILABLE, message)


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
        code = ResultCode.DISPATCHER_CONNECTION_LOST if sent else ResultCode.DISPATCHER_UNREACHABLE
        super().__init__(code, message)
        self.sent = sent

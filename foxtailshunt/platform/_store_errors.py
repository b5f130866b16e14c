"""Errors of calls to the platform's metadata store."""

from foxtailshunt.errors import FoxtailshuntError, ResultCode


class StoreError(FoxtailshuntError):
    """A call to the store that failed.

    :param message: the call and the failure.
    :param may_have_run: False if the call has definitely had no effect.
    """

    def __init__(self, message: str, may_have_run: bool) -> None:
        code = ResultCode.STORE_UNKNOWN if may_have_run else ResultCode.STORE_UNAVAILABLE
        super().__init__(code, message)
        self.may_have_run = may_have_run


class NoResponseError(StoreError):
    """A call without a response: the connection failed, or the timeout has elapsed.

    :param message: the call and the failure.
    :param may_have_run: False if the call has definitely had no effect.
    """


class ConflictError(StoreError):
    """A precondition of a commit did not hold; nothing was changed.

    :param message: the call.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=False)


class LeaseEndedError(StoreError):
    """The lease of a call has expired or was ended.

    :param message: the call.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=False)


class HistoryLostError(StoreError):
    """The store no longer keeps the requested part of its change history.

    :param message: the call.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=False)


class StoreEraChangedError(StoreError):
    """The store has returned from an older copy, so what the call depends on is no longer valid.

    :param message: the call.
    :param may_have_run: False if the call has definitely had no effect.
    """

    def __init__(self, message: str, may_have_run: bool) -> None:
        super().__init__(message, may_have_run)

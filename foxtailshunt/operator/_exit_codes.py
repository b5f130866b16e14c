"""Exit codes of the operators' command line."""

from enum import IntEnum

from foxtailshunt.errors import FoxtailshuntError, ResultCode


class ExitCode(IntEnum):
    """How a command ended."""

    #: It did what was asked.
    OK = 0
    #: Something could not be reached or failed; nothing was changed.
    FAILED = 1
    #: A file, an argument or a setting is not valid; nothing was changed.
    BAD_INPUT = 2
    #: Another change came first; nothing was changed.
    CONFLICT = 3
    #: The store did not say whether the change was taken.
    UNKNOWN = 4


_EXIT_CODES = {
    ResultCode.MALFORMED_DOCUMENT: ExitCode.BAD_INPUT,
    ResultCode.OVERSIZED: ExitCode.BAD_INPUT,
    ResultCode.BAD_REQUEST: ExitCode.BAD_INPUT,
    ResultCode.CONFLICT: ExitCode.CONFLICT,
    ResultCode.STORE_UNKNOWN: ExitCode.UNKNOWN,
}


def exit_code_of(exc: FoxtailshuntError) -> ExitCode:
    """Return the exit code for an error.

    :param exc: the error.
    """
    return _EXIT_CODES.get(exc.code, ExitCode.FAILED)

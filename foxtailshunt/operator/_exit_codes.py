"""Exit codes of the operator command line."""

from enum import IntEnum

from foxtailshunt.errors import FoxtailshuntError, ResultCode


class ExitCode(IntEnum):
    """Outcome of a command as its process exit code."""

    #: The command succeeded.
    OK = 0
    #: A node or the store could not be reached, or failed; nothing was changed.
    FAILED = 1
    #: A file, an argument or a setting is not valid; nothing was changed.
    BAD_INPUT = 2
    #: A concurrent change was made first; nothing was changed.
    CONFLICT = 3
    #: It is not known whether the store applied the change.
    UNKNOWN = 4
    #: The configuration is valid, but has entries without effect or contradictory limits.
    FINDINGS = 5


_EXIT_CODES = {
    ResultCode.MALFORMED_DOCUMENT: ExitCode.BAD_INPUT,
    ResultCode.OVERSIZED: ExitCode.BAD_INPUT,
    ResultCode.BAD_REQUEST: ExitCode.BAD_INPUT,
    ResultCode.CONFLICT: ExitCode.CONFLICT,
    ResultCode.STORE_UNKNOWN: ExitCode.UNKNOWN,
}


def exit_code_of(exc: FoxtailshuntError) -> ExitCode:
    """Return the exit code for an error.

    :param exc: error that ended the command.
    """
    return _EXIT_CODES.get(exc.code, ExitCode.FAILED)

"""Structured logs: JSON lines on standard error, written only for changes of state."""

import sys
import traceback

import eliot


def start_logging(program: str, instance_id: str) -> None:
    """Send log lines to standard error.

    :param program: name of the program, added to each line.
    :param instance_id: the instance, added to each line.
    """
    eliot.add_global_fields(program=program, instance=instance_id)
    eliot.to_file(sys.stderr)


def log_state_change(event: str, **fields: object) -> None:
    """Write one line for a change of state.

    :param event: what changed, in dotted form such as ``table.taken``.
    :param fields: values that explain the change; never a caller's payload.
    """
    eliot.log_message(message_type=event, **fields)


def log_thread_error(thread: str, exc: Exception) -> None:
    """Write one line for an unexpected error that a long-lived thread survived.

    :param thread: what the thread does.
    :param exc: the error.
    """
    detail = "".join(traceback.format_exception(exc))
    log_state_change("thread.error", thread=thread, error=type(exc).__name__, detail=detail)

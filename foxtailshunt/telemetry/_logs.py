"""Structured log lines for state changes."""

import traceback

import eliot


def log_state_change(event: str, **fields: object) -> None:
    """Log a state change.

    :param event: event name in dotted form, such as ``leader.elected``.
    :param fields: values that explain the change; never payload of a caller.
    """
    eliot.log_message(message_type=event, **fields)


def log_thread_error(thread: str, exc: Exception) -> None:
    """Log an unexpected error after which a long-lived thread continues.

    :param thread: name that describes the task of the thread.
    :param exc: error that was caught.
    """
    detail = "".join(traceback.format_exception(exc))
    log_state_change("thread.error", thread=thread, error=type(exc).__name__, detail=detail)

"""Structured lines for changes of state."""

import traceback

import eliot


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

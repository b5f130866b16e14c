"""Waiting for a condition with a timeout."""

import time
from collections.abc import Callable

_READY_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.02


def wait_for(condition: Callable[[], bool], what: str, timeout_s: float = _READY_TIMEOUT_S) -> None:
    """Wait until a condition holds.

    :param condition: evaluated every 20 ms.
    :param what: description of the condition for the error message.
    :param timeout_s: timeout in seconds.
    :raises TimeoutError: the condition did not become true in time.
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"timed out after {timeout_s} s waiting for {what}")
        time.sleep(_POLL_INTERVAL_S)

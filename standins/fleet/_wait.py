"""Waiting for a state with a generous bound."""

import time
from collections.abc import Callable

_READY_TIMEOUT_S = 60.0
_POLL_S = 0.02


def wait_for(condition: Callable[[], bool], what: str, timeout_s: float = _READY_TIMEOUT_S) -> None:
    """Wait until a condition holds.

    :param condition: asked every 20 ms.
    :param what: named in the error.
    :param timeout_s: longest wait in seconds.
    :raises TimeoutError: the condition did not come to hold.
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"waited {timeout_s} s in vain for {what}")
        time.sleep(_POLL_S)

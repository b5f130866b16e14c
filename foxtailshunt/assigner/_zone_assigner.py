"""The thread that is a zone's assigner whenever this process holds the lease."""

import random
import threading
import traceback
from collections.abc import Callable

from foxtailshunt.assigner._active_term import ActiveTerm, DeafAssignerError, ZoneParts
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.kvstore import Backoff
from foxtailshunt.telemetry import log_state_change

_STEP_INTERVAL_S = 0.1
_FIRST_RETRY_S = 0.05
_RETRY_LIMIT_S = 2.0
_MIN_HOLD_OFF_S = 1.0
_MAX_HOLD_OFF_S = 3.0
_STOP_TIMEOUT_S = 2.0


class ZoneAssigner:
    """Runs one :class:`ActiveTerm` after another while the lease is held.

    :param parts: what the terms work with.
    :param leaving: returns the upstreams that the platform lists as leaving.
    """

    def __init__(self, parts: ZoneParts, leaving: Callable[[], frozenset[str]]) -> None:
        self._parts = parts
        self._leaving = leaving
        self._stopping = False
        self._wakeup = threading.Event()
        self._term: ActiveTerm | None = None
        self._backoff = Backoff(_FIRST_RETRY_S, _RETRY_LIMIT_S, random.Random())
        self._thread = threading.Thread(target=self._run, name="assigner", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the step in progress."""
        self._stopping = True
        self._wakeup.set()
        self._thread.join(_STOP_TIMEOUT_S)

    def wake(self) -> None:
        """Let the next step begin at once."""
        self._wakeup.set()

    def dump(self) -> dict[str, object] | None:
        """Return the state of the term in progress, None if there is none."""
        term = self._term
        return term.dump() if term else None

    def _run(self) -> None:
        while not self._stopping:
            if self._parts.lease.held:
                self._run_term()
            self._pause()

    def _run_term(self) -> None:
        term = ActiveTerm(self._parts)
        self._term = term
        try:
            term.take_over()
            self._backoff.reset()
            while not self._stopping:
                term.step(self._leaving())
                self._pause()
        except DeafAssignerError as exc:
            self._parts.lease.resign(random.uniform(_MIN_HOLD_OFF_S, _MAX_HOLD_OFF_S))
            self._note_end(exc.code.name, exc.message)
        except FoxtailshuntError as exc:
            self._note_end(exc.code.name, exc.message)
        except Exception as exc:
            # An assigner that holds the lease without a running term would block its zone.
            self._note_end(type(exc).__name__, traceback.format_exc())
        finally:
            self._term = None
            term.stop()

    def _note_end(self, reason: str, detail: str) -> None:
        log_state_change("term.ended", reason=reason, detail=detail)
        self._parts.metrics.count(
            "foxtailshunt_terms_ended_total",
            "Terms as the active assigner that ended.",
            {"reason": reason},
        )
        self._wakeup.wait(self._backoff.next_delay_s())

    def _pause(self) -> None:
        self._wakeup.wait(_STEP_INTERVAL_S)
        self._wakeup.clear()

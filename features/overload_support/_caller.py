"""Callers in the simulation of an overload, and their attempts."""

from dataclasses import dataclass

from foxtailshunt.admission import Call, QueueEntryState

_MAX_RETRIES = 2
#: Share of the callers that retry immediately, and how often they retry.
_IMPATIENT_SHARE, _MAX_IMPATIENT_RETRIES = 0.2, 6
_CONNECT_S = 0.001


@dataclass(frozen=True)
class Kind:
    """A kind of request."""

    name: str
    rank: int
    per_s: float
    work_s: float
    objective_s: float
    patience_s: float
    timeout_s: float
    idempotent: bool


@dataclass(eq=False)
class SimulatedCaller:
    """A caller with one request."""

    kind: Kind
    sent_at: float
    #: Determines whether the caller retries immediately.
    temper: float
    attempts: int = 0
    answered_at: float | None = None

    @property
    def gives_up_at(self) -> float:
        return self.sent_at + self.kind.patience_s

    @property
    def is_impatient(self) -> bool:
        return self.temper < _IMPATIENT_SHARE

    @property
    def is_on_time(self) -> bool:
        """Return whether the answer came within the latency objective."""
        limit = self.sent_at + self.kind.objective_s
        return self.answered_at is not None and self.answered_at <= limit

    def retry_at(self, now: float, retry_after_s: float) -> float | None:
        """Return when the caller retries after a failure; None if it does not."""
        retries = _MAX_IMPATIENT_RETRIES if self.is_impatient else _MAX_RETRIES
        remaining_s = self.gives_up_at - now
        if self.attempts > retries or remaining_s <= 0:
            return None
        wait_s = 0.0 if self.is_impatient else min(retry_after_s, remaining_s / 3)
        return now + wait_s + _CONNECT_S


@dataclass(eq=False)
class Attempt:
    """An attempt of a caller, and what became of it."""

    caller: SimulatedCaller
    call: Call
    arrived_at: float
    admitted: bool = False
    state: QueueEntryState | None = None
    refused_at: float | None = None
    retry_after_s: float | None = None
    started_at: float = 0.0
    ended_at: float = 0.0
    #: When it was expected to end at its start, by the work of its kind and the base speed of the
    #: upstream.
    mean_end: float = 0.0
    #: True if the response reached the caller in time.
    useful: bool = False

    def work_left_s(self, now: float) -> float:
        """Return the mean work that is left of a request that runs at some time."""
        if now >= self.ended_at:
            return 0.0
        done_s = max(0.0, now - self.started_at)
        share = done_s / (self.ended_at - self.started_at)
        return self.caller.kind.work_s * (1 - share)

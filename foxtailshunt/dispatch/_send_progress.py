"""What the attempts of one request have led to."""

from foxtailshunt.dispatch._outcome import Outcome
from foxtailshunt.dispatch._retry_budget import RetryBudget
from foxtailshunt.errors import Family

#: Most attempts of a request that end before its deadline for want of an answer.
_MAX_EARLY_TIMEOUTS = 2


class SendProgress:
    """The attempts of one request so far; used by one thread."""

    def __init__(self) -> None:
        #: Attempts after the first.
        self.retries = 0
        #: Attempts that ended before the deadline for want of an answer.
        self.early_timeouts = 0
        #: When every attempt whose end is not known is surely over, in monotonic seconds.
        self.busy_until = 0.0
        self._unknown: Outcome | None = None
        self._has_reserved = False

    def note(self, outcome: Outcome) -> None:
        """Remember an attempt that may have run.

        :param outcome: the attempt's outcome.
        """
        if outcome.family is Family.UNKNOWN:
            self._unknown = outcome

    def final_outcome(self, last: Outcome) -> Outcome:
        """Return the request's outcome: not run only if no attempt may have run.

        :param last: the last attempt's outcome.
        """
        if self._unknown is not None and last.family is Family.NOT_RUN:
            return self._unknown
        return last

    def reserve_early_retry(self, budget: RetryBudget) -> bool:
        """Return whether an attempt may end early, because a retry is kept for it.

        :param budget: where the retry is taken from.
        """
        return self.early_timeouts < _MAX_EARLY_TIMEOUTS and self._reserve(budget)

    def spend_retry(self, budget: RetryBudget) -> bool:
        """Use a retry; False if the budget allows none.

        :param budget: where the retry is taken from.
        """
        if not self._reserve(budget):
            return False
        self._has_reserved = False
        return True

    def give_back(self, budget: RetryBudget) -> None:
        """Return a retry that was kept and not used.

        :param budget: where it was taken from.
        """
        if self._has_reserved:
            budget.give_back()

    def _reserve(self, budget: RetryBudget) -> bool:
        self._has_reserved = self._has_reserved or budget.take()
        return self._has_reserved

"""Periods that the safety of ownership rests on; docs/DESIGN.md has the argument."""

#: Time that a grant is in force after the upstream's clock reading that it names, in seconds.
GRANT_TTL_S = 1.0
#: Time between two renewals of a grant, in seconds.
GRANT_RENEW_INTERVAL_S = 0.2
#: Longest wait for the answer to a renewal, in seconds.
GRANT_TIMEOUT_S = 0.3
#: Time that an assent is in force, from its request's sending at the dispatcher and from its
#: receipt at the witness, in seconds.
ASSENT_PERIOD_S = 0.5
#: Time between two requests for assent, in seconds.
ASSENT_INTERVAL_S = 0.15
#: Longest wait for a witness, in seconds.
ASSENT_TIMEOUT_S = 0.25
#: Largest relative difference between the rates of two clocks.
CLOCK_RATE_BOUND = 0.02
#: Time without a heartbeat after which a member counts as lost, in seconds.
MEMBER_TIMEOUT_S = 0.6
#: Longest wait of a member's long poll, in milliseconds; also its heartbeat interval.
SYNC_WAIT_MS = 150


def surely_lapsed_after(period_s: float) -> float:
    """Return how long to wait on this clock until a period on another clock has surely ended.

    :param period_s: the period on the other clock, in seconds.
    :returns: seconds on this clock.
    """
    return period_s * (1 + CLOCK_RATE_BOUND) / (1 - CLOCK_RATE_BOUND)


def surely_in_force_for(period_s: float) -> float:
    """Return how long a period that began on another clock is surely still running there.

    :param period_s: the period on the other clock, in seconds.
    :returns: seconds on this clock.
    """
    return period_s * (1 - CLOCK_RATE_BOUND) / (1 + CLOCK_RATE_BOUND)

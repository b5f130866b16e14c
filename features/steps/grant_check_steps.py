"""Steps for the model check of grants."""

from behave import then, when
from behave.runner import Context

from features.grant_support import check_grants


@when("{sequences:d} random sequences of up to {steps:d} events run in virtual time")
def _(context: Context, sequences: int, steps: int) -> None:
    context.grant_failure = None
    try:
        context.grant_events = check_grants(sequences, steps)
    except AssertionError as exc:
        context.grant_failure = exc


@then("no key had two owners and no fencing token was issued twice")
def _(context: Context) -> None:
    if context.grant_failure is not None:
        notes = getattr(context.grant_failure, "__notes__", ())
        raise AssertionError("\n".join((str(context.grant_failure), *notes)))


@then("there were at least {elections:d} elections and {moves:d} moves")
def _(context: Context, elections: int, moves: int) -> None:
    events = context.grant_events
    assert events["leader.elected"] >= elections and events["keys.moved"] >= moves, events

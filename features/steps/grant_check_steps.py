"""Steps for the model check of grants."""

from behave import given, then, when
from behave.runner import Context

from features.grant_support import NODES, STORE, GrantFleet, check_grants

#: Time until all keys are granted, and until a restarted upstream has been granted keys again.
_START_S, _RENEWAL_S = 5.0, 1.5


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


@given("a fleet in virtual time with seed {seed:d}")
def _(context: Context, seed: int) -> None:
    context.grant_fleet = GrantFleet(seed, "u2")
    context.add_cleanup(context.grant_fleet.close)
    context.grant_fleet.time.advance(_START_S)
    assert context.grant_fleet.all_keys_held()


@when("an upstream that is cut off from the store and for {cut_s:g} s from all nodes restarts")
def _(context: Context, cut_s: float) -> None:
    fleet = context.grant_fleet
    upstream = frozenset({"affected"})
    from_store = fleet.pairs(upstream, frozenset({STORE}))
    from_nodes = fleet.pairs(upstream, frozenset(NODES))
    from_nodes |= {(target, source) for source, target in from_nodes}
    fleet.network.blocked = frozenset(from_store | from_nodes)
    fleet.time.advance(cut_s)
    fleet.start_upstream("u2")
    fleet.network.blocked = frozenset(from_store)
    fleet.time.advance(_RENEWAL_S)
    context.grant_failure = (
        AssertionError("; ".join(found)) if (found := fleet.violations()) else None
    )

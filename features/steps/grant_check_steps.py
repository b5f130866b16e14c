"""Steps for the model check of grants."""

from behave import given, then, when
from behave.runner import Context

from features.grant_support import NODES, STORE, GrantFleet, check_grants

#: Time until all keys are granted, until a restarted upstream has been granted keys again, and
#: until the keys of an upstream that is cut off have moved, in seconds.
_START_S, _RENEWAL_S, _MOVE_S = 5.0, 1.5, 4.0


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


def _cut(fleet: GrantFleet, *places: str) -> frozenset[tuple[str, str]]:
    """Return the paths between the affected upstream and other places."""
    pairs = fleet.pairs(frozenset({"affected"}), frozenset(places))
    return frozenset(pairs | {(target, source) for source, target in pairs})


def _check(context: Context, fleet: GrantFleet) -> None:
    found = fleet.violations()
    context.grant_failure = AssertionError("; ".join(found)) if found else None


@when("an upstream that is cut off from the store and for {cut_s:g} s from all nodes restarts")
def _(context: Context, cut_s: float) -> None:
    fleet = context.grant_fleet
    fleet.network.blocked = _cut(fleet, STORE, *NODES)
    fleet.time.advance(cut_s)
    fleet.start_upstream("u2")
    fleet.network.blocked = _cut(fleet, STORE)
    fleet.time.advance(_RENEWAL_S)
    _check(context, fleet)


@when("an upstream restarts, cut off from the store, and {later_s:g} s later only from nodes")
def _(context: Context, later_s: float) -> None:
    fleet = context.grant_fleet
    fleet.network.blocked = _cut(fleet, STORE)
    fleet.start_upstream("u2")
    fleet.time.advance(later_s)
    fleet.network.blocked = _cut(fleet, *NODES)
    fleet.time.advance(_MOVE_S)
    _check(context, fleet)

"""Steps for the model check of grants."""

from behave import given, then, when
from behave.runner import Context

from features.grant_support import NODES, STORE, GrantFleet, check_grants

#: Time until all keys are granted, until a restarted upstream has been granted keys again, and
#: until the keys of an upstream that is cut off have moved, in seconds.
_START_S, _RENEWAL_S, _MOVE_S = 5.0, 1.5, 4.0
#: Longest time until all keys are granted, and until the keys of a leaving upstream have moved, in
#: seconds.
_LONG_START_S, _LEAVING_S = 20.0, 12.0


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


@given("a fleet in virtual time with seed {seed:d}, in which each upstream owns {count:d} ranges")
def _(context: Context, seed: int, count: int) -> None:
    context.grant_fleet = GrantFleet(seed, "u2", count)
    context.add_cleanup(context.grant_fleet.close)
    context.grant_fleet.wait_until_granted(_LONG_START_S)


@when("an upstream leaves, and 9 of 10 calls to it after an answered one get no response")
def _(context: Context) -> None:
    fleet = context.grant_fleet
    fleet.network.lossy = {"u2": (0.9, 0.0)}
    fleet.time.advance(0.1)
    fleet.upstreams["u2"].is_leaving = True
    fleet.time.advance(_LEAVING_S)
    _check(context, fleet)


@when("half of the answers of an upstream that follow an answered call get lost")
def _(context: Context) -> None:
    context.grant_fleet.network.lossy = {"u2": (0.5, 1.0)}


@then("all keys are held for {seconds:d} s")
def _(context: Context, seconds: int) -> None:
    fleet = context.grant_fleet
    for _ in range(10 * seconds):
        fleet.time.advance(0.1)
        assert fleet.all_keys_held(), f"keys without an owner at {fleet.time.now:.1f}"


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

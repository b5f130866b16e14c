"""Steps for the pure functions that decide on slots, dispatchers, witnesses and homes."""

from assigner_support import make_cfg_document
from assigner_support._slot_text import format_slots, parse_counts, parse_numbers, parse_slots
from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigner import (
    Placement,
    blocking_quorum,
    choose_dispatchers,
    choose_rehomed,
    choose_witnesses,
    distribute,
    first_placement,
    placement_from_json,
    placement_to_json,
    quotas,
    surplus,
)
from foxtailshunt.config import Configuration, configuration_from_json
from foxtailshunt.errors import DocumentError
from foxtailshunt.ownership import ProcessRef


class HomesSubject:
    """A placement and the configuration that it should follow."""

    def __init__(self, homes: str, upstreams: str, bound: int) -> None:
        self.cfg = _cfg_of(upstreams, 12, bound)
        self.placement = Placement("desk", 12, "t", parse_slots(homes), frozenset())

    def choose(self, is_able: bool, unable: str) -> dict[str, frozenset[int]]:
        for zone in unable.split():
            self.placement = self.placement.with_ability(zone, False, "t")
        return choose_rehomed(self.placement, self.cfg.services["desk"], "a", is_able)


def _cfg_of(upstreams: str, slots: int, bound: int) -> Configuration:
    counts = parse_counts(upstreams)
    zones = {f"{zone}{n}": zone for zone, count in counts.items() for n in range(int(count))}
    return configuration_from_json(make_cfg_document(zones, slots, bound), 1)


def _refs(names: str) -> tuple[ProcessRef, ...]:
    return tuple(ProcessRef(name, ("127.0.0.1", 1), name) for name in names.split())


@when('{total:d} slots are divided by weights "{weights}" while owned are "{owned}"')
def divide(context: Context, total: int, weights: str, owned: str) -> None:
    context.result = quotas(total, parse_counts(weights), parse_counts(owned))


@then('the division is "{expected}"')
def check_division(context: Context, expected: str) -> None:
    assert context.result == parse_counts(expected), context.result


@when('the slots {slots} are handed out by weights "" while owned are ""')
def hand_out_to_none(context: Context, slots: str) -> None:
    context.result = distribute(parse_numbers(slots), {}, {})


@when('the slots {slots} are handed out by weights "{weights}" while owned are "{owned}"')
def hand_out(context: Context, slots: str, weights: str, owned: str) -> None:
    context.result = distribute(parse_numbers(slots), parse_counts(weights), parse_counts(owned))


@when('at most {limit:d} slots move for balance while owned are "{owned}" by weights "{weights}"')
def balance(context: Context, limit: int, owned: str, weights: str) -> None:
    context.result = surplus(parse_slots(owned), parse_counts(weights), limit)


@then('they go to ""')
@then('taken are ""')
@then('it chooses ""')
def check_no_slots(context: Context) -> None:
    assert format_slots(context.result) == "", context.result


@then('they go to "{expected}"')
@then('taken are "{expected}"')
@then('it chooses "{expected}"')
def check_slots(context: Context, expected: str) -> None:
    assert format_slots(context.result) == expected, format_slots(context.result)


@when(
    'the dispatchers of "{current}" are chosen of "{live}" with {moves:d} moves, '
    'senders "{senders}"'
)
def choose(context: Context, current: str, live: str, moves: int, senders: str) -> None:
    lists = {part[0]: tuple(part[2:]) for part in current.split()}
    by_upstream = dict(part.split("=") for part in senders.split())
    chosen = choose_dispatchers(lists, tuple(live.split()), by_upstream, moves)
    context.result = " ".join(f"{name}:{''.join(names)}" for name, names in chosen.items())


@when('the dispatchers of "{current}" are chosen of "{live}" with {moves:d} moves, senders ""')
def choose_without_senders(context: Context, current: str, live: str, moves: int) -> None:
    choose(context, current, live, moves, "")


@when('the dispatchers of "{current}" are chosen of "" with {moves:d} moves, senders ""')
def choose_of_none(context: Context, current: str, moves: int) -> None:
    choose(context, current, "", moves, "")


@then('the dispatchers are "{expected}"')
def check_dispatchers(context: Context, expected: str) -> None:
    assert context.result == expected, context.result


def _follow(context: Context, current: str, live: str, missing: str) -> None:
    chosen = choose_witnesses(tuple(current.split()), _refs(live), frozenset(missing.split()))
    context.result = " ".join(chosen)


@when('the witnesses "{current}" are followed of live "{live}" with missing "{missing}"')
def follow(context: Context, current: str, live: str, missing: str) -> None:
    _follow(context, current, live, missing)


@when('the witnesses "{current}" are followed of live "{live}" with missing ""')
def follow_without_missing(context: Context, current: str, live: str) -> None:
    _follow(context, current, live, "")


@when('the witnesses "" are followed of live "{live}" with missing ""')
def follow_none(context: Context, live: str) -> None:
    _follow(context, "", live, "")


@then('the witnesses are "{expected}"')
def check_witnesses(context: Context, expected: str) -> None:
    assert context.result == expected, context.result


@then("{quorum:d} refusals block a set of {size:d}")
def check_quorum(context: Context, quorum: int, size: int) -> None:
    assert blocking_quorum(size) == quorum, blocking_quorum(size)


@given('12 slots homed "{homes}" with upstreams "{upstreams}", at most {bound:d} moves')
def make_homes(context: Context, homes: str, upstreams: str, bound: int) -> None:
    context.homes = HomesSubject(homes, upstreams, bound)


@when('zone a, {ability}, chooses slots for other zones while "{unable}" cannot serve')
def rehome(context: Context, ability: str, unable: str) -> None:
    context.result = context.homes.choose(ability == "able", unable)


@when('zone a, {ability}, chooses slots for other zones while "" cannot serve')
def rehome_to_all(context: Context, ability: str) -> None:
    context.result = context.homes.choose(ability == "able", "")


@when('the first placement of {slots:d} slots is made for upstreams "{upstreams}"')
def place_first(context: Context, slots: int, upstreams: str) -> None:
    cfg = _cfg_of(upstreams, slots, 1)
    placement = first_placement(cfg, cfg.services["desk"], "t")
    assert placement_from_json(placement_to_json(placement)) == placement
    context.result = placement.homes


@then('the homes are "{expected}"')
def check_homes(context: Context, expected: str) -> None:
    assert format_slots(context.result) == expected, format_slots(context.result)


@when("the placement document {document} is read")
def read_document(context: Context, document: str) -> None:
    context.error = None
    try:
        placement_from_json(document)
    except DocumentError as exc:
        context.error = exc


@then("it is refused as malformed")
def check_refused(context: Context) -> None:
    assert context.error is not None

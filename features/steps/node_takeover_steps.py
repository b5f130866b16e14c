"""Steps for what a new leader assumes of the grants of earlier leaders, under a movable clock."""

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigning import GrantRenewer, LeaderProcess, MemberRegistry, PreviousLeaders
from foxtailshunt.fleet import KeyRange, Member, Upstream
from foxtailshunt.platform import GrantOutcome, KeyGrantError, UpstreamReplacedError
from foxtailshunt.telemetry import Metrics

#: How long keys are held after a grant, in seconds, as the table of ends assumes.
HOLD_S = 2.4
_OLD_TERM, _NEW_TERM = 3, 7
_ADDRESS = ("127.0.0.1", 1)
_RANGES = [KeyRange("desk", 0, 9, "u0", 5), KeyRange("desk", 20, 29, "u0", 5)]


def _member(instance_id: str, boot_id: str = "boot", leaving: bool = False) -> Member:
    return Member(instance_id, boot_id, "zone-a", _ADDRESS, leaving)


class TakeoverSubject:
    """The leaders before a new one, and what the new one hears."""

    def __init__(self, former: LeaderProcess) -> None:
        self.now = 0.0
        self.members = MemberRegistry()
        self.former = former
        self.leaders = PreviousLeaders(
            [former], _member("new", "new boot"), -1.0, _NEW_TERM, self.members, lambda: self.now
        )

    def hear(self, words: str) -> None:
        if words == "nothing":
            return
        first, _, again = words.partition(", again at ")
        who, _, rest = first.partition(" at ")
        at, _, known = rest.partition(" knowing ")
        member = {
            "it": _member("former"),
            "it leaving": _member("former", leaving=True),
            "its next process": _member("former", "next boot"),
            "another instance": _member("other"),
        }[who]
        terms = {"the new term": _NEW_TERM, "only its own term": _OLD_TERM, "no term": 0}
        for moment in filter(None, (at, again)):
            self.members.observe(member, terms[known], float(moment))


class ScriptedOrders:
    """Answers grants to two ranges as a script says."""

    def __init__(self, script: str) -> None:
        self._script = script

    def grant(
        self, keys: KeyRange, hold_s: float, handover: str | None, timeout_s: float
    ) -> GrantOutcome:
        is_second = keys == _RANGES[1]
        if self._script == "is found to be replaced":
            raise UpstreamReplacedError("grant")
        if self._script == "cannot be connected to":
            raise KeyGrantError("grant", sent=False)
        if self._script == "answers neither" or (
            self._script == "accepts the first only" and is_second
        ):
            raise KeyGrantError("grant", sent=True)
        if self._script == "refuses one for its fence" and is_second:
            return GrantOutcome.FENCED_OFF
        return GrantOutcome.ACCEPTED


class HolderSubject:
    """A new leader's view of one upstream."""

    def __init__(self, previous_grants_expire_at: float) -> None:
        self.now = 0.0
        upstream = Upstream("u0", "desk", _ADDRESS, "zone-a", 2, False, 0.0, 0)
        self.holder = GrantRenewer(
            upstream,
            lambda: previous_grants_expire_at,
            lambda _upstream_id: _RANGES,
            lambda _upstream_id: None,
            lambda: True,
            lambda _keys: None,
            lambda: HOLD_S,
            lambda: self.now,
            Metrics(),
        )


@given("an instance led until a new leader took over at second 0, as the table says")
def _(context: Context) -> None:
    context.takeover = TakeoverSubject(LeaderProcess("former", "boot", 12.948))


@given("the new leader's {what} led before it took over at second 0, as the table says")
def _(context: Context, what: str) -> None:
    boot_id = "new boot" if what == "own process" else "earlier boot"
    context.takeover = TakeoverSubject(LeaderProcess("new", boot_id, 12.948))


@when("the new leader hears {words}")
def _(context: Context, words: str) -> None:
    context.takeover.hear(words)


@then("at second {moment:g} grants of the earlier leader run until second {end:g}")
def _(context: Context, moment: float, end: float) -> None:
    context.takeover.now = moment
    found = context.takeover.leaders.grants_expire_at()
    assert abs(found - end) < 0.001, found


@then("at second {moment:g} the table still names the earlier leader, for 0.948 s more")
def _(context: Context, moment: float) -> None:
    context.takeover.now = moment
    (found,) = context.takeover.leaders.unexpired()
    assert found.boot_id == context.takeover.former.boot_id, found
    assert abs(found.grants_left_s - 0.948) < 0.001, found


@then("at second {moment:g} the table names it no more")
def _(context: Context, moment: float) -> None:
    context.takeover.now = moment
    assert context.takeover.leaders.unexpired() == ()


@given("an upstream with two ranges, and earlier grants that run until second {end:g}")
def _(context: Context, end: float) -> None:
    context.holding = HolderSubject(end)


@when("the new leader renews at second {moment:g} and the upstream {answers}")
def _(context: Context, moment: float, answers: str) -> None:
    context.holding.now = moment
    context.holding.holder.renew_all(ScriptedOrders(answers))


@then("at second {moment:g} the upstream may hold keys until second {end:g}")
def _(context: Context, moment: float, end: float) -> None:
    context.holding.now = moment
    found = context.holding.holder.held_until
    assert abs(found - end) < 0.001, found

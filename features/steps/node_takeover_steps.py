"""Steps for how a new leader treats grants of previous leaders, with a simulated clock."""

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigning import (
    GrantHold,
    GrantRenewer,
    LeaderProcess,
    MemberRegistry,
    PreviousGrants,
    PreviousLeaders,
)
from foxtailshunt.fleet import Address, KeyRange, Member, Upstream
from foxtailshunt.platform import GrantOutcome, KeyGrantError, UpstreamReplacedError
from foxtailshunt.telemetry import Metrics

#: How long keys are held after a grant, in seconds, as assumed by the expected expiry times.
HOLD_S = 2.4
_OLD_TERM, _NEW_TERM = 3, 7
_ADDRESS, _OTHER_ADDRESS = ("127.0.0.1", 1), ("127.0.0.1", 2)
_RANGES = [KeyRange("desk", 0, 9, "u0", 5), KeyRange("desk", 20, 29, "u0", 5)]
_MOVING = KeyRange("desk", 40, 49, "u0", 6, giver="u1", moving=True)


def _member(instance_id: str, boot_id: str = "boot", leaving: bool = False) -> Member:
    return Member(instance_id, boot_id, "zone-a", _ADDRESS, leaving)


class TakeoverSubject:
    """A previous leader, and the heartbeats that the new leader receives."""

    def __init__(self, previous_leader: LeaderProcess) -> None:
        self.now = 0.0
        self.members = MemberRegistry()
        self.previous_leader = previous_leader
        self.leaders = PreviousLeaders(
            [previous_leader],
            _member("new", "new boot"),
            -1.0,
            _NEW_TERM,
            self.members,
            lambda: self.now,
        )

    def receive(self, heartbeats: str) -> None:
        if heartbeats == "no heartbeat":
            return
        first, _, again = heartbeats.partition(", again at ")
        sender, _, rest = first.partition(" at ")
        at, _, known = rest.partition(" with ")
        member = {
            "one from it": _member("former"),
            "one from it while leaving": _member("former", leaving=True),
            "one from its next process": _member("former", "next boot"),
            "one from another instance": _member("other"),
        }[sender]
        terms = {"the new term": _NEW_TERM, "only its own term": _OLD_TERM, "no term": 0}
        for moment in filter(None, (at, again)):
            self.members.observe(member, terms[known], float(moment))


class ScriptedGrantClient:
    """Answers grants for two ranges as scripted."""

    def __init__(self, script: str) -> None:
        self._script = script

    def grant(
        self, keys: KeyRange, hold_s: float, handover: str | None, timeout_s: float
    ) -> GrantOutcome:
        is_second = keys == _RANGES[1]
        if self._script == "has been replaced":
            raise UpstreamReplacedError("grant")
        if self._script == "cannot be connected to":
            raise KeyGrantError("grant", sent=False)
        if self._script == "answers neither" or (
            self._script == "accepts the first only" and is_second
        ):
            raise KeyGrantError("grant", sent=True)
        if self._script == "refuses one for its fencing token" and is_second:
            return GrantOutcome.FENCED_OFF
        return GrantOutcome.ACCEPTED


class UnconnectedGrantClient:
    """Cannot connect; in the meantime another client's grant is accepted."""

    def __init__(self, renewer: GrantRenewer) -> None:
        self._renewer = renewer

    def grant(
        self, keys: KeyRange, hold_s: float, handover: str | None, timeout_s: float
    ) -> GrantOutcome:
        assert self._renewer.grant(ScriptedGrantClient("accepts both"), _RANGES[1], None)
        raise KeyGrantError("grant", sent=False)


class ReplacingGrantClient:
    """Has the renewer replaced while a grant is being sent."""

    def __init__(self, renewal: "RenewerSubject") -> None:
        self._renewal = renewal
        #: Until when the upstream may hold keys as seen by the new renewer meanwhile, in seconds.
        self.held_until = float("-inf")

    def grant(
        self, keys: KeyRange, hold_s: float, handover: str | None, timeout_s: float
    ) -> GrantOutcome:
        self.held_until = self._renewal.create_renewer(_ADDRESS).held_until
        return GrantOutcome.ACCEPTED


class ClosingGrantClient:
    """Loses the connection during each grant."""

    def grant(
        self, keys: KeyRange, hold_s: float, handover: str | None, timeout_s: float
    ) -> GrantOutcome:
        raise KeyGrantError("grant", sent=True, may_have_restarted=True)


class RenewerSubject:
    """The grant renewer of a new leader for one upstream."""

    def __init__(self, previous_grants_expire_at: float) -> None:
        self.now = 0.0
        self.requested: list[KeyRange] = []
        self.hold = GrantHold()
        self._previous_grants_expire_at = previous_grants_expire_at
        self.renewer = self.create_renewer(_ADDRESS)

    def create_renewer(self, address: Address) -> GrantRenewer:
        """Return a renewer for a run of the upstream."""
        upstream = Upstream("u0", "desk", address, "zone-a", 2, False, 0.0, 0)
        return GrantRenewer(
            upstream,
            self.hold,
            PreviousGrants(_RANGES, lambda: self._previous_grants_expire_at),
            lambda _upstream_id: _RANGES,
            lambda _keys: True,
            lambda _upstream_id: None,
            lambda: True,
            self.requested.append,
            lambda: HOLD_S,
            lambda: self.now,
            Metrics(),
        )


@given("the table names another instance as leader until a new leader took over at second 0")
def _(context: Context) -> None:
    context.takeover = TakeoverSubject(LeaderProcess("former", "boot", 12.948))


@given("the table names the new leader's {what} as leader until it took over at second 0")
def _(context: Context, what: str) -> None:
    boot_id = "new boot" if what == "own process" else "earlier boot"
    context.takeover = TakeoverSubject(LeaderProcess("new", boot_id, 12.948))


@when("the new leader receives {heartbeats}")
def _(context: Context, heartbeats: str) -> None:
    context.takeover.receive(heartbeats)


@then("at second {moment:g} grants of the previous leader expire by second {end:g}")
def _(context: Context, moment: float, end: float) -> None:
    context.takeover.now = moment
    found = context.takeover.leaders.grants_expire_at()
    assert abs(found - end) < 0.001, found


@then("at second {moment:g} the table names the previous leader with 0.948 s left")
def _(context: Context, moment: float) -> None:
    context.takeover.now = moment
    (found,) = context.takeover.leaders.unexpired()
    assert found.boot_id == context.takeover.previous_leader.boot_id, found
    assert abs(found.grants_left_s - 0.948) < 0.001, found


@then("at second {moment:g} the table no longer names it")
def _(context: Context, moment: float) -> None:
    context.takeover.now = moment
    assert context.takeover.leaders.unexpired() == ()


@given("an upstream with two ranges, and grants of previous leaders that expire at second {end:g}")
def _(context: Context, end: float) -> None:
    context.renewal = RenewerSubject(end)


@when("the new leader renews its grants at second {moment:g} and the upstream {answers}")
def _(context: Context, moment: float, answers: str) -> None:
    context.renewal.now = moment
    context.renewal.renewer.renew_all(ScriptedGrantClient(answers))


@when("a grant is accepted at second {moment:g} while another waits for a connection that fails")
def _(context: Context, moment: float) -> None:
    renewal = context.renewal
    renewal.now = moment
    renewal.renewer.grant(UnconnectedGrantClient(renewal.renewer), _RANGES[0], None)


@when("its renewer is replaced {occasion} at second {moment:g}")
def _(context: Context, occasion: str, moment: float) -> None:
    renewal = context.renewal
    renewal.now = moment
    client = ReplacingGrantClient(renewal)
    assert renewal.renewer.grant(client, _RANGES[0], None)
    context.held_until_meanwhile = client.held_until
    address = _OTHER_ADDRESS if occasion == "after a grant, by one of another address" else _ADDRESS
    renewal.renewer = renewal.create_renewer(address)


@when("the upstream that the new renewer calls has been replaced")
def _(context: Context) -> None:
    context.renewal.renewer.grant(ScriptedGrantClient("has been replaced"), _RANGES[0], None)


@then("the new renewer took the grant for one that holds until second {end:g} while it was sent")
def _(context: Context, end: float) -> None:
    assert abs(context.held_until_meanwhile - end) < 0.001, context.held_until_meanwhile


@when("it closes the connection during a grant of keys that are moving to it")
def _(context: Context) -> None:
    assert not context.renewal.renewer.grant(ClosingGrantClient(), _MOVING, None)


@then("these keys are not granted to it again with the same token")
def _(context: Context) -> None:
    client = ScriptedGrantClient("accepts both")
    assert not context.renewal.renewer.grant(client, _MOVING, None), "granted again"


@then("a new token is requested for them")
def _(context: Context) -> None:
    assert _MOVING in context.renewal.requested, context.renewal.requested


@then("at second {moment:g} the upstream may hold keys until second {end:g}")
def _(context: Context, moment: float, end: float) -> None:
    context.renewal.now = moment
    found = context.renewal.renewer.held_until
    assert abs(found - end) < 0.001, found


@given('keys 0 to 9 owned by "u0", and keys 20 to 29 moving from "u0" to "u1"')
def _(context: Context) -> None:
    moving = KeyRange("desk", 20, 29, "u1", 6, giver="u0", moving=True)
    context.table_ranges = [_RANGES[0], moving]


@given("grants of previous leaders that expire at second {end:g}")
def _(context: Context, end: float) -> None:
    context.previous_grants = PreviousGrants(context.table_ranges, lambda: end)


@when("these events occur: {events}")
def _(context: Context, events: str) -> None:
    grants = context.previous_grants
    for event in filter(None, events.removeprefix("none").split(", ")):
        name, what, *keys = event.split(" ")
        if what == "terminates":
            grants.forget(name)
        elif what == "restarts":
            grants.restore(name)
        else:
            first, _, last = keys
            grants.fence(name, KeyRange("desk", int(first), int(last), name, 7))


@then('"{upstream_id}" may hold keys by grants of previous leaders until second {end:g}')
def _(context: Context, upstream_id: str, end: float) -> None:
    found = context.previous_grants.expire_at(upstream_id)
    assert found == end, found

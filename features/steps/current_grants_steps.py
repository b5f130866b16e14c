"""Steps for the grants of keys that change meanwhile."""

import socket
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from features.front_support import WAIT_TIMEOUT_S
from foxtailshunt.assigning import (
    GrantHold,
    GrantRenewer,
    OwnedRanges,
    PreviousGrants,
    TokenRequests,
)
from foxtailshunt.assigning._key_mover import KeyMover
from foxtailshunt.fleet import KeyRange, Upstream
from foxtailshunt.http import HttpChannel
from foxtailshunt.platform import GrantOutcome, KeyGrantClient, KeyGrantError
from foxtailshunt.telemetry import Metrics

_ADDRESS = ("127.0.0.1", 1)
_HOLD_S = 2.0
_GRANT_TIMEOUT_S = 0.05
_TIMES = {"once": 1, "twice": 2}


class RecordingGrantClient:
    """Records the grants, and calls a function during the first one."""

    def __init__(self, during_first: Callable[[], None], answers: bool) -> None:
        self.granted: list[int] = []
        self._during_first, self._answers = during_first, answers

    def grant(
        self, keys: KeyRange, hold_s: float, handover: str | None, timeout_s: float
    ) -> GrantOutcome:
        self.granted.append(keys.first)
        if len(self.granted) == 1:
            self._during_first()
        if not self._answers:
            raise KeyGrantError("grant", sent=True)
        return GrantOutcome.ACCEPTED

    def close(self) -> None: ...


class GrantingLeader:
    """A leader with one upstream."""

    def __init__(self, *ranges: KeyRange) -> None:
        self.ranges = OwnedRanges()
        self.ranges.replace_all(ranges)
        self.tokens = TokenRequests()
        self.leads = True
        upstream = Upstream("u0", "desk", _ADDRESS, "zone-a", 2, False, 0.0, 0)
        self.renewer = GrantRenewer(
            upstream,
            GrantHold(),
            PreviousGrants((), lambda: float("-inf")),
            self.ranges.owned_by,
            lambda keys: self.ranges.contains(keys) and not self.tokens.includes(keys),
            lambda _upstream_id: None,
            lambda: self.leads,
            self.tokens.add,
            lambda: _HOLD_S,
            lambda: 0.0,
            Metrics(),
        )

    def apply(self, event: str) -> None:
        """Let an event happen."""
        keys = next((item for item in self.ranges.all() if item.first == 20), None)
        assert keys is not None
        moving = replace(keys, owner="u1", fence=9, giver="u0", moving=True)
        changes = {
            "keys 20 to 29 start to move": [moving],
            "keys 20 to 29 move on": [moving],
            "keys 25 to 29 start to move": [replace(moving, first=25), replace(keys, last=24)],
            "keys 20 to 29 get a new token": [replace(keys, fence=9)],
        }
        if event in changes:
            self.ranges.change([(keys, changes[event])], ())
        elif event == "a new token is requested for 20 to 29":
            self.tokens.add(keys)
        elif event == "its renewer is stopped":
            self.renewer.stop()
        elif event == "the term ends":
            self.leads = False
        else:
            assert event == "nothing happens", event


@given("an upstream that owns keys 0 to 9, 10 to 19 and 20 to 29")
def _(context: Context) -> None:
    rows = ((0, 9), (10, 19), (20, 29))
    context.leader = GrantingLeader(*(KeyRange("desk", *row, "u0", 5) for row in rows))


@when("{event} while a round of renewals sends its first grant")
def _(context: Context, event: str) -> None:
    context.grants = RecordingGrantClient(lambda: context.leader.apply(event), True)
    context.leader.renewer.renew_all(context.grants)


@then("the round has granted only {granted}")
def _(context: Context, granted: str) -> None:
    expected = [int(first) for first in granted.replace(" and ", ", ").split(", ")]
    assert context.grants.granted == expected, context.grants.granted


@given("keys 20 to 29 that move to an upstream")
def _(context: Context) -> None:
    context.moving = KeyRange("desk", 20, 29, "u0", 5, giver="u1", moving=True)
    context.leader = GrantingLeader(context.moving)


@when("{event} while their grant gets no answer")
def _(context: Context, event: str) -> None:
    leader = context.leader
    context.grants = RecordingGrantClient(lambda: leader.apply(event), False)
    mover = KeyMover(
        {"u0": leader.renewer},
        lambda: leader.leads,
        PreviousGrants((), lambda: float("-inf")),
        lambda _keys: True,
        threading.Event(),
        lambda: 0.0,
        Metrics(),
        lambda _address, _upstream_id: context.grants,
    )
    mover.grant(context.moving, None)


@then("the move has tried to grant them {times}")
def _(context: Context, times: str) -> None:
    assert len(context.grants.granted) == _TIMES[times], context.grants.granted


@given("an upstream to which these grants were sent: {grants}")
def _(context: Context, grants: str) -> None:
    context.hold = hold = GrantHold()
    for row in grants.split(", ") if grants != "none" else ():
        *what, at = row.split(" at ")
        if what == ["terminated"]:
            hold.terminate(_ADDRESS, float(at))
            continue
        first, last, *how = what[0].replace(" to ", " ").split()
        keys = KeyRange("desk", int(first), int(last), "u0", 5)
        pending = hold.begin(_ADDRESS, keys, 0.0, float(at) + _HOLD_S)
        if how != ["delayed"]:
            hold.end(pending, float("-inf") if how else float(at) + _HOLD_S)


@then("a move of keys 20 to 29 may take them for expired at second {end:g}")
def _(context: Context, end: float) -> None:
    found = context.hold.until_of(KeyRange("desk", 20, 29, "u1", 6, giver="u0", moving=True))
    assert found == end, found


@given("an upstream that records what it receives")
def _(context: Context) -> None:
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(context.listener.close)


class SlowlyConnectedChannel(HttpChannel):
    """Takes longer to connect than a grant may take."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        time.sleep(2 * _GRANT_TIMEOUT_S)


@when("connecting for a grant takes longer than the grant may take")
def _(context: Context) -> None:
    client = KeyGrantClient(context.listener.getsockname(), "u0")
    context.grant_error = None
    with patch("foxtailshunt.platform._grants.HttpChannel", SlowlyConnectedChannel):
        try:
            client.grant(KeyRange("desk", 0, 9, "u0", 5), _HOLD_S, None, _GRANT_TIMEOUT_S)
        except KeyGrantError as exc:
            context.grant_error = exc
    client.close()


@then("the upstream has received nothing")
def _(context: Context) -> None:
    context.listener.settimeout(WAIT_TIMEOUT_S)
    conn, _ = context.listener.accept()
    with conn:
        conn.settimeout(WAIT_TIMEOUT_S)
        try:
            received = conn.recv(65_536)
        except ConnectionResetError:
            received = b""
    assert received == b"", received


@then("the grant counts as not sent")
def _(context: Context) -> None:
    assert context.grant_error is not None and not context.grant_error.sent

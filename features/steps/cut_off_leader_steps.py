"""Steps for a leader that is cut off together with an upstream to which it was moving keys."""

import json
import socket
import threading
import time

from behave import given, then, when
from behave.runner import Context

from features.node_support import NodeFleet
from standins.keyowner import KeyOwner

_SERVICE = "desk"
_FIRST, _LAST = 0, 32_767
_FENCE = 5
_HOLD_S = 2.4
_RENEW_INTERVAL_S = 0.3
#: How long the previous leader renews its grants after a new one was elected, in seconds; the new
#: leader gives up on an upstream that it cannot reach after less.
_RENEWED_S = 4.8
#: How long the table says that grants of the previous leader may last, in seconds.
_GRANTS_LEFT_S = 8.0


class CutOffSubject:
    """A fleet whose previous leader alone still reaches one of the upstreams."""

    def __init__(self, fleet: NodeFleet) -> None:
        self.fleet = fleet
        # Connections to this address are accepted by the kernel and never answered.
        self._silent = socket.create_server(("127.0.0.1", 0))
        self.giver = fleet.add_owner("giver", _SERVICE)
        self.other = fleet.add_owner("other", _SERVICE)
        self.cut_off = fleet.add_owner("cut-off", _SERVICE, known=self._silent.getsockname())
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._renew, daemon=True)

    def write_table(self) -> None:
        """Write the table as the previous leader left it."""
        rows = [
            _row(_FIRST, _LAST, self.cut_off) | {"giver": self.giver.upstream_id},
            _row(_LAST + 1, 65_535, self.other),
        ]
        leader = {"instance_id": "former", "boot_id": "b", "grants_left_s": _GRANTS_LEFT_S}
        table = {"fence": _FENCE, "ranges": rows, "leaders": [leader]}
        self.fleet.store.put("foxtailshunt/table", json.dumps(table).encode())

    def start_renewing(self) -> None:
        """Grant the keys to the upstream, as the previous leader does while it is cut off."""
        self._thread.start()

    def close(self) -> None:
        """Stop renewing."""
        self._stopping.set()
        self._thread.join()
        self._silent.close()

    def _renew(self) -> None:
        elected_at: float | None = None
        while not self._stopping.wait(_RENEW_INTERVAL_S):
            now = time.monotonic()
            if elected_at is None and self.fleet.leader() is not None:
                elected_at = now
            if elected_at is not None and now - elected_at > _RENEWED_S:
                return
            self.cut_off.grants.grant(_FIRST, _LAST, _FENCE, _HOLD_S, now)


def _row(first: int, last: int, owner: KeyOwner) -> dict[str, object]:
    return {
        "service": _SERVICE,
        "first": first,
        "last": last,
        "owner": owner.upstream_id,
        "fence": _FENCE,
    }


@given("keys were moving to an upstream when its leader and it were cut off")
def _(context: Context) -> None:
    fleet = NodeFleet()
    context.fleet_subject = fleet
    fleet.configure({"lookup": {"service": _SERVICE, "route_type": "safe"}}, {_SERVICE: True})
    context.cut_off = CutOffSubject(fleet)
    context.add_cleanup(context.cut_off.close)
    context.cut_off.write_table()
    context.cut_off.start_renewing()


@when("another node becomes the leader while the previous leader renews its grants")
def _(context: Context) -> None:
    context.fleet_subject.add_node("n0")
    context.fleet_subject.wait_until(
        lambda: context.fleet_subject.leader() == "n0", "another node leads"
    )


@then("the keys of that upstream have another owner only after its last grant has expired")
def _(context: Context) -> None:
    fleet, subject = context.fleet_subject, context.cut_off
    live = (subject.giver, subject.other)
    fleet.wait_until(
        lambda: sum(owner.grants.held_count() for owner in live) == 65_536,
        "the other upstreams hold all keys",
    )
    assert subject.cut_off.grants.history, "the upstream held no key"
    overlaps = fleet.overlaps()
    assert not overlaps, "\n".join(overlaps[:10])

"""Steps for answers of the store that are lost, in virtual time."""

from behave import given, then, when
from behave.runner import Context

from features.grant_support import GrantFleet
from foxtailshunt.assigning import LEADER_KEY
from foxtailshunt.assigning._leadership import LEASE_TTL_S
from foxtailshunt.config import CONFIG_KEY

_ZONE = "zone-b"
_START_S = 20.0
#: Time in which watches begin to wait again after the start, in seconds.
_SETTLED_S = 2.3
#: Until a new leader is known at all nodes, in seconds.
_ELECTION_S = 4.0


@given("a fleet of {count:d} nodes in virtual time")
def _(context: Context, count: int) -> None:
    context.lost_fleet = fleet = GrantFleet(7, "u2", nodes=[f"n{index}" for index in range(count)])
    context.add_cleanup(fleet.close)
    fleet.wait_until_granted(_START_S)
    fleet.operator.apply()
    fleet.time.advance(_SETTLED_S)


@when("the leader is replaced")
def _(context: Context) -> None:
    fleet = context.lost_fleet
    fleet.time.kill(fleet.nodes[fleet.resolve("leader")].process)
    fleet.time.advance(_ELECTION_S)


@when("{change} and {who} has a watch of it with {fault}")
def _(context: Context, change: str, who: str, fault: str) -> None:
    fleet = context.lost_fleet
    leader = fleet.resolve("leader")
    running = [name for name, node in fleet.nodes.items() if not node.process.is_killed]
    followers = [name for name in running if name != leader]
    places = {"the leader": [leader], "a follower": followers[:1], "each node": running}[who]
    is_taken_back = change == "an evacuation is taken back"
    if is_taken_back:
        fleet.operator.evacuate(_ZONE, True)
        fleet.time.advance(_SETTLED_S)
    prefix = LEADER_KEY if change == "the leader is killed" else CONFIG_KEY
    fleet.network.watch_faults = dict.fromkeys([(name, prefix) for name in places], fault)
    if change == "the leader is killed":
        fleet.time.kill(fleet.nodes[leader].process)
        # Its key is removed once its lease has expired.
        fleet.time.advance(LEASE_TTL_S)
        context.knows = lambda node: node.leadership.leader is not None and (
            node.leadership.leader.instance_id != leader
        )
    elif change == "a configuration is applied":
        fleet.operator.apply()
        context.knows = lambda node: node.configurations.numbers[-1] == fleet.operator.number
    else:
        zones = frozenset() if is_taken_back else frozenset({_ZONE})
        fleet.operator.evacuate(_ZONE, not is_taken_back)
        context.knows = lambda node: node.view.evacuated_zones == zones


@then("{seconds:d} s later all nodes know of it")
def _(context: Context, seconds: int) -> None:
    fleet = context.lost_fleet
    fleet.time.advance(seconds)
    running = {name: node for name, node in fleet.nodes.items() if not node.process.is_killed}
    behind = [name for name, node in running.items() if not context.knows(node)]
    assert running and not behind, f"{behind}\n" + "\n".join(fleet.log[-20:])

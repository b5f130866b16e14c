"""Steps that run whole fleets and inject faults into them."""

import time

from behave import given, then, when
from behave.runner import Context

from features.fleet_support import FleetSubject
from standins.fleet import InstanceLayout, wait_for
from standins.metadata import StoreFault
from standins.proxy import Direction

#: Number of requests that must be refused in a row.
_REFUSED_REQUESTS = 20


def _start_fleet(context: Context, name: str, proxied: bool) -> None:
    context.fleet_subject = FleetSubject(name, proxied)
    context.fleet_subject.start()


def _first_zone(subject: FleetSubject) -> str:
    return subject.fleet.layout.zones[0]


def _choose_instance(subject: FleetSubject, role: str) -> InstanceLayout:
    """Choose the leader's instance, or the one that sends to an upstream that owns keys."""
    if role == "leading":
        subject.chosen_instance = subject.leader()
    else:
        upstream = subject.busiest_upstream(_first_zone(subject))
        subject.chosen_instance = subject.sender_of(upstream)
    subject.chosen_process = subject.fleet.node(subject.chosen_instance).process
    return subject.chosen_instance


@given('a fleet "{name}" with callers on every key')
def start_fleet(context: Context, name: str) -> None:
    _start_fleet(context, name, proxied=False)


@given('a fleet "{name}" with callers at a low rate on every key')
def start_fleet_at_low_rate(context: Context, name: str) -> None:
    context.fleet_subject = FleetSubject(name, proxied=False, low_rate=True)
    context.fleet_subject.start()


@given('a proxied fleet "{name}" with callers on every key')
def start_proxied_fleet(context: Context, name: str) -> None:
    _start_fleet(context, name, proxied=True)


@when("the fleet loses an upstream that owns keys")
def lose_upstream(context: Context) -> None:
    _crash_busiest_upstream(context.fleet_subject, _first_zone(context.fleet_subject))


@when('the fleet loses an upstream of "{zone}" that owns keys')
def lose_upstream_of_zone(context: Context, zone: str) -> None:
    _crash_busiest_upstream(context.fleet_subject, zone)


def _crash_busiest_upstream(subject: FleetSubject, zone: str) -> None:
    subject.chosen_upstream = subject.busiest_upstream(zone)
    subject.mark_fault()
    subject.fleet.crash_upstream(subject.chosen_upstream)


@when("the fleet's upstream that owns keys freezes")
def freeze_upstream(context: Context) -> None:
    subject = context.fleet_subject
    subject.chosen_upstream = subject.busiest_upstream(_first_zone(subject))
    subject.mark_fault()
    subject.fleet.upstreams[subject.chosen_upstream.upstream_id].freeze()


@when("the fleet's frozen upstream returns")
def resume_upstream(context: Context) -> None:
    subject = context.fleet_subject
    subject.mark_fault()
    subject.fleet.upstreams[subject.chosen_upstream.upstream_id].resume()


@then("the fleet's lost upstream owns no key")
@then("the fleet's leaving upstream owns no key")
def check_owns_nothing(context: Context) -> None:
    subject = context.fleet_subject
    wait_for(lambda: subject.keys_of(subject.chosen_upstream) == 0, "keys moved")


@when("the fleet loses the {role} node")
def lose_node(context: Context, role: str) -> None:
    subject = context.fleet_subject
    _choose_instance(subject, role)
    subject.mark_fault()
    subject.chosen_process.kill()


@when("the fleet's {role} node is paused")
def pause_node(context: Context, role: str) -> None:
    subject = context.fleet_subject
    _choose_instance(subject, role)
    subject.term_before_fault = subject.term()
    subject.mark_fault()
    subject.chosen_process.freeze()


@when("the fleet's paused node returns")
def resume_node(context: Context) -> None:
    subject = context.fleet_subject
    subject.mark_fault()
    subject.chosen_process.resume()


@then("another node of the fleet becomes the leader")
def check_other_leader(context: Context) -> None:
    subject = context.fleet_subject
    previous_leader = subject.chosen_instance
    wait_for(lambda: subject.leader() != previous_leader, "another leader")


@then("the fleet's term has increased and does not decrease")
def check_term_monotonic(context: Context) -> None:
    subject = context.fleet_subject
    terms = [subject.term_before_fault]
    for _ in range(20):
        terms.append(subject.term())
        time.sleep(0.1)
    assert terms == sorted(terms) and terms[-1] > terms[0], terms


@then("every key is served again by the fleet")
@then("every key is served again through the fleet's other nodes")
def check_served(context: Context) -> None:
    context.fleet_subject.wait_until_served(time.monotonic())


@then("every key is served again by the fleet for {seconds:d} s")
def check_served_for(context: Context, seconds: int) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        context.fleet_subject.wait_until_served(time.monotonic())


@then("no guarantee of the fleet was violated")
def check_guarantees(context: Context) -> None:
    violations = context.fleet_subject.guarantee_violations()
    assert not violations, "\n".join(violations[:10])


@when("the fleet's store goes down")
def stop_store(context: Context) -> None:
    context.fleet_subject.mark_fault()
    context.fleet_subject.set_store_outage(StoreFault.BUSY)


@when("the fleet's store stops responding")
def make_store_unresponsive(context: Context) -> None:
    context.fleet_subject.mark_fault()
    context.fleet_subject.set_store_outage(StoreFault.SILENT)


@when("the fleet's store comes back")
def restore_store(context: Context) -> None:
    context.fleet_subject.set_store_outage(StoreFault.NONE)


@when("the fleet's store is slow and loses responses")
def slow_store(context: Context) -> None:
    server = context.fleet_subject.fleet.server
    server.delay_s = 0.05
    server.lost_response_ratio = 0.3


@when("the fleet's store loses the response to the next write of the configuration")
def lose_next_response(context: Context) -> None:
    context.fleet_subject.lose_next_config_response()


@when("a changed configuration is applied to the fleet")
def apply_change(context: Context) -> None:
    context.fleet_subject.apply_change()


@then("the changed configuration is in force at every node of the fleet")
@then("the newest configuration is in force at every node of the fleet")
def check_in_force(context: Context) -> None:
    subject = context.fleet_subject
    wait_for(lambda: subject.all_at_version(subject.newest_version()), "configuration in force")


@when("{count:d} operators apply different configurations to the fleet at once")
def race_operators(context: Context, count: int) -> None:
    context.fleet_subject.race_operators(count)


@then("each operator of the fleet has its change accepted or rejected as a conflict")
def check_operator_results(context: Context) -> None:
    codes = [result.returncode for result in context.fleet_subject.operator_results]
    assert set(codes) <= {0, 3}, codes
    assert 0 in codes, codes


@then("each accepted configuration of the fleet has its own version")
def check_versions(context: Context) -> None:
    subject = context.fleet_subject
    accepted = [r for r in subject.operator_results if r.returncode == 0]
    assert subject.newest_version() == subject.version_before_race + len(accepted)


@when('the fleet\'s zone "{zone}" is cut off from {what}')
def cut_zone_off(context: Context, zone: str, what: str) -> None:
    subject = context.fleet_subject
    subject.mark_fault()
    if "store" in what:
        subject.cut_from_store(subject.fleet.layout.instances_of(zone))
    if "other zones" in what:
        subject.cut_from_other_zones(zone)


@when('only one instance of the fleet\'s zone "{zone}" reaches the store')
def cut_all_but_one_off(context: Context, zone: str) -> None:
    subject = context.fleet_subject
    leader = subject.leader()
    instances = subject.fleet.layout.instances_of(zone)
    connected = next(item for item in instances if item != leader)
    subject.mark_fault()
    subject.cut_from_store([item for item in instances if item != connected])


@when("the fleet's open connections to {what} go silent {direction}")
def silence_connections(context: Context, what: str, direction: str) -> None:
    subject = context.fleet_subject
    upstream = subject.busiest_upstream(_first_zone(subject))
    targets = {
        "the store": lambda: subject.fleet.layout.store_advertised,
        "an upstream that owns keys": lambda: upstream.advertised_address,
        "the sending node": lambda: subject.sender_of(upstream).peer_advertised,
        "the leading node": lambda: subject.leader().peer_advertised,
    }
    directions = {"in both directions": Direction.BOTH, "for responses": Direction.TO_CALLER}
    subject.mark_fault()
    subject.fleet.proxy.silence_open_connections(targets[what](), directions[direction])


@when("the fleet's connectivity is restored")
def restore_connectivity(context: Context) -> None:
    context.fleet_subject.restore_connectivity()


@then('every key is served again by the fleet\'s zone "{zone}"')
def check_zone_serves(context: Context, zone: str) -> None:
    subject = context.fleet_subject
    for instance in subject.fleet.layout.instances_of(zone):
        keys = subject.owners()
        subject.wait_until_instance_serves(instance, "desk", "look-up", keys)


@then('each zone of the fleet serves "{service}", which has no keys')
def check_unkeyed_service(context: Context, service: str) -> None:
    subject = context.fleet_subject
    for instance in subject.fleet.layout.instances:
        subject.wait_until_instance_serves(instance, service, "check", ["any"])


@then('requests for keys that zone "{zone}" cannot serve are refused as not run')
def check_refused(context: Context, zone: str) -> None:
    subject = context.fleet_subject
    instance = subject.fleet.layout.instances_of(zone)[0]
    wait_for(
        lambda: set(subject.families_of(instance, _REFUSED_REQUESTS)) == {"not run"},
        "refusals",
    )


@when('an instance of the fleet\'s zone "{zone}" is replaced')
def replace_instance(context: Context, zone: str) -> None:
    subject = context.fleet_subject
    subject.chosen_instance = subject.fleet.layout.instances_of(zone)[0]
    subject.fleet.node(subject.chosen_instance).process.kill()
    subject.fleet.start_node(subject.chosen_instance)


@then("the replaced instance of the fleet serves every key")
def check_replaced(context: Context) -> None:
    subject = context.fleet_subject
    keys = subject.owners()
    subject.wait_until_instance_serves(subject.chosen_instance, "desk", "look-up", keys)


@when("the {role} node of the fleet is asked to stop")
def stop_node(context: Context, role: str) -> None:
    subject = context.fleet_subject
    _choose_instance(subject, role)
    subject.mark_fault()
    subject.chosen_process.terminate()


@then("the stopped node exits with code 0")
def check_exit_code(context: Context) -> None:
    assert context.fleet_subject.chosen_process.wait(30.0) == 0


@then("no request of the fleet was interrupted")
def check_none_interrupted(context: Context) -> None:
    interrupted = context.fleet_subject.interrupted_requests()
    assert interrupted == [], interrupted[:5]


@when("every instance of the fleet is replaced one by one")
def replace_all(context: Context) -> None:
    subject = context.fleet_subject
    subject.wait_until_owners_stable()
    subject.owners_before_replacement = subject.owners()
    for instance in subject.fleet.layout.instances:
        subject.replace_gracefully(instance)
        subject.wait_until_served(time.monotonic())


@then("no key of the fleet has moved")
def check_no_moves(context: Context) -> None:
    subject = context.fleet_subject
    assert subject.owners() == subject.owners_before_replacement


@when("a configuration without an upstream of the fleet is applied")
def apply_config_without_upstream(context: Context) -> None:
    subject = context.fleet_subject
    subject.chosen_upstream = subject.busiest_upstream(_first_zone(subject))
    subject.mark_fault()
    subject.apply_without(subject.chosen_upstream)


@when("an upstream of the fleet announces that it is leaving")
def announce_leaving(context: Context) -> None:
    subject = context.fleet_subject
    subject.chosen_upstream = subject.busiest_upstream(_first_zone(subject))
    subject.mark_fault()
    subject.fleet.upstreams[subject.chosen_upstream.upstream_id].leave()


@then("the fleet's leaving upstream runs no further requests")
def check_no_new_runs(context: Context) -> None:
    subject = context.fleet_subject
    owner = subject.fleet.upstreams[subject.chosen_upstream.upstream_id]
    runs_before = owner.runs.total()
    subject.wait_until_served(time.monotonic())
    assert owner.runs.total() == runs_before, (runs_before, owner.runs.total())

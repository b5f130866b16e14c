"""Steps that run whole fleets and break them."""

import time

from behave import given, then, when
from behave.runner import Context

from features.fleet_support import FleetSubject
from standins.fleet import wait_for


def _start(context: Context, name: str, proxied: bool) -> None:
    context.fleet_subject = FleetSubject(name, proxied)
    context.fleet_subject.start()


@given('a fleet "{name}" with callers on every key')
def start_fleet(context: Context, name: str) -> None:
    _start(context, name, proxied=False)


@given('a proxied fleet "{name}" with callers on every key')
def start_proxied_fleet(context: Context, name: str) -> None:
    _start(context, name, proxied=True)


@when("the fleet loses an upstream that owns keys")
def lose_upstream(context: Context) -> None:
    _lose_upstream_of(context.fleet_subject, context.fleet_subject.fleet.layout.zones[0])


@when('the fleet loses an upstream of "{zone}" that owns keys')
def lose_upstream_of_zone(context: Context, zone: str) -> None:
    _lose_upstream_of(context.fleet_subject, zone)


def _lose_upstream_of(subject: FleetSubject, zone: str) -> None:
    subject.chosen_upstream = subject.busiest_upstream(zone)
    subject.mark_fault()
    subject.fleet.processes[subject.chosen_upstream.upstream_id].kill()


@when("the fleet's upstream that owns keys freezes")
def freeze_upstream(context: Context) -> None:
    subject = context.fleet_subject
    subject.chosen_upstream = subject.busiest_upstream(subject.fleet.layout.zones[0])
    subject.mark_fault()
    subject.fleet.processes[subject.chosen_upstream.upstream_id].freeze()


@when("the fleet's frozen upstream returns")
def thaw_upstream(context: Context) -> None:
    subject = context.fleet_subject
    subject.mark_fault()
    subject.fleet.processes[subject.chosen_upstream.upstream_id].resume()


@then("the fleet's lost upstream owns no slot")
@then("the fleet's leaving upstream owns no slot")
def check_owns_nothing(context: Context) -> None:
    subject = context.fleet_subject
    upstream_id = subject.chosen_upstream.upstream_id
    wait_for(lambda: subject.tables.read().slots_of(upstream_id) == 0, "slots moved")
    wait_for(lambda: subject.tables.read().transits == 0, "transits finished")


@when("the fleet loses a dispatcher that sends")
def lose_dispatcher(context: Context) -> None:
    subject = context.fleet_subject
    upstream = subject.busiest_upstream(subject.fleet.layout.zones[0])
    subject.chosen_instance = subject.dispatcher_of(upstream)
    subject.mark_fault()
    subject.fleet.process(subject.chosen_instance, "dispatcher").kill()


@when("the fleet's dispatcher that sends is paused")
def pause_dispatcher(context: Context) -> None:
    subject = context.fleet_subject
    _pause_dispatcher_of(subject, subject.busiest_upstream(subject.fleet.layout.zones[0]))


@when("the fleet's dispatcher of the upstream without fences is paused")
def pause_unfenced_dispatcher(context: Context) -> None:
    subject = context.fleet_subject
    upstreams = subject.fleet.layout.upstreams
    _pause_dispatcher_of(subject, next(u for u in upstreams if not u.checks_fences))


def _pause_dispatcher_of(subject: FleetSubject, upstream: object) -> None:
    subject.chosen_instance = subject.dispatcher_of(upstream)
    subject.mark_fault()
    subject.fleet.process(subject.chosen_instance, "dispatcher").freeze()


@when("the fleet's paused {program} returns")
def resume_program(context: Context, program: str) -> None:
    subject = context.fleet_subject
    subject.mark_fault()
    subject.fleet.process(subject.chosen_instance, program).resume()


@when("the fleet loses its active assigner")
def lose_assigner(context: Context) -> None:
    subject = context.fleet_subject
    subject.chosen_instance = subject.active_assigner(subject.fleet.layout.zones[0])
    subject.mark_fault()
    subject.fleet.process(subject.chosen_instance, "assigner").kill()


@when("the fleet's active assigner is paused")
def pause_assigner(context: Context) -> None:
    subject = context.fleet_subject
    subject.chosen_instance = subject.active_assigner(subject.fleet.layout.zones[0])
    subject.mark_fault()
    subject.fleet.process(subject.chosen_instance, "assigner").freeze()


@then("another assigner of the fleet is active")
def check_other_assigner(context: Context) -> None:
    subject = context.fleet_subject
    old = subject.chosen_instance.instance_id
    zone = subject.fleet.layout.zones[0]
    wait_for(lambda: subject.active_assigner(zone).instance_id != old, "another assigner")


@then("the fleet's tables never go back")
def check_tables_rise(context: Context) -> None:
    subject = context.fleet_subject
    zone = subject.fleet.layout.zones[0]
    fences = []
    for _ in range(20):
        fences.append(subject.tables.read_table(zone).fence)
        time.sleep(0.1)
    assert fences == sorted(fences), fences


@when("the fleet loses a whole instance")
def lose_instance(context: Context) -> None:
    subject = context.fleet_subject
    upstream = subject.busiest_upstream(subject.fleet.layout.zones[0])
    subject.chosen_instance = subject.dispatcher_of(upstream)
    subject.mark_fault()
    subject.fleet.kill_instance(subject.chosen_instance)


@then("every key is served again by the fleet")
@then("every key is served again through the fleet's other entries")
def check_served(context: Context) -> None:
    context.fleet_subject.wait_until_served(time.monotonic())


@then("every key is served again by the fleet for {seconds:d} s")
def check_served_for(context: Context, seconds: int) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        context.fleet_subject.wait_until_served(time.monotonic())


@then("no promise of the fleet was broken")
def check_promises(context: Context) -> None:
    proof = context.fleet_subject.prove()
    assert proof.kept, "\n".join(proof.details[:10])


@when("the fleet's store goes down")
def stop_store(context: Context) -> None:
    context.fleet_subject.mark_fault()
    context.fleet_subject.set_store_outage("refuse503")


@when("the fleet's store comes back")
def restore_store(context: Context) -> None:
    context.fleet_subject.set_store_outage("none")


@when("the fleet's store is slow and loses answers")
def slow_store(context: Context) -> None:
    context.fleet_subject.set_platform_faults(delay_ms=50, lose_answer_rate=0.3)


@when("the fleet's store loses the answer to the next write of the configuration")
def lose_next_answer(context: Context) -> None:
    context.fleet_subject.lose_next_config_answer()


@when("a changed configuration is applied to the fleet")
def apply_change(context: Context) -> None:
    context.fleet_subject.apply_change()


@then("the changed configuration is in force at every process of the fleet")
@then("the newest configuration is in force at every process of the fleet")
def check_in_force(context: Context) -> None:
    subject = context.fleet_subject
    instances = subject.fleet.layout.instances
    wait_for(
        lambda: subject.all_at_version(subject.newest_version(), instances),
        "configuration in force",
    )


@when("{count:d} operators apply different configurations to the fleet at once")
def race_operators(context: Context, count: int) -> None:
    context.fleet_subject.race_operators(count)


@then("each operator of the fleet is told that its change was accepted or conflicts")
def check_operators(context: Context) -> None:
    codes = [result.returncode for result in context.fleet_subject.operator_results]
    assert set(codes) <= {0, 3}, codes
    assert 0 in codes, codes


@then("the accepted configurations of the fleet have rising versions")
def check_versions(context: Context) -> None:
    subject = context.fleet_subject
    accepted = [r for r in subject.operator_results if r.returncode == 0]
    assert subject.newest_version() == subject.version_before_race + len(accepted)


@when('the fleet\'s zone "{zone}" is cut off from {what}')
def cut_zone(context: Context, zone: str, what: str) -> None:
    subject = context.fleet_subject
    subject.mark_fault()
    if "platform" in what:
        subject.cut_from_platform(subject.fleet.layout.instances_of(zone))
    if "other zones" in what:
        subject.cut_from_other_zones(zone)


@when('only one instance of the fleet\'s zone "{zone}" reaches the store')
def cut_all_but_one(context: Context, zone: str) -> None:
    subject = context.fleet_subject
    active = subject.active_assigner(zone)
    others = [i for i in subject.fleet.layout.instances_of(zone) if i is not active]
    reaching = others[0]
    cut = [i for i in subject.fleet.layout.instances_of(zone) if i is not reaching]
    subject.mark_fault()
    subject.cut_from_platform(cut)


@when("the fleet's cuts are healed")
def heal(context: Context) -> None:
    context.fleet_subject.heal()


@then("each zone of the fleet serves its own keys")
def check_zones_serve(context: Context) -> None:
    subject = context.fleet_subject
    for zone in subject.fleet.layout.zones:
        subject.wait_until_zone_served(zone)


@when('an instance of the fleet\'s zone "{zone}" is replaced')
def replace_instance(context: Context, zone: str) -> None:
    subject = context.fleet_subject
    subject.chosen_instance = subject.fleet.layout.instances_of(zone)[0]
    subject.fleet.kill_instance(subject.chosen_instance)
    subject.fleet.start_instance(subject.chosen_instance)


@then("the replaced instance of the fleet serves the keys of its zone")
def check_replaced(context: Context) -> None:
    subject = context.fleet_subject
    subject.wait_until_entry_serves(subject.chosen_instance)


@when("a {program} of the fleet is asked to stop")
def stop_program(context: Context, program: str) -> None:
    subject = context.fleet_subject
    zone = subject.fleet.layout.zones[0]
    upstream = subject.busiest_upstream(zone)
    chosen = {
        "dispatcher": lambda: subject.dispatcher_of(upstream),
        "assigner": lambda: subject.active_assigner(zone),
    }
    subject.chosen_instance = chosen[program]()
    subject.chosen_process = subject.fleet.process(subject.chosen_instance, program)
    subject.mark_fault()
    subject.chosen_process.terminate()


@then("it ends by itself with exit code 0")
def check_exit(context: Context) -> None:
    assert context.fleet_subject.chosen_process.wait(30.0) == 0


@then("no request of the fleet was cut")
def check_none_cut(context: Context) -> None:
    cut = context.fleet_subject.cut_requests()
    assert cut == [], cut[:5]


@when("every instance of the fleet is replaced one by one")
def replace_all(context: Context) -> None:
    subject = context.fleet_subject
    subject.noted_owners = subject.tables.read().owners
    for instance in subject.fleet.layout.instances:
        subject.replace_gracefully(instance)
        subject.wait_until_served(time.monotonic())


@then("no slot of the fleet has moved")
def check_no_moves(context: Context) -> None:
    subject = context.fleet_subject
    assert subject.tables.read().owners == subject.noted_owners


@when("the platform lists an upstream of the fleet as leaving")
def list_leaving(context: Context) -> None:
    subject = context.fleet_subject
    subject.chosen_upstream = subject.busiest_upstream(subject.fleet.layout.zones[0])
    subject.mark_fault()
    subject.list_as_leaving(subject.chosen_upstream)


@then("no work of the fleet begins at the leaving upstream any more")
def check_no_new_work(context: Context) -> None:
    subject = context.fleet_subject
    since = time.monotonic()
    subject.wait_until_served(since)
    runs = subject.runs_at(subject.chosen_upstream)
    assert all(run.start < since for run in runs)

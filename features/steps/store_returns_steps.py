"""Steps for fleets whose store returns from an older copy."""

import time

from behave import then, when
from behave.runner import Context

from foxtailshunt.fleet import era_of
from standins.fleet import wait_for
from standins.metadata import StoreFault


@when("a copy of the fleet's store is taken")
def take_copy(context: Context) -> None:
    context.store_copy = context.fleet_subject.fleet.store.take_copy()


@when("the fleet's store returns from the copy")
def return_from_copy(context: Context) -> None:
    context.fleet_subject.mark_fault()
    context.fleet_subject.fleet.store.return_from(context.store_copy)


@when("the fleet's leading node is partitioned from the store")
def partition_leader(context: Context) -> None:
    subject = context.fleet_subject
    subject.chosen_instance = subject.leader()
    if subject.fleet.options.proxied:
        subject.cut_from_store([subject.chosen_instance])
        return
    hosts = subject.fleet.server.faults_by_host
    hosts[subject.chosen_instance.host] = StoreFault.SILENT


@when("the fleet's leading node is partitioned from the other nodes")
def partition_leader_from_nodes(context: Context) -> None:
    subject = context.fleet_subject
    leader = subject.leader()
    hosts = {item.host for item in subject.fleet.layout.instances} - {leader.host}
    subject.fleet.proxy.cut(hosts, leader.peer_advertised)


@when("{count:d} configurations of the fleet are applied one after the other")
def apply_configurations(context: Context, count: int) -> None:
    for _ in range(count):
        context.fleet_subject.apply_change()


@then("version {version:d} of the configuration is in force at every node of the fleet")
def check_version(context: Context, version: int) -> None:
    wait_for(lambda: context.fleet_subject.all_at_version(version), f"version {version}")


@then("version {version:d} of the configuration stays in force at every node of the fleet")
def check_version_kept(context: Context, version: int) -> None:
    subject = context.fleet_subject
    # Each node reads the store anew before its part in the new era is complete.
    for _ in range(20):
        subject.wait_until_served(time.monotonic())
        assert subject.all_at_version(version), subject.dump()["versions"]
        time.sleep(0.1)


@when("the fleet's partitioned node reaches the store again")
def end_partition(context: Context) -> None:
    subject = context.fleet_subject
    del subject.fleet.server.faults_by_host[subject.chosen_instance.host]


@then("the fleet has a leader in the new era of the store")
def check_term(context: Context) -> None:
    subject = context.fleet_subject
    era = subject.fleet.store.era
    wait_for(lambda: era_of(subject.term()) == era, f"a term of era {era}")
    subject.leader()

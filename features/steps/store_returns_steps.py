"""Steps for fleets whose store returns from an older copy."""

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
    hosts = subject.fleet.server.faults_by_host
    hosts[subject.chosen_instance.host] = StoreFault.SILENT


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

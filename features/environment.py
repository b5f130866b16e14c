"""Behave hooks that stop the fleet of each scenario."""

from behave.model import Scenario
from behave.runner import Context


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Reset the fleet of the context.

    :param context: behave context.
    :param scenario: scenario that is about to run.
    """
    context.fleet_subject = None


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Stop the fleet of the scenario, and print its state if the scenario failed.

    :param context: behave context.
    :param scenario: scenario that has ended.
    """
    if context.fleet_subject is None:
        return
    if scenario.status.name in ("failed", "error"):
        context.fleet_subject.print_state()
    context.fleet_subject.close()

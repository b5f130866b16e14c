"""Hooks of the features: every fleet ends with its scenario."""

from behave.model import Scenario
from behave.runner import Context


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Start without a fleet.

    :param context: behave's context.
    :param scenario: the scenario.
    """
    context.fleet_subject = None


def after_scenario(context: Context, scenario: Scenario) -> None:
    """End the scenario's fleet, and show its state if the scenario failed.

    :param context: behave's context.
    :param scenario: the scenario.
    """
    if context.fleet_subject is None:
        return
    if scenario.status.name in ("failed", "error"):
        context.fleet_subject.print_state()
    context.fleet_subject.close()

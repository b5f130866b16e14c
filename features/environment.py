"""Hooks of the features: every fleet ends with its scenario."""

from behave.model import Scenario
from behave.runner import Context

from features.fleet_support import FleetSubject


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Start without a fleet.

    :param context: behave's context.
    :param scenario: the scenario.
    """
    context.subject = None


def after_scenario(context: Context, scenario: Scenario) -> None:
    """End the scenario's fleet, and show its state if the scenario failed.

    :param context: behave's context.
    :param scenario: the scenario.
    """
    if not isinstance(context.subject, FleetSubject):
        return
    if scenario.status.name in ("failed", "error"):
        context.subject.print_state()
    context.subject.close()

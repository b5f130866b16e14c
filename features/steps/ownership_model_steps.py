"""Steps for the model of ownership."""

from behave import then, when
from behave.runner import Context

from standins.ownership.model import RULES, ModelFleet


class ModelSubject:
    """Runs of the model."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.moves = 0
        self.runs = 0

    def run(self, seed: int, rule: str, duration_s: float) -> None:
        fleet = ModelFleet(seed, RULES[rule])
        self.faults += [f"seed {seed}: {fault}" for fault in fleet.run(duration_s)]
        self.moves += fleet.assigner.finished_moves
        self.runs += 1


@when("the model runs {duration:d} s with each of the seeds {first:d} to {last:d}")
def run_all(context: Context, duration: int, first: int, last: int) -> None:
    context.ownership_model_subject = ModelSubject()
    for seed in range(first, last + 1):
        context.ownership_model_subject.run(seed, "nothing", duration)


@when("the model runs {duration:d} s without {rule} and with the seeds from 0 on")
def run_without(context: Context, duration: int, rule: str) -> None:
    context.ownership_model_subject = ModelSubject()
    context.run = lambda: context.ownership_model_subject.run(
        context.ownership_model_subject.runs, rule, duration
    )


@then("no run finds two owners or two senders")
def check_no_faults(context: Context) -> None:
    assert context.ownership_model_subject.faults == [], context.ownership_model_subject.faults


@then("at least {count:d} moves were finished")
def check_moves(context: Context, count: int) -> None:
    assert context.ownership_model_subject.moves >= count, context.ownership_model_subject.moves


@then("one of the first {count:d} runs finds two owners")
def check_fault_found(context: Context, count: int) -> None:
    while (
        not context.ownership_model_subject.faults and context.ownership_model_subject.runs < count
    ):
        context.run()
    assert context.ownership_model_subject.faults, "the rule made no difference"
    assert (
        "both upstreams hold" in context.ownership_model_subject.faults[0]
    ), context.ownership_model_subject.faults

"""Runs the model check of grants for longer than CI does."""

import time

import click

from features.grant_support import check_grants


@click.command()
@click.option("--examples", default=200, help="Number of sequences.")
@click.option("--steps", default=20, help="Maximum number of steps of a sequence.")
@click.option("--seed", default=1, help="Seed of the sequences.")
@click.option("--shrink/--no-shrink", default=False, help="Look for a shorter sequence.")
def main(examples: int, steps: int, seed: int, shrink: bool) -> None:
    """Run random sequences of faults and print the first one that breaks an invariant."""
    started = time.monotonic()
    events = check_grants(examples, steps, seed, shrink)
    print(f"{dict(events)}, no violation in {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()

"""The demo: a fleet on loopback, a configuration applied, a trace replayed through every entry."""

import random
import sys
import time
from dataclasses import replace
from pathlib import Path

import click

from foxtailshunt.errors import ResultCode
from standins.fleet import Fleet, FleetOptions, wait_for
from standins.traffic import (
    Caller,
    CallerRequest,
    OperationCatalog,
    ReplayResult,
    TraceLine,
    count_by_code,
    new_request_id,
    read_trace,
    replay_trace,
)

ROOT = Path(__file__).resolve().parent.parent

_INSTANCES_PER_ZONE = {"kea-ridge": 3, "nadroga": 2}
_TRACE_SEED = 1
_FIRST_BALANCE_S = 6.0


class Printer:
    """Prints a line for each answered request.

    :param catalog: the operations, for their ranks.
    """

    def __init__(self, catalog: OperationCatalog) -> None:
        self._catalog = catalog
        print(f"{'rank':<11}{'key':<14}{'owner':<22}{'result':<22}{'ms':>8}")

    def show(self, result: ReplayResult) -> None:
        """Print one result.

        :param result: the result.
        """
        line, answer = result.line, result.answer
        req = CallerRequest(line.service, line.operation, line.key, None)
        rank = self._catalog.rank(req) or "-"
        code = answer.code.name if answer.code is not None else "no answer"
        mark = "" if result.as_stated else f"  WRONG, expected {line.expect}: {answer.detail}"
        ms = answer.elapsed_s * 1000
        print(f"{rank:<11}{line.key:<14}{answer.owner or '-':<22}{code:<22}{ms:>8.1f}{mark}")


@click.command()
@click.argument("fleet_name", type=click.Choice(list(_INSTANCES_PER_ZONE)), default="kea-ridge")
def main(fleet_name: str) -> None:
    """Run the demo of FLEET_NAME."""
    cfg_path = ROOT / "examples" / f"{fleet_name}.json"
    trace = read_trace(ROOT / "examples" / f"{fleet_name}.jsonl")
    options = FleetOptions(instances_per_zone=_INSTANCES_PER_ZONE[fleet_name])
    with Fleet(cfg_path, options) as fleet:
        print(f"starting {fleet_name}: {len(fleet.layout.instances)} instances, ", end="")
        print(f"{len(fleet.layout.upstreams)} upstreams, {len(fleet.layout.zones)} zones")
        fleet.start()
        catalog = OperationCatalog(fleet.layout.document)
        print("waiting until the dispatchers' request memories are older than new request ids")
        wait_for_memories(fleet, catalog, trace)
        printer = Printer(catalog)
        results = replay_trace(trace, fleet.entries, catalog, printer.show, _TRACE_SEED)
        status = fleet.run_operator("status", "--settings", str(fleet.settings_path(_first(fleet))))
        print(status.stdout or status.stderr)
    sys.exit(summarize(results))


def wait_for_memories(fleet: Fleet, catalog: OperationCatalog, trace: list[TraceLine]) -> None:
    """Wait until requests that must not repeat are taken for every key of the trace.

    A dispatcher that has just become the sender answers them "unknown" for the allowed difference
    of the callers' clocks, and first places are evened out for some seconds after a first start.

    :param fleet: a started fleet.
    :param catalog: the operations.
    :param trace: the trace that follows.
    """
    time.sleep(_FIRST_BALANCE_S)
    caller = Caller(fleet.entries[0], catalog)
    source = random.Random(_TRACE_SEED)
    for service, operation, key in {(t.service, t.operation, t.key) for t in trace}:
        req = CallerRequest(service, operation, key, None)
        if catalog.rank(req) and not catalog.idempotent(req):
            wait_for(lambda req=req: _is_taken(caller, req, source), f"requests for {key}")
    caller.close()


def _is_taken(caller: Caller, req: CallerRequest, source: random.Random) -> bool:
    answer = caller.send(replace(req, request_id=new_request_id(source)))
    return answer.code is ResultCode.OK


def summarize(results: list[ReplayResult]) -> int:
    """Print the closing summary.

    :param results: all results.
    :returns: the exit code: 1 if an answer was wrong.
    """
    wrong = [result for result in results if not result.as_stated]
    codes = ", ".join(f"{count} {name}" for name, count in sorted(count_by_code(results).items()))
    print(f"{len(results)} requests: {codes}; {len(wrong)} not as stated")
    return 1 if wrong else 0


def _first(fleet: Fleet) -> object:
    return fleet.layout.instances[0]


if __name__ == "__main__":
    main()

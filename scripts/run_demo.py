"""Demo that starts a fleet on loopback and replays a trace through the addresses of all nodes."""

import sys
from pathlib import Path

import click

from standins.fleet import Fleet, FleetOptions
from standins.traffic import (
    CallerRequest,
    OperationCatalog,
    ReplayResult,
    count_by_code,
    read_trace,
    replay_trace,
)

ROOT = Path(__file__).resolve().parent.parent

_INSTANCES_PER_ZONE = {"kea-ridge": 3, "nadroga": 2}
_TRACE_SEED = 1


class ResultPrinter:
    """Prints one line per completed request.

    :param catalog: operations, which provide the ranks of requests.
    """

    def __init__(self, catalog: OperationCatalog) -> None:
        self._catalog = catalog
        print(f"{'rank':<11}{'key':<14}{'owner':<22}{'result':<22}{'ms':>8}")

    def show(self, result: ReplayResult) -> None:
        """Print one result.

        :param result: result of a replayed request.
        """
        line, response = result.line, result.answer
        req = CallerRequest(line.service, line.operation, line.key, None)
        rank = self._catalog.rank(req) or "-"
        code = response.code.name if response.code is not None else "no response"
        note = "" if result.as_expected else f"  WRONG, expected {line.expect}: {response.detail}"
        ms = response.elapsed_s * 1000
        print(f"{rank:<11}{line.key:<14}{response.owner or '-':<22}{code:<22}{ms:>8.1f}{note}")


@click.command()
@click.argument("fleet_name", type=click.Choice(list(_INSTANCES_PER_ZONE)), default="kea-ridge")
def main(fleet_name: str) -> None:
    """Run the demo for the example fleet FLEET_NAME."""
    cfg_path = ROOT / "examples" / f"{fleet_name}.json"
    trace = read_trace(ROOT / "examples" / f"{fleet_name}.jsonl")
    options = FleetOptions(instances_per_zone=_INSTANCES_PER_ZONE[fleet_name])
    with Fleet(cfg_path, options) as fleet:
        print(f"starting {fleet_name}: {len(fleet.layout.instances)} instances, ", end="")
        print(f"{len(fleet.layout.upstreams)} upstreams, {len(fleet.layout.zones)} zones")
        fleet.start()
        first = fleet.node(fleet.layout.instances[0])
        catalog = OperationCatalog(fleet.layout.document)
        printer = ResultPrinter(catalog)
        results = replay_trace(trace, fleet.entries, catalog, printer.show, _TRACE_SEED)
        status = fleet.run_operator("status", "--settings", str(first.settings_path))
        print(status.stdout or status.stderr)
    sys.exit(summarize(results))


def summarize(results: list[ReplayResult]) -> int:
    """Print a summary of all results.

    :param results: results of all replayed requests.
    :returns: the exit code: 1 if a result differs from the expected one, otherwise 0.
    """
    unexpected = [result for result in results if not result.as_expected]
    codes = ", ".join(f"{count} {name}" for name, count in sorted(count_by_code(results).items()))
    print(f"{len(results)} requests: {codes}; {len(unexpected)} not as expected")
    return 1 if unexpected else 0


if __name__ == "__main__":
    main()

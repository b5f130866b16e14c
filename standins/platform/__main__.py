"""Runs the platform's stand-in as a process."""

import click

from standins.http import AddressParam, HttpServer, serve_until_terminated
from standins.platform._handler import PlatformHandler
from standins.platform._instances import InstanceList
from standins.platform._limits import RateLimit
from standins.platform._store import KvStore

_THREADS = 200


@click.command()
@click.option("--listen", type=AddressParam(), required=True, help="Address to serve on.")
@click.option("--max-writes-per-s", type=float, help="Writes answered a second.")
@click.option("--max-reads-per-s", type=float, help="Reads answered a second.")
@click.option("--list-lag-s", type=float, default=0.0, help="Lag of the list of instances.")
def main(
    listen: tuple[str, int],
    max_writes_per_s: float | None,
    max_reads_per_s: float | None,
    list_lag_s: float,
) -> None:
    """Serve the platform's key-value service and list of instances from memory."""
    server = HttpServer(listen, lambda req: handler(req), _THREADS)
    handler = PlatformHandler(
        KvStore(),
        InstanceList(list_lag_s),
        RateLimit(max_writes_per_s),
        RateLimit(max_reads_per_s),
        server.reset_withheld,
    )
    serve_until_terminated(server)


if __name__ == "__main__":
    main()

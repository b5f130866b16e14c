"""Runs the proxies of many links as one process."""

import click

from standins.http import AddressParam, HttpServer, serve_until_terminated
from standins.proxy._handler import ProxyHandler
from standins.proxy._link_set import LinkSet

_THREADS = 4


@click.command()
@click.option(
    "--listen", type=AddressParam(), required=True, help="Address of the HTTP control interface."
)
def main(listen: tuple[str, int]) -> None:
    """Serve links; links are added and faults are set over HTTP."""
    links = LinkSet()
    serve_until_terminated(HttpServer(listen, ProxyHandler(links), _THREADS))
    links.close()


if __name__ == "__main__":
    main()

"""Address options, readiness line and graceful shutdown of the stand-in processes."""

import signal
import threading

import click

from standins.http._server import HttpServer

_MAX_PORT = 65535


class AddressParam(click.ParamType):
    """An address option such as ``127.0.0.1:8080``; port 0 selects a free port."""

    name = "IP:PORT"

    def convert(
        self, value: str, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        """Return host and port.

        :param value: text of the option.
        :param param: the option.
        :param ctx: context of click.
        """
        host, separator, port = value.rpartition(":")
        if not separator or not port.isdigit() or int(port) > _MAX_PORT:
            self.fail(f"'{value}' is not an address of the form 127.0.0.1:8080", param, ctx)
        return host, int(port)


def serve_until_terminated(server: HttpServer) -> None:
    """Serve requests until SIGTERM or SIGINT, then stop gracefully.

    Prints ``listening HOST:PORT`` once connections are accepted.

    :param server: the server.
    """
    terminated = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: terminated.set())
    server.start()
    host, port = server.address
    print(f"listening {host}:{port}", flush=True)
    terminated.wait()
    server.stop()

"""Steps for the fault-injecting proxy."""

import json
import socket
import struct
import threading
import time
from typing import Any

import urllib3
from behave import given, then, when
from behave.runner import Context

from standins import StandinProcess
from standins.proxy import FaultProxy, fault_from_dict

_LOOPBACK = ("127.0.0.1", 0)
_RESPONSE_TIMEOUT_S = 20
_SILENCE_S = 0.2
_REQUEST = b"request"
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class EchoServer:
    """Echoes received bytes and records them and the way that each connection ended."""

    def __init__(self) -> None:
        self._listener = socket.create_server(_LOOPBACK)
        self.address = self._listener.getsockname()
        self.changed = threading.Condition()
        self.received = b""
        self.endings: list[str] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        if self._listener.fileno() < 0:
            return
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def wait_for(self, expected: str) -> bool:
        with self.changed:
            return self.changed.wait_for(
                lambda: expected in self.endings or self.received == expected.encode(),
                _RESPONSE_TIMEOUT_S,
            )

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._echo, args=(conn,), daemon=True).start()

    def _echo(self, conn: socket.socket) -> None:
        ending = "end"
        try:
            while data := conn.recv(65_536):
                self._record(data)
                conn.sendall(data)
        except ConnectionResetError:
            ending = "reset"
        with self.changed:
            self.endings.append(ending)
            self.changed.notify_all()
        conn.close()

    def _record(self, data: bytes) -> None:
        with self.changed:
            self.received += data
            self.changed.notify_all()


class LinkSubject:
    """An echo server, a link to it, and one open connection."""

    def __init__(self) -> None:
        self.server = EchoServer()
        self.proxy = FaultProxy(_LOOPBACK, self.server.address)
        self.open_connection: socket.socket | None = None

    def connect(self) -> socket.socket:
        return socket.create_connection(self.proxy.address, _RESPONSE_TIMEOUT_S)

    def stop(self) -> None:
        self.proxy.close()
        self.server.stop()
        if self.open_connection is not None:
            self.open_connection.close()


def observe_behaviour(conn: socket.socket) -> str:
    try:
        conn.sendall(_REQUEST)
        conn.settimeout(_RESPONSE_TIMEOUT_S)
        echo = conn.recv(len(_REQUEST), socket.MSG_WAITALL)
    except ConnectionError:
        return "is reset"
    if echo == _REQUEST:
        return "echoes"
    return f"is closed after {len(echo)} bytes"


def is_silent(conn: socket.socket) -> bool:
    conn.sendall(_REQUEST)
    conn.settimeout(_SILENCE_S)
    try:
        conn.recv(1)
    except TimeoutError:
        return True
    return False


def check_behaviour(conn: socket.socket, behaviour: str) -> None:
    if behaviour == "is silent":
        assert is_silent(conn)
        return
    observed = observe_behaviour(conn)
    assert observed == behaviour, observed


@given("an echo server and a link to it")
def start_link(context: Context) -> None:
    context.link = LinkSubject()
    context.add_cleanup(context.link.stop)


@given("a connection is open on the link")
def open_connection(context: Context) -> None:
    link = context.link
    link.open_connection = link.connect()
    check_behaviour(link.open_connection, "echoes")
    link.server.received = b""


@given("a proxy process with links a/1, a/2 and b/1 to the server")
def start_proxy_process(context: Context) -> None:
    context.proxy_process = StandinProcess("standins.proxy", ["--listen", "127.0.0.1:0"])
    context.add_cleanup(context.proxy_process.stop)
    link = {"listen": _LOOPBACK, "target": context.link.server.address}
    context.links = control(context, "/links", {"a/1": link, "a/2": link, "b/1": link}).json()


def control(context: Context, path: str, value: dict[str, Any]) -> urllib3.BaseHTTPResponse:
    host, port = context.proxy_process.address
    return urllib3.request("PUT", f"http://{host}:{port}{path}", body=json.dumps(value))


@when("the link's fault is {fault}")
def set_fault(context: Context, fault: str) -> None:
    context.link.proxy.set_fault(fault_from_dict(json.loads(fault)))


@when("the link's open connection sends a request")
def send_request(context: Context) -> None:
    context.link.open_connection.sendall(_REQUEST)


@when("the link's open connection is closed with {way}")
def close_connection(context: Context, way: str) -> None:
    conn = context.link.open_connection
    if way == "an RST":
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    conn.close()


@when("the link's server has stopped")
def stop_server(context: Context) -> None:
    context.link.server.stop()


@when("the proxy process is set to refuse connections on a/*")
def refuse_links(context: Context) -> None:
    assert control(context, "/faults", {"a/*": {"kind": "refuse"}}).json() == {"a/*": 2}


@then("the link's open connection {behaviour}")
def check_open_connection(context: Context, behaviour: str) -> None:
    check_behaviour(context.link.open_connection, behaviour)


@then("a new connection on the link is refused")
def check_refused(context: Context) -> None:
    try:
        context.link.connect()
    except ConnectionRefusedError:
        return
    raise AssertionError("the connection was accepted")


@then("a new connection on the link {behaviour}")
def check_new_connection(context: Context, behaviour: str) -> None:
    with context.link.connect() as conn:
        check_behaviour(conn, behaviour)


@then("the link's server receives the request")
def check_received(context: Context) -> None:
    assert context.link.server.wait_for(_REQUEST.decode())


@then("the link's server does not receive the request")
@then("the link's server has not yet received the request")
def check_missed(context: Context) -> None:
    time.sleep(_SILENCE_S)
    assert context.link.server.received == b""


@then("the link's server sees the connection {ending}")
def check_ending(context: Context, ending: str) -> None:
    assert context.link.server.wait_for(ending), context.link.server.endings


@then("the link's server sees nothing")
def check_no_ending(context: Context) -> None:
    time.sleep(_SILENCE_S)
    assert context.link.server.endings == []


@then("connections on a/1 and a/2 are refused and those on b/1 echo")
def check_links(context: Context) -> None:
    for name in ("a/1", "a/2"):
        try:
            socket.create_connection(tuple(context.links[name]))
        except ConnectionRefusedError:
            continue
        raise AssertionError(f"the connection on {name} was accepted")
    with socket.create_connection(tuple(context.links["b/1"])) as conn:
        check_behaviour(conn, "echoes")


@then("the proxy process rejects an unknown fault with status {status:d}")
def check_unknown_fault(context: Context, status: int) -> None:
    response = control(context, "/faults", {"a/*": {"kind": "no such fault"}})
    assert response.status == status

"""Server of the peer protocol, with one thread for each connection."""

import socket
import struct
import threading
from collections.abc import Callable, Mapping
from types import ModuleType
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocol, TCompactProtocolAccelerated
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from foxtailshunt.errors import FoxtailshuntError, ResultCode
from foxtailshunt.memory import MemoryAccount, Reservation
from foxtailshunt.network import KEEPALIVE_SOCKET_OPTIONS
from foxtailshunt.protocol._frame_reader import FrameReader, UncountedFrameError
from foxtailshunt.protocol._limits import MAX_FRAME_BYTES
from foxtailshunt.protocol._validation import ReplacedTextError, ValidatingHandler

_BACKLOG = 512
#: Size from which a reply is sent separately instead of being copied behind its header, in bytes.
_SEPARATE_BODY_BYTES = 65_536
_FRAME_HEADER = struct.Struct("!i")
_ACCEPT_POLL_S = 0.1
_DRAIN_POLL_S = 0.02

_thread_state = threading.local()


def current_connection() -> socket.socket:
    """Return the connection of the call that this thread is handling.

    Handlers of long calls watch it, because a client cancels a call by closing the connection.
    """
    return _thread_state.conn


def current_memory() -> Reservation:
    """Return the memory of the call that this thread is handling."""
    return _thread_state.memory


class ProtocolServer:
    """Serves a Thrift service on one address, with one thread for each connection.

    A malformed or oversized frame is reported and closes its connection; others are unaffected.

    :param service: the generated service module.
    :param handler: object whose methods handle the calls.
    :param address: host and port to listen on.
    :param on_bad_frame: called for each malformed or oversized frame.
    :param memory: counts the bytes of calls and replies; None for an own account.
    :param refusals: for each method whose calls are refused if there is no memory, a function that
        returns the reply; other calls are always read.
    :raises FoxtailshuntError: with ``ADDRESS_IN_USE`` if the address cannot be bound.
    """

    def __init__(
        self,
        service: ModuleType,
        handler: Any,
        address: tuple[str, int],
        on_bad_frame: Callable[[], None],
        memory: MemoryAccount | None = None,
        refusals: Mapping[str, Callable[[], Any]] | None = None,
    ) -> None:
        self._service = service
        self._memory = memory or MemoryAccount()
        self._refusals = refusals or {}
        self._processor = service.Processor(
            ValidatingHandler(handler, is_text_checked=True, on_valid=_drop_frame)
        )
        self._strict_processor = service.Processor(
            ValidatingHandler(handler, is_text_checked=False, on_valid=_drop_frame)
        )
        self._on_bad_frame = on_bad_frame
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._calls_in_progress = 0
        self._listener = _listen(address)
        self._thread = threading.Thread(target=self._accept_loop, name="accept", daemon=True)

    def start(self) -> None:
        """Start accepting connections."""
        self._thread.start()

    def stop(self, grace_s: float) -> None:
        """Stop accepting connections, wait for calls in progress, then close all connections.

        :param grace_s: maximum time to wait for calls in progress, in seconds.
        """
        self._stopping.set()
        self._thread.join()
        self._listener.close()
        timer = threading.Event()
        for _ in range(int(grace_s / _DRAIN_POLL_S)):
            with self._lock:
                if self._calls_in_progress == 0:
                    break
            timer.wait(_DRAIN_POLL_S)
        with self._lock:
            connections = list(self._connections)
        for conn in connections:
            _shut_down(conn)

    def _accept_loop(self) -> None:
        self._listener.settimeout(_ACCEPT_POLL_S)
        while not self._stopping.is_set():
            try:
                conn, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                continue
            conn.settimeout(None)
            for option in KEEPALIVE_SOCKET_OPTIONS:
                conn.setsockopt(*option)
            thread = threading.Thread(target=self._serve, args=(conn,), name="peer", daemon=True)
            thread.start()

    def _serve(self, conn: socket.socket) -> None:
        with self._lock:
            self._connections.add(conn)
        _thread_state.conn = conn
        try:
            self._serve_calls(conn)
        finally:
            with self._lock:
                self._connections.discard(conn)
            conn.close()

    def _serve_calls(self, conn: socket.socket) -> None:
        while True:
            memory = _thread_state.memory = self._memory.open()
            reader = FrameReader(conn, memory, self._refusals)
            try:
                frame = reader.read()
            except UncountedFrameError as exc:
                if not self._refuse(conn, exc):
                    return
                continue
            except OSError:
                return
            except ValueError:
                self._on_bad_frame()
                return
            finally:
                if reader.has_failed:
                    memory.release()
            if frame is None:
                return
            with self._lock:
                self._calls_in_progress += 1
            try:
                _thread_state.frame_bytes = len(frame)
                buffer = TMemoryBuffer(frame)
                del frame
                _send_frame(conn, self._process(buffer), memory)
            except OSError:
                return
            except Exception:
                # The decoder raises exceptions of many types for malformed input.
                self._on_bad_frame()
                return
            finally:
                memory.release()
                with self._lock:
                    self._calls_in_progress -= 1

    def _refuse(self, conn: socket.socket, exc: UncountedFrameError) -> bool:
        """Reply to a call for which there is no memory; return whether the connection is usable."""
        result = getattr(self._service, f"{exc.method}_result")(self._refusals[exc.method]())
        reply = TMemoryBuffer()
        protocol = _compiled(reply)
        protocol.writeMessageBegin(exc.method, TMessageType.REPLY, exc.seqid)
        result.write(protocol)
        protocol.writeMessageEnd()
        try:
            _send_frame(conn, reply.getvalue(), _thread_state.memory)
        except OSError:
            return False
        return True

    def _process(self, buffer: TMemoryBuffer) -> bytes:
        """Run the call in a frame and return the reply frame.

        Decoding from a buffer of one frame keeps a truncated call from reading the next frame. The
        compiled decoder takes a tenth of the processor time, but replaces bytes that are not UTF-8
        where the other one rejects them.
        """
        _thread_state.buffer = buffer
        reply = TMemoryBuffer()
        try:
            self._processor.process(_compiled(buffer), _compiled(reply))
        except ReplacedTextError:
            reply = TMemoryBuffer()
            buffer.cstringio_buf.seek(0)
            self._strict_processor.process(TCompactProtocol(buffer), _compiled(reply))
        return reply.getvalue()


def _drop_frame() -> None:
    """Drop the frame of a call that has been decoded, so that only the decoded copy remains."""
    memory = _thread_state.memory
    _thread_state.buffer.close()
    memory.shrink(min(_thread_state.frame_bytes, memory.held // 2))


def _send_frame(conn: socket.socket, body: bytes, memory: Reservation) -> None:
    header = _FRAME_HEADER.pack(len(body))
    if len(body) < _SEPARATE_BODY_BYTES:
        conn.sendall(header + body)
        return
    conn.sendall(header)
    memory.begin_transfer(lambda: _shut_down(conn))
    try:
        for start in range(0, len(body), _SEPARATE_BODY_BYTES):
            piece = memoryview(body)[start : start + _SEPARATE_BODY_BYTES]
            conn.sendall(piece)
            memory.record_progress(len(piece))
    finally:
        memory.end_transfer()


def _compiled(buffer: TMemoryBuffer) -> TCompactProtocolAccelerated:
    return TCompactProtocolAccelerated(
        buffer, string_length_limit=MAX_FRAME_BYTES, container_length_limit=MAX_FRAME_BYTES
    )


def _listen(address: tuple[str, int]) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
        listener.listen(_BACKLOG)
    except OSError as exc:
        listener.close()
        raise FoxtailshuntError(
            ResultCode.ADDRESS_IN_USE, f"cannot listen on {address[0]}:{address[1]}: {exc}"
        )
    return listener


def _shut_down(conn: socket.socket) -> None:
    try:
        conn.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass

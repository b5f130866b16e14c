"""Steps for the store client, run against the stand-in store."""

import threading
import time
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from features.scripted_upstream import (
    RepeatingRefusal,
    Script,
    ScriptedUpstream,
    endless,
    trickle,
)
from foxtailshunt.assigning import StoreWatch
from foxtailshunt.errors import FoxtailshuntError
from foxtailshunt.operator import ConditionalWrite, ConditionalWriter
from foxtailshunt.platform import (
    ConflictError,
    HistoryLostError,
    LeaseEndedError,
    NoResponseError,
    StoreChange,
    StoreClient,
    StoreError,
    StoreItem,
)
from foxtailshunt.timing import MonotonicClock
from standins.metadata import MetadataServer, MetadataStore, StoreFault

_KEY = "foxtailshunt/config"
_TIMEOUT_S = 0.5
_WRITE_DEADLINE_S = 3.0
#: Long enough to receive as much as the client accepts.
_ENDLESS_TIMEOUT_S = 10.0
_WAIT_TIMEOUT_S = 20.0
_PREFIX = "many/"
_FAULTS = {
    "is busy": StoreFault.BUSY,
    "is silent": StoreFault.SILENT,
    "loses answers": StoreFault.LOSES_RESPONSES,
}


class StoreSubject:
    """A stand-in store, its client and the outcome of the last write."""

    def __init__(self) -> None:
        self.store = MetadataStore()
        self.server = MetadataServer(self.store)
        self.client = StoreClient(self.server.address)
        self.outcome = ""
        self.writer: object = self.client
        self.scripted: ScriptedUpstream | None = None
        self.timeout_s = _TIMEOUT_S

    def attempt(self, call: Callable[[], int]) -> None:
        try:
            self.outcome = "a revision" if call() > 0 else "nothing"
        except ConflictError:
            self.outcome = "a conflict"
        except FoxtailshuntError as exc:
            self.outcome = exc.code.name

    def revision(self, description: str) -> int:
        item = self.store.read(_KEY)
        current = item.revision if item else 0
        known = {"revision 0": 0, "the current revision": current, "another revision": current + 7}
        return known[description]

    def write(self, description: str) -> None:
        condition = {_KEY: self.revision(description)}
        self.attempt(lambda: self.client.commit(condition, [(_KEY, b"written", 0)], _TIMEOUT_S))

    def use(self, upstream: ScriptedUpstream, timeout_s: float = _TIMEOUT_S) -> None:
        """Call a scripted server instead of the stand-in store."""
        self.scripted = upstream
        self.timeout_s = timeout_s
        self.client = StoreClient(upstream.address)

    def content(self) -> str:
        item = self.store.read(_KEY)
        return item.value.decode() if item else "nothing"


class RacingStore:
    """Passes calls to a store; drops the first write, or adds a write of another client."""

    def __init__(self, subject: StoreSubject, event: str) -> None:
        self._subject = subject
        self._event = event
        self._is_first = True

    def read(self, key: str, timeout_s: float) -> StoreItem | None:
        return self._subject.client.read(key, timeout_s)

    def commit(
        self, conditions: dict[str, int], puts: list[tuple[str, bytes, int]], timeout_s: float
    ) -> int:
        if not self._is_first:
            return self._subject.client.commit(conditions, puts, timeout_s)
        self._is_first = False
        if self._event == "another client writes before the client":
            self._subject.store.put(_KEY, b"rival")
            return self._subject.client.commit(conditions, puts, timeout_s)
        if self._event.startswith("another client writes after it"):
            self._subject.client.commit(conditions, puts, timeout_s)
        if self._event.startswith("another client"):
            self._subject.store.put(_KEY, b"rival")
        raise StoreError("scripted", may_have_run=True)


def _subject(context: Context) -> StoreSubject:
    return context.store_client


@given("a store and its client")
def _(context: Context) -> None:
    context.store_client = StoreSubject()
    context.add_cleanup(context.store_client.server.stop)


@given("the key holds {content}")
def _(context: Context, content: str) -> None:
    if content != "nothing":
        _subject(context).store.put(_KEY, content.encode())


@given("the store {fault}")
def _(context: Context, fault: str) -> None:
    _subject(context).server.fault = _FAULTS[fault]


@given("clients from {host} are refused by the store {duration}")
def _(context: Context, host: str, duration: str) -> None:
    server = _subject(context).server
    server.faults_by_host[host] = StoreFault.BUSY
    if duration.startswith("until"):
        del server.faults_by_host[host]


@given("the client holds the key under a lease of {ttl:g} s that it does not renew")
def _(context: Context, ttl: float) -> None:
    client = _subject(context).client
    context.lease, _ = client.open_lease(ttl, _TIMEOUT_S)
    client.commit({_KEY: 0}, [(_KEY, b"held", context.lease)], _TIMEOUT_S)


@given("{count:d} keys under one prefix")
def _(context: Context, count: int) -> None:
    for number in range(count):
        _subject(context).store.put(f"{_PREFIX}{number:04d}", b"x")


@given("no fault occurs")
def _(context: Context) -> None:
    pass


@given("the responses to the next {count:d} writes are lost")
def _(context: Context, count: int) -> None:
    _subject(context).server.responses_to_lose_by_key[_KEY] = count


@given("another client {action}")
def _(context: Context, action: str) -> None:
    _subject(context).writer = RacingStore(_subject(context), f"another client {action}")


@given("the client's first write never arrives")
def _(context: Context) -> None:
    _subject(context).writer = RacingStore(_subject(context), "never arrives")


def _use_script(
    context: Context, script: Script, closes: bool, timeout_s: float = _TIMEOUT_S
) -> None:
    server = ScriptedUpstream(script, closes)
    context.add_cleanup(server.close)
    _subject(context).use(server, timeout_s)


@given("a store that closes the connection after {part} of a response")
def _(context: Context, part: str) -> None:
    data = b"" if part == "nothing" else part.replace(";", "\r\n").encode()
    _use_script(context, lambda *_: [data], closes=True)


@given("a store whose response has {part} without end")
def _(context: Context, part: str) -> None:
    _use_script(context, lambda *_: endless(part), closes=False, timeout_s=_ENDLESS_TIMEOUT_S)


@given("a store whose response has {part} without end, one byte at a time")
def _(context: Context, part: str) -> None:
    _use_script(context, lambda *_: trickle(part), closes=False)


@given("a store that refuses the first call with {refusal} and writes the refusal once more")
def _(context: Context, refusal: str) -> None:
    _use_script(context, RepeatingRefusal(refusal), closes=False)


@when("the client {call} a lease")
def _(context: Context, call: str) -> None:
    subject = _subject(context)
    client, timeout_s = subject.client, subject.timeout_s
    calls = {
        "opens": lambda: client.open_lease(1.0, timeout_s),
        "renews": lambda: client.renew_lease(1, timeout_s),
    }
    context.error = _error_of(calls[call])


@when("the client {call} the key")
def _(context: Context, call: str) -> None:
    subject = _subject(context)
    client, timeout_s = subject.client, subject.timeout_s
    calls = {
        "reads": lambda: client.read(_KEY, timeout_s),
        "watches": lambda: client.watch(_KEY, 1, 0.1),
    }
    context.error = _error_of(calls[call])


@when("the client lists keys")
def _(context: Context) -> None:
    subject = _subject(context)
    context.error = _error_of(lambda: subject.client.list_items("", False, subject.timeout_s))


def _error_of(call: Callable[[], object]) -> Exception | None:
    try:
        call()
    except Exception as exc:
        return exc
    return None


@then("the call ends with a StoreError")
def _(context: Context) -> None:
    unexpected = (ConflictError, HistoryLostError, LeaseEndedError)
    assert isinstance(context.error, StoreError), repr(context.error)
    assert not isinstance(context.error, unexpected), repr(context.error)


@then("the store's connection was closed after at most {size:d} MB")
def _(context: Context, size: int) -> None:
    server = _subject(context).scripted
    assert server.was_closed.wait(_WAIT_TIMEOUT_S), "the connection is still open"
    assert server.bytes_sent <= size * 1024 * 1024, server.bytes_sent


@when("the client writes at {revision}")
def _(context: Context, revision: str) -> None:
    _subject(context).write(revision)


@when("the store works again")
def _(context: Context) -> None:
    _subject(context).server.fault = StoreFault.NONE


@when("the client watches the key while another client writes it")
def _(context: Context) -> None:
    subject = _subject(context)
    revision = subject.store.revision
    values: list[bytes | None] = []

    def watch() -> None:
        changes, _ = subject.client.watch(_KEY, revision, _WAIT_TIMEOUT_S)
        values.extend(change.item.value if change.item else None for change in changes)

    watch_thread = threading.Thread(target=watch)
    watch_thread.start()
    subject.store.put(_KEY, b"other")
    watch_thread.join(_WAIT_TIMEOUT_S)
    context.watched = values


@given("the client watches the key for {seconds:d} s")
def _(context: Context, seconds: int) -> None:
    subject = _subject(context)
    subject.store.put(_KEY, b"before")
    revision = subject.store.revision
    context.watch_error = None

    def watch() -> None:
        context.watch_error = _error_of(lambda: subject.client.watch(_KEY, revision, seconds))

    context.watched_from = revision
    context.watch_thread = threading.Thread(target=watch, daemon=True)
    context.watch_thread.start()
    _wait_until_watched(subject)


def _wait_until_watched(subject: StoreSubject) -> None:
    deadline = time.monotonic() + _WAIT_TIMEOUT_S
    while not subject.client.waiting_watches and time.monotonic() < deadline:
        time.sleep(0.01)


@when("another call of the client gets no response")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.server.fault = StoreFault.SILENT
    assert isinstance(_error_of(lambda: subject.client.read(_KEY, 0.1)), NoResponseError)
    subject.server.fault = StoreFault.NONE


@when("its watches are renewed")
def _(context: Context) -> None:
    _subject(context).client.renew_watches()


@then("the watch has ended without a response, and a repeated one returns what was written")
def _(context: Context) -> None:
    subject = _subject(context)
    context.watch_thread.join(_WAIT_TIMEOUT_S)
    assert isinstance(context.watch_error, NoResponseError), context.watch_error
    subject.store.put(_KEY, b"written")
    changes, _ = subject.client.watch(_KEY, context.watched_from, 0.0)
    assert [change.item.value for change in changes] == [b"written"], changes


@when("a watch of {seconds:d} s that is repeated is renewed, and the key is written")
def _(context: Context, seconds: int) -> None:
    subject = _subject(context)
    watch = StoreWatch(subject.client, _KEY)
    revision = subject.store.revision
    context.watched = []

    def wait() -> None:
        found: list[StoreChange] = []
        after = revision
        while not found:
            found, after = watch.wait(after, float(seconds))
        context.watched = [change.item.value for change in found if change.item is not None]

    thread = threading.Thread(target=wait, daemon=True)
    thread.start()
    _wait_until_watched(subject)
    subject.client.renew_watches()
    subject.store.put(_KEY, b"other")
    thread.join(_WAIT_TIMEOUT_S)


@then("the watch returns the written value")
def _(context: Context) -> None:
    assert context.watched == [b"other"], context.watched


@when("the store discards its history and the client watches from the beginning")
def _(context: Context) -> None:
    subject = _subject(context)
    subject.store.compact()
    try:
        subject.client.watch(_KEY, 1, 0.1)
    except StoreError as exc:
        context.error = exc


@then("the watch ends with HistoryLostError")
def _(context: Context) -> None:
    assert isinstance(context.error, HistoryLostError), context.error


@then("the key is eventually removed")
def _(context: Context) -> None:
    deadline = time.monotonic() + _WAIT_TIMEOUT_S
    while _subject(context).content() != "nothing":
        assert time.monotonic() < deadline
        time.sleep(0.02)


@then("the lease cannot be renewed")
def _(context: Context) -> None:
    try:
        _subject(context).client.renew_lease(context.lease, _TIMEOUT_S)
    except LeaseEndedError:
        return
    raise AssertionError("the lease was renewed")


@then("the client lists all {count:d}")
def _(context: Context, count: int) -> None:
    items, _ = _subject(context).client.list_items(_PREFIX, False, _TIMEOUT_S)
    assert [item.key for item in items] == [f"{_PREFIX}{number:04d}" for number in range(count)]


@when("the client writes with a token")
def _(context: Context) -> None:
    subject = _subject(context)
    writer = ConditionalWriter(subject.writer, MonotonicClock(), _TIMEOUT_S, _WRITE_DEADLINE_S)
    write = ConditionalWrite(
        _KEY,
        b"written",
        subject.revision("the current revision"),
        "written",
        lambda value: value.decode(),
    )
    subject.attempt(lambda: writer.write(write))


@then("the write ends with {outcome}")
def _(context: Context, outcome: str) -> None:
    assert _subject(context).outcome == outcome, _subject(context).outcome


@then("the key holds {value}")
def _(context: Context, value: str) -> None:
    assert _subject(context).content() == value, _subject(context).content()

"""Steps for the client of the platform, run against the stand-in platform."""

import json
import random
import threading
import time
from collections.abc import Callable
from functools import partial

import urllib3
from behave import given, then, when
from behave.runner import Context

from foxtailshunt.errors import FoxtailshuntError, StoreUnavailableError, StoreUnknownError
from foxtailshunt.kvstore import Backoff, HttpPlatform, Platform, StoreRecord, write_with_token
from foxtailshunt.telemetry import Metrics
from foxtailshunt.timing import MonotonicClock
from standins import StandinProcess
from standins.proxy import FaultProxy

_KEY = "foxtailshunt/config"
_CLIENT_TIMEOUT_S = 0.5
_WATCH_S = 20.0
_PATIENCE_S = 20.0
_OLD = "old"
_WRITTEN = "written"
_RIVAL = "rival"
_OTHERS = "others"


def wait_until(condition: Callable[[], bool]) -> bool:
    """Return whether a condition came true in good time."""
    end = time.monotonic() + _PATIENCE_S
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return condition()


class PlatformSubject:
    """A stand-in platform, a client of it, and what the client's last call brought."""

    def __init__(self, arguments: list[str]) -> None:
        self.process = StandinProcess("standins.platform", ["--listen", "127.0.0.1:0", *arguments])
        self.metrics = Metrics()
        self.client = HttpPlatform((self.process.address,), self.metrics, _CLIENT_TIMEOUT_S)
        self.other = HttpPlatform((self.process.address,), Metrics())
        self.writer: Platform = self.client
        self.outcome: int | str = ""
        self.watched: list[StoreRecord | None] = []
        self.watchers: list[threading.Thread] = []

    def put(self, path: str, value: object) -> int:
        host, port = self.process.address
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        return urllib3.request("PUT", f"http://{host}:{port}{path}", body=body).status

    def counts(self) -> dict[str, int]:
        host, port = self.process.address
        return urllib3.request("GET", f"http://{host}:{port}/standin/counts").json()

    def attempt(self, call: Callable[[], int]) -> None:
        try:
            self.outcome = call()
        except FoxtailshuntError as exc:
            self.outcome = exc.code.name

    def revision(self, words: str) -> int:
        current = self.other.read(_KEY)
        at = current.revision if current else 0
        return {"the current revision": at, "another revision": at + 7}.get(words, 0)

    def content(self) -> str:
        record = self.other.read(_KEY)
        return record.value if record else "nothing"

    def watch(self, revision: int) -> None:
        watcher = threading.Thread(target=self._watch, args=(revision,), daemon=True)
        watcher.start()
        self.watchers.append(watcher)

    def _watch(self, revision: int) -> None:
        try:
            self.watched.append(self.client.watch(_KEY, revision, _WATCH_S))
        except StoreUnavailableError:
            self.watched.append(None)

    def stop(self) -> None:
        self.process.kill()


class OvertakenPlatform(HttpPlatform):
    """A client that a rival overtakes between its write and the reading of its revision."""

    rival: HttpPlatform

    def read(self, key: str) -> StoreRecord | None:
        record = super().read(key)
        self.rival.compare_and_swap(key, _RIVAL, record.revision)
        return super().read(key)


class RacingPlatform:
    """Hands calls to a platform, and loses or overtakes the first compare-and-swap."""

    def __init__(self, subject: PlatformSubject, before: str | None, effect: str) -> None:
        self._subject = subject
        self._before = before
        self._effect = effect
        self._is_first = True

    def __getattr__(self, name: str) -> object:
        return getattr(self._subject.client, name)

    def compare_and_swap(self, key: str, value: str, revision: int) -> int:
        if self._is_first:
            self._is_first = False
            return self._first(key, value, revision)
        if self._effect == "late":
            self._subject.other.compare_and_swap(key, value, revision)
        return self._subject.client.compare_and_swap(key, value, revision)

    def _first(self, key: str, value: str, revision: int) -> int:
        if self._effect == "overwritten":
            at = self._subject.other.compare_and_swap(key, value, revision)
            self._subject.other.compare_and_swap(key, _RIVAL, at)
        if self._before is not None:
            self._subject.other.compare_and_swap(key, self._before, revision)
        if self._effect == "answered":
            return self._subject.client.compare_and_swap(key, value, revision)
        raise StoreUnknownError("the answer was lost")


@given("a stand-in platform and a client of it")
def start_platform(context: Context) -> None:
    replace_platform(context, [])


def replace_platform(context: Context, arguments: list[str]) -> None:
    context.platform = PlatformSubject(arguments)
    context.add_cleanup(context.platform.stop)


@given("a stand-in platform that takes {count:d} write a second")
def start_limited_platform(context: Context, count: int) -> None:
    replace_platform(context, ["--max-writes-per-s", str(count)])


@given("a stand-in platform whose list lags {lag_s:g} s")
def start_lagging_platform(context: Context, lag_s: float) -> None:
    replace_platform(context, ["--list-lag-s", str(lag_s)])


@given("the platform's key holds {content}")
def fill_key(context: Context, content: str) -> None:
    if content != "nothing":
        context.platform.other.compare_and_swap(_KEY, content, 0)


@given("the platform's faults are {faults}")
def set_faults(context: Context, faults: str) -> None:
    assert context.platform.put("/standin/faults", json.loads(faults)) == 200


@given("the platform's client calls from {host}")
def call_from(context: Context, host: str) -> None:
    subject = context.platform
    link = FaultProxy(("127.0.0.1", 0), subject.process.address, host)
    context.add_cleanup(link.close)
    subject.client = HttpPlatform((link.address,), subject.metrics, _CLIENT_TIMEOUT_S)


@given("a rival writes to the platform as soon as the client has written")
def overtake_client(context: Context) -> None:
    subject = context.platform
    subject.client = OvertakenPlatform((subject.process.address,), subject.metrics)
    subject.client.rival = subject.other


@given("nobody else writes to the platform")
def let_client_write(context: Context) -> None:
    context.platform.writer = context.platform.client


@given("a rival writes to the platform before the client")
def let_rival_win(context: Context) -> None:
    context.platform.writer = RacingPlatform(context.platform, _RIVAL, "answered")


@given("a rival writes to the platform after the client")
def let_rival_overwrite(context: Context) -> None:
    context.platform.writer = RacingPlatform(context.platform, None, "overwritten")


@given("the client's first write to the platform is held up")
def hold_up_write(context: Context) -> None:
    context.platform.writer = RacingPlatform(context.platform, None, "late")


@given("the client's first write to the platform never arrives")
def lose_write(context: Context) -> None:
    context.platform.writer = RacingPlatform(context.platform, None, "none")


@given("a rival writes to the platform in place of the client's")
def replace_write(context: Context) -> None:
    context.platform.writer = RacingPlatform(context.platform, _RIVAL, "none")


@when("the platform's client writes at {expected}")
def write(context: Context, expected: str) -> None:
    write_value(context, _WRITTEN, expected)


@when("the platform's client writes a value of {size:d} bytes at revision 0")
def write_large(context: Context, size: int) -> None:
    write_value(context, "x" * size, "revision 0")


def write_value(context: Context, value: str, expected: str) -> None:
    subject = context.platform
    revision = _revision_despite_faults(subject, expected)
    subject.attempt(lambda: subject.client.compare_and_swap(_KEY, value, revision))


def _revision_despite_faults(subject: PlatformSubject, expected: str) -> int:
    if expected == "revision 0":
        return 0
    try:
        return subject.revision(expected)
    except FoxtailshuntError:
        return 1


@when("the platform's client writes with a token")
def write_token(context: Context) -> None:
    write_patiently(context, _PATIENCE_S)


@when("the platform's client writes with a token and little patience")
def write_token_impatiently(context: Context) -> None:
    write_patiently(context, 1.0)


def write_patiently(context: Context, give_up_s: float) -> None:
    subject = context.platform
    revision = _revision_despite_faults(subject, "the current revision")
    subject.attempt(
        lambda: write_with_token(
            subject.writer,
            _KEY,
            _WRITTEN,
            revision,
            lambda value: value,
            _WRITTEN,
            MonotonicClock(),
            give_up_s,
        )
    )


@when("the platform has stopped")
def stop_platform(context: Context) -> None:
    context.platform.process.stop()


@when("the platform's client reads")
def read(context: Context) -> None:
    subject = context.platform
    subject.attempt(lambda: subject.client.read(_KEY).revision)


@when("1000001 bytes are put to the platform past the client")
def put_past_client(context: Context) -> None:
    context.platform.outcome = context.platform.put(f"/v1/kv/{_KEY}?cas=0", b"x" * 1_000_001)


@when("the platform's client watches from the current revision")
def watch_key(context: Context) -> None:
    context.platform.watch(context.platform.revision("the current revision"))


@when("the platform's client watches from no revision")
def watch_missing_key(context: Context) -> None:
    context.platform.watch(0)


@when("{count:d} clients watch the platform's key")
def watch_often(context: Context, count: int) -> None:
    for _ in range(count):
        context.platform.watch(0)


@when("another client writes the platform's key")
def write_by_other(context: Context) -> None:
    subject = context.platform
    assert wait_until(lambda: subject.counts()["watch"] > 0)
    subject.other.compare_and_swap(_KEY, _OTHERS, subject.revision("the current revision"))


@given(
    "another client holds the platform's key under a lease of {ttl_s:g} s that it does not renew"
)
@given("another client holds the platform's key under a lease of {ttl_s:g} s")
def hold_key(context: Context, ttl_s: float) -> None:
    other = context.platform.other
    context.lease_id = other.open_lease(ttl_s)
    assert other.acquire(_KEY, _OTHERS, context.lease_id)


@when("the platform's client tries to acquire the key")
def try_acquire(context: Context) -> None:
    context.own_lease_id = context.platform.client.open_lease(300)
    context.acquired = context.platform.client.acquire(_KEY, _WRITTEN, context.own_lease_id)


@when("the other client closes its lease")
def close_lease(context: Context) -> None:
    context.platform.other.close_lease(context.lease_id)


@when("the platform's client writes {count:d} keys")
def write_keys(context: Context, count: int) -> None:
    context.outcomes = {}
    for number in range(count):
        key = f"{_KEY}/{number}"
        context.platform.attempt(partial(context.platform.client.compare_and_swap, key, "v", 0))
        context.outcomes[key] = context.platform.outcome


@when("the platform lists i1 as live and i2 as leaving")
def list_instances(context: Context) -> None:
    nodes = [{"Node": "i1", "state": "live"}, {"Node": "i2", "state": "leaving"}]
    assert context.platform.put("/standin/instances", nodes) == 200


@when("{count:d} delays are drawn from a backoff of {first_s:g} s up to {limit_s:g} s")
def draw_delays(context: Context, count: int, first_s: float, limit_s: float) -> None:
    class HighestDraw(random.Random):
        def uniform(self, low: float, high: float) -> float:
            assert low == 0
            return high

    context.backoff = Backoff(first_s, limit_s, HighestDraw())
    context.delays = [context.backoff.next_delay_s() for _ in range(count)]


@then("the platform's write ends with a revision")
def check_written(context: Context) -> None:
    assert context.platform.outcome == context.platform.other.read(_KEY).revision


@then("the platform's {call:w} ends with {code:w}")
def check_outcome(context: Context, call: str, code: str) -> None:
    assert context.platform.outcome == code, context.platform.outcome


@then("the platform answers {status:d}")
def check_status(context: Context, status: int) -> None:
    assert context.platform.outcome == status, context.platform.outcome


@then("the platform's key holds {content}")
def check_content(context: Context, content: str) -> None:
    assert context.platform.content() == content, context.platform.content()


@then("after the platform's faults its key holds {content}")
def check_content_after_faults(context: Context, content: str) -> None:
    set_faults(context, "{}")
    record = context.platform.client.read(_KEY)
    assert (record.value if record else "nothing") == content, record


@then("the platform's client counted a {call:w} with result {code}")
def check_counted(context: Context, call: str, code: str) -> None:
    labels = {"call": call, "result": code.lower()}
    counted = context.platform.metrics.counter_value("foxtailshunt_store_calls_total", labels)
    assert counted == 1, counted


@then("a write at the revision that the client was given is a conflict")
def check_overtaken(context: Context) -> None:
    subject = context.platform
    given_revision = subject.outcome
    subject.attempt(lambda: subject.other.compare_and_swap(_KEY, "next", given_revision))
    assert subject.outcome == "CONFLICT", subject.outcome
    subject.outcome = given_revision


@then("a watch from the revision that the client was given returns the rival's value")
def check_overtaken_watch(context: Context) -> None:
    subject = context.platform
    record = subject.other.watch(_KEY, subject.outcome, _WATCH_S)
    assert record.value == _RIVAL, record


@then("the platform's watch returns the other's value")
def check_watch(context: Context) -> None:
    context.platform.watchers[0].join(_PATIENCE_S)
    assert [record and record.value for record in context.platform.watched] == [_OTHERS]


@then("the platform counted {count:d} watches")
def check_watches(context: Context, count: int) -> None:
    assert wait_until(lambda: context.platform.counts()["watch"] == count)
    assert context.platform.watched == []


@then("the platform's client acquires the key in the end")
def check_acquired(context: Context) -> None:
    client = context.platform.client
    lease_id = client.open_lease(300)
    assert wait_until(lambda: client.acquire(_KEY, _WRITTEN, lease_id))
    check_content(context, _WRITTEN)


@then("the platform's lapsed lease cannot be renewed")
def check_lapsed(context: Context) -> None:
    assert not context.platform.other.renew_lease(context.lease_id)


@then("the platform's key is refused")
def check_refused(context: Context) -> None:
    assert not context.acquired
    check_content(context, _OTHERS)


@then("some of the platform's writes ended with STORE_UNAVAILABLE")
def check_some_limited(context: Context) -> None:
    assert "STORE_UNAVAILABLE" in context.outcomes.values()
    assert context.platform.counts()["limited"] > 0


@then("just the platform's keys whose writes succeeded exist")
def check_keys(context: Context) -> None:
    existing = {key for key in context.outcomes if context.platform.other.read(key)}
    succeeded = {key for key, outcome in context.outcomes.items() if isinstance(outcome, int)}
    assert existing == succeeded
    assert existing


@then("the platform's client sees no instances")
def check_no_instances(context: Context) -> None:
    assert context.platform.client.list_instances() == ()


@then("the platform's client sees i1 as live and i2 as leaving in the end")
def check_instances(context: Context) -> None:
    def seen() -> list[tuple[str, str]]:
        return [(i.name, i.state.value) for i in context.platform.client.list_instances()]

    assert wait_until(lambda: seen() == [("i1", "live"), ("i2", "leaving")])


@then("the backoff's bounds were 0.1, 0.2, 0.4, 0.8, 1.0 and 1.0 s")
def check_bounds(context: Context) -> None:
    assert context.delays == [0.1, 0.2, 0.4, 0.8, 1.0, 1.0], context.delays


@then("after a reset the backoff's bound is {first_s:g} s")
def check_reset(context: Context, first_s: float) -> None:
    context.backoff.reset()
    assert context.backoff.next_delay_s() == first_s

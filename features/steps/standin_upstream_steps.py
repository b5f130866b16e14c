"""Steps for the stand-in upstream."""

import hashlib
import json
import signal
import tempfile
import threading
import time
import uuid
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import urllib3
from behave import given, then, when
from behave.runner import Context

from foxtailshunt.ownership import Fence
from standins import StandinProcess
from standins.records import RunRecord, record_from_json

_TTL_MS = 60_000
_SHORT_TTL_MS = 700
_LONG_WORK_MS = 1400
_ANSWER_TIMEOUT_S = 20
_BODY = b"the body"


def fence_of(text: str) -> Fence:
    term, version = text.split(".")
    return Fence(int(term), int(version))


class UpstreamSubject:
    """A stand-in upstream and what came of the calls to it."""

    def __init__(self, arguments: list[str]) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.records = Path(self.folder.name) / "records"
        listen = ["--id", "u1", "--listen", "127.0.0.1:0", "--records", str(self.records)]
        self.process = StandinProcess("standins.upstream", [*listen, *arguments])
        self.pool = urllib3.PoolManager(maxsize=8, retries=False)
        self.workers = ThreadPoolExecutor(8)
        self.boot_id: str | None = None
        self.status = 0
        self.answer: dict[str, Any] = {}
        self.request_id = ""
        self.work: Future[urllib3.BaseHTTPResponse] | None = None

    def call(
        self, method: str, path: str, body: bytes, headers: dict[str, str] | None = None
    ) -> urllib3.BaseHTTPResponse:
        host, port = self.process.address
        url = f"http://{host}:{port}{path}"
        return self.pool.request(method, url, body=body, headers=headers, timeout=_ANSWER_TIMEOUT_S)

    def grant(
        self,
        fence: Fence,
        slots: list[list[int]],
        reading_ms: int | None,
        boot_id: str | None,
        ttl_ms: int = _TTL_MS,
        pins: tuple[str, ...] = (),
        excluded: tuple[str, ...] = (),
    ) -> dict[str, Any]:
        message = {
            "fence": [fence.term, fence.version],
            "slots": slots,
            "pins": pins,
            "excluded": excluded,
            "reading_ms": reading_ms,
            "boot_id": boot_id,
            "ttl_ms": ttl_ms,
            "sender": "i1",
        }
        response = self.call("POST", "/control/grant", json.dumps(message).encode())
        self.status = response.status
        self.answer = response.json()
        return self.answer

    def grant_now(self, fence: Fence, slots: list[list[int]], **details: Any) -> dict[str, Any]:
        reading = self.reading()
        return self.grant(fence, slots, reading["reading_ms"], reading["boot_id"], **details)

    def reading(self) -> dict[str, Any]:
        answer = self.grant(Fence(999, 0), [], None, None, ttl_ms=0)
        self.boot_id = answer["boot_id"]
        return answer

    def send_work(
        self,
        key: str,
        slot: int,
        fence: str,
        service_ms: int = 1,
        boot_id: str | None = None,
        deadline_ms: int | None = None,
    ) -> urllib3.BaseHTTPResponse:
        headers = {
            "X-Request-Id": self.request_id,
            "X-Key": key,
            "X-Slot": str(slot),
            "X-Fence": fence,
            "X-Boot-Id": boot_id or self.boot_id or "",
        }
        if deadline_ms is not None:
            headers["X-Deadline-Reading-Ms"] = str(deadline_ms)
        return self.call("POST", f"/hires/{key}?service_ms={service_ms}", _BODY, headers)

    def begin_work(self, **details: Any) -> None:
        self.request_id = str(uuid.uuid4())
        self.work = self.workers.submit(
            self.send_work, "a", 3, "2.5", service_ms=_LONG_WORK_MS, **details
        )
        self.wait_for_load()

    def wait_for_load(self) -> None:
        while self.call("GET", "/load", b"").json()["load"] == 0:
            assert not self.work.done(), "the work was not begun"
            time.sleep(0.01)

    def cancel(self) -> str:
        body = json.dumps({"request_id": self.request_id}).encode()
        return self.call("POST", "/control/cancel", body).json()["outcome"]

    def switch(self, switches: dict[str, Any]) -> None:
        body = json.dumps(switches).encode()
        assert self.call("PUT", "/standin/control", body).status == 200

    def runs(self) -> list[RunRecord]:
        lines = self.records.read_text(encoding="utf-8").splitlines()
        records = [record_from_json(line) for line in lines]
        return [record for record in records if isinstance(record, RunRecord)]

    def stop(self) -> None:
        self.process.kill()
        self.workers.shutdown()
        self.folder.cleanup()


def start_upstream(context: Context, arguments: list[str]) -> None:
    context.upstream = UpstreamSubject(arguments)
    context.add_cleanup(context.upstream.stop)
    context.upstream.reading()


@given("a stand-in upstream that checks fences")
def start_checking_upstream(context: Context) -> None:
    start_upstream(context, [])


@given("a stand-in upstream that checks no fences")
def start_unchecked_upstream(context: Context) -> None:
    start_upstream(context, ["--no-fence-checks"])


@given("a stand-in upstream with {slots:d} slots and a queue of {queue:d}")
def start_queueing_upstream(context: Context, slots: int, queue: int) -> None:
    start_upstream(context, ["--slots", str(slots), "--queue", str(queue)])


@given("a stand-in upstream whose health is {mode}")
def start_upstream_with_health(context: Context, mode: str) -> None:
    start_upstream(context, ["--health", mode])


@given("the stand-in upstream took a grant of slots 0 to 9 under fence {fence}")
def take_grant(context: Context, fence: str) -> None:
    assert context.upstream.grant_now(fence_of(fence), [[0, 10]])["accepted"]


@given(
    "the stand-in upstream took a grant of slots 0 to 9 without x and with p under fence {fence}"
)
def take_detailed_grant(context: Context, fence: str) -> None:
    answer = context.upstream.grant_now(fence_of(fence), [[0, 10]], pins=("p",), excluded=("x",))
    assert answer["accepted"]


@given("the stand-in's switches are {switches}")
@when("the stand-in's switches are set to {switches}")
def set_switches(context: Context, switches: str) -> None:
    context.upstream.switch(json.loads(switches))


@when("the stand-in upstream is sent a grant of slots 0 to 9 under fence {fence} with {reading}")
def send_grant(context: Context, fence: str, reading: str) -> None:
    upstream = context.upstream
    now = upstream.reading()
    reading_ms, boot_id = {
        "a fresh reading": (now["reading_ms"], now["boot_id"]),
        "no reading": (None, None),
        "another incarnation's": (now["reading_ms"], "another"),
        "a reading older than its end": (now["reading_ms"] - _TTL_MS - 1, now["boot_id"]),
    }[reading]
    upstream.grant(fence_of(fence), [[0, 10]], reading_ms, boot_id)


@when(
    "the stand-in upstream is sent work on key {key}, slot {slot:d}, fence {fence}, with {detail}"
)
def send_work(context: Context, key: str, slot: int, fence: str, detail: str) -> None:
    upstream = context.upstream
    details = {
        "nothing special": {},
        "another incarnation's id": {"boot_id": "another"},
        "a deadline that passed": {"deadline_ms": upstream.reading()["reading_ms"]},
    }[detail]
    upstream.request_id = str(uuid.uuid4())
    upstream.work = upstream.workers.submit(upstream.send_work, key, slot, fence, **details)


def do_nothing(upstream: UpstreamSubject) -> None:
    assert upstream.work is not None


def renew(upstream: UpstreamSubject) -> None:
    assert upstream.grant_now(Fence(2, 5), [[0, 10]])["accepted"]


def shorten(upstream: UpstreamSubject) -> None:
    assert upstream.grant_now(Fence(2, 6), [[0, 10]], ttl_ms=_SHORT_TTL_MS)["accepted"]


def let_lapse(upstream: UpstreamSubject) -> None:
    shorten(upstream)
    time.sleep(_SHORT_TTL_MS / 1000)
    assert upstream.grant_now(Fence(2, 7), [[0, 10]])["accepted"]


def freeze(upstream: UpstreamSubject) -> None:
    shorten(upstream)
    upstream.process.send_signal(signal.SIGSTOP)
    time.sleep(_LONG_WORK_MS / 1000)
    upstream.process.send_signal(signal.SIGCONT)


def take_back(upstream: UpstreamSubject) -> None:
    upstream.grant_now(Fence(2, 6), [[5, 10]])


def ask_to_stop(upstream: UpstreamSubject) -> None:
    upstream.process.send_signal(signal.SIGTERM)


_EVENTS: dict[str, Callable[[UpstreamSubject], object]] = {
    "nothing happens": do_nothing,
    "its deadline passes": do_nothing,
    "it is cancelled": UpstreamSubject.cancel,
    "the grant is renewed": renew,
    "the grant's end is brought near": shorten,
    "the grant lapses and is given anew": let_lapse,
    "the upstream is frozen past its grant's end": freeze,
    "its slot is taken back": take_back,
    "the upstream is asked to stop": ask_to_stop,
}


@when("the stand-in upstream has long work in progress and {event}")
def interrupt_work(context: Context, event: str) -> None:
    upstream = context.upstream
    reading_ms = upstream.reading()["reading_ms"]
    is_short = event == "its deadline passes"
    upstream.begin_work(deadline_ms=reading_ms + (_LONG_WORK_MS // 2 if is_short else _TTL_MS))
    _EVENTS[event](upstream)


@when("the stand-in upstream is asked to cancel {request}")
def cancel_request(context: Context, request: str) -> None:
    upstream = context.upstream
    upstream.request_id = str(uuid.uuid4())
    if request == "a request in progress":
        upstream.begin_work()
    elif request == "a request that ran":
        assert upstream.send_work("a", 3, "2.5").status == 200
    elif request == "a request that was expired":
        assert upstream.send_work("a", 3, "2.5", deadline_ms=0).status == 504
    context.cancel_answer = upstream.cancel()


@when("{count:d} pieces of long work arrive at the stand-in upstream together")
def send_much_work(context: Context, count: int) -> None:
    upstream = context.upstream
    start = threading.Barrier(count)

    def send() -> str:
        start.wait()
        response = upstream.send_work("a", 3, "2.5", service_ms=_LONG_WORK_MS)
        return response.headers["X-Outcome"]

    futures = [upstream.workers.submit(send) for _ in range(count)]
    context.outcomes = [future.result() for future in futures]


@then("{ran:d} of the stand-in's pieces ran and {shed:d} were shed")
def check_outcomes(context: Context, ran: int, shed: int) -> None:
    assert sorted(context.outcomes) == ["ran"] * ran + ["shed"] * shed, context.outcomes


@then(
    "the stand-in upstream answers {status:d} with accepted {accepted} and highest fence {highest}"
)
def check_grant(context: Context, status: int, accepted: str, highest: str) -> None:
    upstream = context.upstream
    answer = upstream.answer
    assert upstream.status == status, upstream.status
    assert answer["accepted"] is (accepted == "true"), answer
    assert Fence(*answer["highest_fence"]) == fence_of(highest), answer


@then("the stand-in's work is answered {status:d} as {outcome}")
def check_work(context: Context, status: int, outcome: str) -> None:
    response = context.upstream.work.result()
    assert response.status == status, response.status
    assert response.headers["X-Outcome"] == outcome
    assert response.headers["X-Request-Id"] == context.upstream.request_id


@then("the stand-in's records show the run with effect {effect}")
def check_run_record(context: Context, effect: str) -> None:
    upstream = context.upstream
    effects = [run.effect for run in upstream.runs() if run.request_id == upstream.request_id]
    assert effects == [effect == "true"], effects


@then("the stand-in's release is not confirmed")
def check_unconfirmed(context: Context) -> None:
    answer = context.upstream.answer
    assert answer["accepted"] and not answer["released"], answer


@then("the stand-in's work on the slot that was taken back is refused")
def check_taken_back(context: Context) -> None:
    assert context.upstream.send_work("b", 3, "2.6").headers["X-Outcome"] == "refused"


@then("the stand-in's release is confirmed once the work has ended")
def check_confirmed(context: Context) -> None:
    assert context.upstream.work.result().headers["X-Outcome"] == "ran"
    assert context.upstream.grant_now(Fence(2, 6), [[5, 10]])["released"]


@then("the stand-in's cancellation is answered {answer}")
def check_cancel(context: Context, answer: str) -> None:
    assert context.cancel_answer == answer, context.cancel_answer


@then("the stand-in's answer is another request's")
def check_crossed(context: Context) -> None:
    response = context.upstream.work.result()
    assert response.headers["X-Request-Id"] != context.upstream.request_id
    assert response.json()["request_id"] == response.headers["X-Request-Id"]


@then("the stand-in's answer breaks off")
def check_cut(context: Context) -> None:
    failure = context.upstream.work.exception()
    assert isinstance(failure, urllib3.exceptions.ProtocolError), failure


@then("the stand-in's answer is late, but work was done")
def check_late(context: Context) -> None:
    upstream = context.upstream
    while not upstream.runs():
        time.sleep(0.01)
    assert not upstream.work.done()
    assert upstream.runs()[0].effect


@then("the stand-in's next work is answered as it should be")
def check_next_work(context: Context) -> None:
    send_work(context, "a", 3, "2.5", "nothing special")
    check_work(context, 200, "ran")


@then("the stand-in's health shows draining {shown}")
def check_health(context: Context, shown: str) -> None:
    health = context.upstream.call("GET", "/health", b"").json()
    assert health["draining"] is (shown == "true"), health
    assert health["ready"] is not health["draining"], health


@then("the stand-in's answer to a grant shows draining true")
def check_draining(context: Context) -> None:
    assert context.upstream.reading()["draining"] is True


@then("the stand-in upstream has ended with exit code {code:d}")
def check_exit(context: Context, code: int) -> None:
    assert context.upstream.process.wait() == code


@then("the stand-in's answer names its request, key, operation and body")
def check_answer(context: Context) -> None:
    upstream = context.upstream
    value = upstream.work.result().json()
    assert value == {
        "upstream": "u1",
        "key": "a",
        "request_id": upstream.request_id,
        "run": 1,
        "operation": "POST /hires/a",
        "slot": 3,
        "fence": "2.5",
        "body_sha256": hashlib.sha256(_BODY).hexdigest(),
    }, value

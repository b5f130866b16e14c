"""Steps for what the entry does with requests."""

import threading

from behave import given, then, when
from behave.runner import Context
from entry_support import EntrySubject

_TARGETS = {"GET": "/k/a1", "HEAD": "/k/a1", "POST": "/k/a1/pay", "PUT": "/k/a1"}


def start_entry(context: Context, scripts: list[str], **limits: int) -> EntrySubject:
    subject = EntrySubject(scripts, **limits)
    context.add_cleanup(subject.stop)
    context.entry = subject
    return subject


@given('an entry whose dispatchers are "{scripts}"')
def start_configured(context: Context, scripts: str) -> None:
    start_entry(context, scripts.split(", ")).configure()


@given("an entry without a configuration")
def start_unconfigured(context: Context) -> None:
    start_entry(context, ["ok"])


@given("the table names only dispatcher {number:d}")
def publish_one(context: Context, number: int) -> None:
    context.entry.publish([context.entry.dispatchers[number - 1]])


@when('a caller sends "{method}"')
def send(context: Context, method: str) -> None:
    context.answer = context.entry.request(method, _TARGETS[method])


@when('a caller sends "{method}" and meanwhile the table names only dispatcher {number:d}')
def send_and_publish(context: Context, method: str, number: int) -> None:
    timer = threading.Timer(0.1, publish_one, (context, number))
    timer.start()
    send(context, method)
    timer.join()


@when("a caller sends a body of {size:d} bytes with the headers")
def send_body(context: Context, size: int) -> None:
    context.body = (bytes(range(256)) * (size // 256 + 1))[:size]
    headers = {row["name"]: row["value"] for row in context.table}
    context.answer = context.entry.request("PUT", "/k/a%20b%2F%C3%BC", headers, context.body)


@then("the answer has status {status:d} and code {code:d}")
def check_answer(context: Context, status: int, code: int) -> None:
    assert (context.answer.status, context.answer.code) == (status, code), context.answer


@then('the dispatchers were called "{calls}" times')
def check_calls(context: Context, calls: str) -> None:
    counts = [len(dispatcher.requests) for dispatcher in context.entry.dispatchers]
    if calls == "some":
        assert sum(counts) > 1, counts
    else:
        assert " ".join(map(str, counts)) == calls, counts


@then('the dispatcher got the body and only the headers "{names}"')
def check_request(context: Context, names: str) -> None:
    (req,) = context.entry.dispatchers[0].requests
    assert req.body == context.body
    assert sorted(header.name for header in req.headers) == names.split(", "), req.headers


@then('the dispatcher got rank "{rank}" and key "{key}"')
def check_routing(context: Context, rank: str, key: str) -> None:
    (req,) = context.entry.dispatchers[0].requests
    assert (req.rank, req.key) == (rank, key)


@then('the answer has the dispatcher\'s body and only its header "{name}"')
def check_answer_content(context: Context, name: str) -> None:
    own = {"x-request-id", "x-result-code", "content-length", "connection"}
    assert set(context.answer.headers) - own == {name.lower()}, context.answer.headers
    assert context.answer.body == b"\0whole:" + context.body


@then("the answer has no body")
def check_no_body(context: Context) -> None:
    assert context.answer.body == b""

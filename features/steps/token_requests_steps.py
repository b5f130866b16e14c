"""Steps for requests for new fencing tokens."""

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigning import TokenRequests
from foxtailshunt.fleet import KeyRange


def _range(text: str) -> KeyRange:
    first, _, last, _, owner, _, _, fence = text.split()
    return KeyRange("desk", int(first), int(last), owner, int(fence))


@given('a new token is requested for keys {first:d} to {last:d} of "{owner}" with token {fence:d}')
def _(context: Context, first: int, last: int, owner: str, fence: int) -> None:
    context.token_requests = TokenRequests()
    context.token_requests.add(KeyRange("desk", first, last, owner, fence))


@when("the table has {ranges}")
def _(context: Context, ranges: str) -> None:
    context.table_ranges = [_range(item) for item in ranges.split(", ")]
    context.token_requests.retain(context.table_ranges)


@then("a new token is due for: {expected}")
def _(context: Context, expected: str) -> None:
    due = [item for item in context.table_ranges if context.token_requests.includes(item)]
    found = ", ".join(f"{item.first} to {item.last}" for item in due) or "nothing"
    assert found == expected, found

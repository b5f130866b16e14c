"""Steps for the audit of results."""

import time

from behave import given, then, when
from behave.runner import Context

from standins.keyowner import KeyOwner, find_overlaps
from standins.load import Outcome
from standins.traffic import AuditFinding, audit_outcomes

REQUEST_ID = "request-1"
_GRANT_DURATION_S = 60.0


class AuditSubject:
    """Outcomes of one request."""

    def __init__(self, results: list[str], idempotent: bool) -> None:
        self.outcomes = [self._outcome(result, idempotent) for result in results]
        self.findings: list[AuditFinding] = []

    def _outcome(self, result: str, idempotent: bool) -> Outcome:
        family = "ran" if result == "wrong" else result
        right = result != "wrong"
        return Outcome(REQUEST_ID, "s", "k", idempotent, 100, family, "u", right, 0.0, 1.0)


@given('a request that is {kind} and whose callers received "{results}"')
def make_outcomes(context: Context, kind: str, results: str) -> None:
    context.audit = AuditSubject(results.split(","), kind == "idempotent")


@when("the upstreams ran it {runs:d} times")
def run_audit(context: Context, runs: int) -> None:
    audit = context.audit
    audit.findings = audit_outcomes(audit.outcomes, [REQUEST_ID] * runs)


@then('the audit finds "{findings}"')
def check_findings(context: Context, findings: str) -> None:
    assert [finding.fault.value for finding in context.audit.findings] == [findings]


@then('the audit finds ""')
def check_no_findings(context: Context) -> None:
    assert context.audit.findings == []


def _add_owner(context: Context, service: str, first: int, last: int, fence: int) -> None:
    owner = KeyOwner(f"u{len(context.owners)}", service, "zone", None)
    context.add_cleanup(owner.stop)
    context.owners.append(owner)
    assert owner.grants.grant(first, last, fence, _GRANT_DURATION_S, time.monotonic())


@given(
    'an upstream of "{service}" that was granted keys {first:d} to {last:d} with fence {fence:d}'
)
def grant_first(context: Context, service: str, first: int, last: int, fence: int) -> None:
    context.owners = []
    _add_owner(context, service, first, last, fence)


@given(
    'an upstream of "{service}" that was granted keys {first:d} to {last:d} '
    "with fence {fence:d} at the same time"
)
def grant_at_the_same_time(
    context: Context, service: str, first: int, last: int, fence: int
) -> None:
    _add_owner(context, service, first, last, fence)


@given(
    'an upstream of "{service}" that was granted keys {first:d} to {last:d} '
    "with fence {fence:d} after its release"
)
def grant_after_release(context: Context, service: str, first: int, last: int, fence: int) -> None:
    context.owners[0].grants.release(0, 99, fence)
    _add_owner(context, service, first, last, fence)


@then("{count:d} conflicting ranges are found")
def check_overlaps(context: Context, count: int) -> None:
    overlaps = find_overlaps(context.owners)
    assert len(overlaps) == count, overlaps

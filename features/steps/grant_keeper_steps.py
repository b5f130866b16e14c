"""Steps for the threads that keep grants in force."""

import threading
from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.membership import View
from foxtailshunt.ownership import Table
from foxtailshunt.ownership.authority import GrantKeeper, RenewalResult
from foxtailshunt.telemetry import Metrics
from standins.ownership import ZONE, config_document, fence_of, row_of, table_document

_SLOWNESS_S = 0.5
_WAIT_S = 20.0


def _document(fence: str, upstream_ids: list[str]) -> str:
    rows = [row_of(name, fence_of(fence), range(4), ["a"]) for name in upstream_ids]
    return table_document(fence_of(fence), rows, [], [])


class _SlowView(View):
    """Lets a newer table arrive between the reading of the first and its use."""

    def __init__(self) -> None:
        super().__init__(Metrics())
        self.bringer: threading.Thread | None = None

    def table(self, zone: str) -> Table | None:
        table = super().table(zone)
        if self.bringer is not None and not self.bringer.is_alive():
            bringer, self.bringer = self.bringer, None
            bringer.start()
            bringer.join(_SLOWNESS_S)
        return table


class GrantKeeperSubject:
    """A grant keeper whose renewals only tell that they happened."""

    def __init__(self) -> None:
        self.view = _SlowView()
        self.view.accept_config(1, config_document(["u1", "u2"]))
        self.view.accept_table(_document("1.5", ["u1"]))
        self.renewed: set[str] = set()
        state = SimpleNamespace(warming=False, failures=0)
        self.keeper = GrantKeeper(
            view=self.view,
            zone=ZONE,
            renewer=SimpleNamespace(renew=self._renew),
            book=SimpleNamespace(retain=lambda ids: None, state=lambda upstream_id: state),
            handover=SimpleNamespace(step=lambda upstream_id: False),
            reporter=SimpleNamespace(state_of=lambda upstream_id: None),
            on_report_change=lambda: None,
            on_warming=lambda upstream_id, warming: None,
            on_given_up=lambda: None,
        )

    def _renew(self, upstream_id: str) -> RenewalResult:
        self.renewed.add(upstream_id)
        return RenewalResult.WAIT


@given("a grant keeper whose view is slow to return its first table")
def make_keeper(context: Context) -> None:
    context.grant_keeper_subject = GrantKeeperSubject()
    context.add_cleanup(context.grant_keeper_subject.keeper.stop)


@when("a newer table with the further upstream u2 arrives meanwhile")
def bring_table(context: Context) -> None:
    subject = context.grant_keeper_subject
    document = _document("1.6", ["u1", "u2"])
    bringer = threading.Thread(target=subject.view.accept_table, args=(document,))
    subject.view.bringer = bringer
    subject.keeper.start()
    bringer.join(_WAIT_S)


@then("the grant keeper renews u1 and u2")
def check_renewed(context: Context) -> None:
    subject = context.grant_keeper_subject
    assert subject.keeper._threads.keys() == {"u1", "u2"}, subject.keeper._threads.keys()


@when("the book retains no upstream")
def retain_nothing(context: Context) -> None:
    context.grants_subject.rig.book.retain(frozenset())


@then("dispatcher a's right to send to u1 is gone")
def check_gone(context: Context) -> None:
    assert not context.grants_subject.rig.ledger.holds("u1")

"""Steps for the keys of cold upstreams and for what followers learn of them."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from features.cold_support import cold_service
from foxtailshunt.assigning import (
    Candidate,
    CapacityEstimator,
    UpstreamPublisher,
    UpstreamReader,
)
from foxtailshunt.fleet import FleetView
from foxtailshunt.node import apply_reply, build_reply
from foxtailshunt.platform import StoreChange, StoreItem
from foxtailshunt.upstreams import WarmupStates, WarmupTracker

_ENTRY = (
    b'{"service": "desk", "address": "10.0.0.1:80", "zone": "zone-a", "slots": 2,'
    b' "state": "ready", "warmup_left": "%dms", "born": 1}'
)


class EntryStore:
    """A store with the entry of one upstream."""

    def __init__(self, warmup_s: float) -> None:
        self.revision = 1
        self.write(warmup_s)

    def write(self, warmup_s: float) -> None:
        self.revision += 1
        self._item = StoreItem("servers/u1", _ENTRY % round(warmup_s * 1000), self.revision, 0)

    def list_items(self, prefix: str, stale: bool, timeout_s: float) -> tuple[list, int]:
        return [self._item], self.revision

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[StoreChange], int]:
        return [StoreChange("servers/u1", self._item)], self.revision


class PublishSubject:
    """A leader that publishes the list of upstreams, in virtual time."""

    def __init__(self, warmup_s: float) -> None:
        self.now = 1000.0
        self.store = EntryStore(warmup_s)
        self.view = self._new_view()
        self.view.begin_term(1)
        self.reader = UpstreamReader(self.store, lambda: self.now, self._new_view())
        self.publisher = UpstreamPublisher(
            self.store, self.view, CapacityEstimator(), lambda: self.now, 1
        )
        self.publisher.update()

    def _new_view(self) -> FleetView:
        view = FleetView(lambda: self.now)
        service = cold_service(5.0, 0.0)
        view.upstream_observer = WarmupTracker(
            WarmupStates(), lambda _name: service, lambda: self.now
        )
        return view

    def follow(self) -> FleetView:
        """Return the view of a follower that has just asked for the whole list."""
        follower = self._new_view()
        known = follower.versions
        apply_reply(follower, build_reply(self.view, known, True, True), known)
        return follower


def _subject(context: Context) -> PublishSubject:
    return context.publishing


@given("a leader that has published an upstream with {seconds:g} s left")
def _(context: Context, seconds: float) -> None:
    context.publishing = PublishSubject(seconds)
    context.published = _subject(context).view.versions.upstreams


@when("{elapsed:g} s later its entry states {seconds:g} s")
def _(context: Context, elapsed: float, seconds: float) -> None:
    subject = _subject(context)
    subject.now += elapsed
    subject.store.write(seconds)
    subject.publisher.update()


@when("{elapsed:g} s later its entry is read again unchanged")
def _(context: Context, elapsed: float) -> None:
    subject = _subject(context)
    subject.reader.poll()
    for _read in range(4):
        subject.now += elapsed / 4
        subject.reader.poll()


@when("{elapsed:g} s later a follower asks for the whole list")
def _(context: Context, elapsed: float) -> None:
    subject = _subject(context)
    subject.now += elapsed
    context.follower = subject.follow()


@then("the list is {result}")
def _(context: Context, result: str) -> None:
    is_published = _subject(context).view.versions.upstreams > context.published
    assert is_published == (result == "published")
    if is_published:
        follower = _subject(context).follow()
        assert follower.warmup_remaining_s(follower.upstreams["u1"]) > 0


@then("it learns that the upstream is cold for {seconds:g} s")
def _(context: Context, seconds: float) -> None:
    left_s = context.follower.warmup_remaining_s(context.follower.upstreams["u1"])
    assert abs(left_s - seconds) < 0.002, left_s


@then("the entry states {seconds:g} s")
def _(context: Context, seconds: float) -> None:
    subject = _subject(context)
    # The publisher keeps the list that it published; a new poll shows what its reader returns now.
    left_s = subject.reader.poll()["u1"].warmup_s
    assert abs(left_s - seconds) < 0.002, left_s


@given("upstream {number:d} joins cold and may take {limit:g} slots")
def _(context: Context, number: int, limit: float) -> None:
    context.placement_by_load.candidates.append(Candidate(f"u{number}", 4.0, limit))


@given("upstream {number:d} is cold and may take {limit:g} slots")
def _(context: Context, number: int, limit: float) -> None:
    candidates = context.placement_by_load.candidates
    candidates[:] = [
        replace(item, limit=limit) if item.upstream_id == f"u{number}" else item
        for item in candidates
    ]


def _demand(context: Context, number: int) -> float:
    subject = context.placement_by_load
    return sum(
        demand for key, demand in subject.demand.items() if subject.owner(key) == f"u{number}"
    )


@then("upstream {number:d} has a demand of at most {limit:g} slots")
def _(context: Context, number: int, limit: float) -> None:
    assert _demand(context, number) <= limit + 1e-9, _demand(context, number)


@then("upstream {number:d} has a demand of at least {limit:g} slots")
def _(context: Context, number: int, limit: float) -> None:
    assert _demand(context, number) >= limit - 1e-9, _demand(context, number)

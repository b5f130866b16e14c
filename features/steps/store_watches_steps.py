"""Steps for calls that watch the store."""

import queue
import random
import threading

from behave import given, then, when
from behave.runner import Context

from features.front_support import WAIT_TIMEOUT_S, wait_until
from foxtailshunt.fleet import FleetView, Member, StoreCallSpacing
from foxtailshunt.node import ConfigurationApplier, ConfigurationFormat, ConfigurationWatch
from foxtailshunt.platform import StoreChange, StoreItem
from foxtailshunt.routing import FrontLimits, RequestLine, RouteMatch, RouteTable
from foxtailshunt.timing import MonotonicClock

_KEY = "configuration"


class _NoRoutes:
    def find(self, line: RequestLine) -> RouteMatch | None:
        return None


class WatchedStore:
    """Holds one configuration; watches return only when the scenario ends them."""

    def __init__(self) -> None:
        self.version = 1
        self.timeouts: queue.SimpleQueue[float] = queue.SimpleQueue()
        self.may_return = threading.Event()
        self.is_stopping = False

    def list_items(self, prefix: str, stale: bool, timeout_s: float) -> tuple[list[StoreItem], int]:
        return [StoreItem(_KEY, str(self.version).encode(), self.version, 0)], self.version

    def renew_watches(self) -> None: ...

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[StoreChange], int]:
        self.timeouts.put(wait_s)
        self.may_return.wait(WAIT_TIMEOUT_S)
        if not self.is_stopping:
            self.may_return.clear()
        return [], after


class WatchSubject:
    """A node that watches the configuration of a fleet."""

    def __init__(self, nodes: int) -> None:
        self.store = WatchedStore()
        self.leads = False
        self.view = FleetView(MonotonicClock().now)
        members = tuple(
            Member(f"n{number}", "boot", "zone", ("127.0.0.1", 1)) for number in range(nodes)
        )
        self.view.begin_term(1)
        self.view.update_members(1, 1, members)
        applier = ConfigurationApplier(ConfigurationFormat(_KEY, _KEY, _decode), self.view)
        spacing = StoreCallSpacing(self.view, random.Random(1))
        self.watch = ConfigurationWatch(self.store, applier, spacing, lambda: self.leads)

    def stop(self) -> None:
        self.watch.stop()
        self.store.is_stopping = True
        self.store.may_return.set()


def _decode(document: bytes) -> RouteTable:
    return RouteTable(int(document), _NoRoutes(), {}, FrontLimits())


@given("a fleet of {nodes:d} nodes that watch the configuration")
def start(context: Context, nodes: int) -> None:
    context.watching = WatchSubject(nodes)
    context.add_cleanup(context.watching.stop)


@when("a node that is {role} watches it")
def watch(context: Context, role: str) -> None:
    context.watching.leads = role == "the leader"
    context.watching.watch.start()
    timeouts = context.watching.store.timeouts
    context.timeouts = [timeouts.get(timeout=WAIT_TIMEOUT_S)]
    context.watching.store.may_return.set()
    context.timeouts.append(timeouts.get(timeout=WAIT_TIMEOUT_S))


@then("each call waits at least {least:d} s and at most {most:d} s")
def check_timeouts(context: Context, least: int, most: int) -> None:
    assert all(least <= timeout_s <= most for timeout_s in context.timeouts), context.timeouts


@given("the response to the watch of a follower is lost")
def lose_response(context: Context) -> None:
    context.watching.watch.start()
    # The store never responds to this call.
    context.watching.store.timeouts.get(timeout=WAIT_TIMEOUT_S)


@when("the configuration changes and the follower becomes leader")
def change_and_lead(context: Context) -> None:
    context.watching.watch.check_leadership()
    context.watching.store.version = 2
    context.watching.leads = True
    context.watching.watch.check_leadership()


@then("it applies the new configuration")
def check_applied(context: Context) -> None:
    wait_until(lambda: context.watching.view.versions.configuration == 2, "version 2")

"""Steps for nodes that follow the leader."""

import random
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context

from foxtailshunt.assigning import election_delay_s
from foxtailshunt.fleet import FleetView, Upstream
from foxtailshunt.node import ReplyPacer, apply_reply, build_reply
from foxtailshunt.protocol import FollowReply


class FollowSubject:
    """The views of a leader and a follower, in virtual time."""

    def __init__(self, count: int) -> None:
        self._now = 100.0
        self._rng = random.Random(11)
        self._term = 1
        self._version = 0
        self.leader = FleetView(lambda: self._now)
        self.follower = FleetView(lambda: self._now)
        self.upstreams = {f"u{number}": self._upstream(f"u{number}") for number in range(count)}
        self._added = count
        self.leader.begin_term(self._term)
        self.publish()
        self.poll()
        self.are_equal_after_polls: list[bool] = []

    @staticmethod
    def _upstream(name: str) -> Upstream:
        return Upstream(name, "desk", ("10.0.0.1", 80), "zone", 2, False, 0.0, 0)

    def publish(self) -> None:
        self._now += 0.1
        self._version += 1
        self.leader.update_upstreams(self._term, self._version, dict(self.upstreams), 0.0)

    def poll(self, accepts_changes: bool = True) -> FollowReply:
        self._now += 0.01
        known = self.follower.versions
        reply = build_reply(self.leader, known, True, accepts_changes)
        apply_reply(self.follower, reply, known)
        return reply

    def is_up_to_date(self) -> bool:
        return self.follower.upstreams == self.leader.upstreams

    def join(self) -> None:
        name = f"u{self._added}"
        self._added += 1
        self.upstreams[name] = self._upstream(name)

    def leave(self, name: str) -> None:
        self.upstreams[name] = replace(self.upstreams[name], leaving=True)

    def read_from_store(self) -> None:
        self._now += 0.01
        self.follower.update_upstreams_from_store(dict(self.upstreams), self._now)

    def begin_term(self, count: int) -> None:
        self._term += 1
        self._version = 0
        self.upstreams = dict(list(self.upstreams.items())[:count])
        self.leader.begin_term(self._term)
        self.publish()

    def change_at_random(self) -> None:
        kind = self._rng.choice(["join", "leave", "remove"])
        if kind == "join" or len(self.upstreams) < 2:
            self.join()
        elif kind == "leave":
            self.leave(self._rng.choice(list(self.upstreams)))
        else:
            del self.upstreams[self._rng.choice(list(self.upstreams))]
        self.publish()

    def poll_at_random(self, share: float) -> None:
        if self._rng.random() < share:
            self.poll()
            self.are_equal_after_polls.append(self.is_up_to_date())


class PacerSubject:
    """A leader whose view changes all the time, and the times of its replies to each follower."""

    def __init__(self, nodes: int, changes_per_s: int) -> None:
        self._nodes = nodes
        self._change_interval_s = 1 / changes_per_s
        self._now = 0.0
        self._pacer = ReplyPacer(lambda: self._now)
        self.replies: dict[str, list[float]] = {f"n{number}": [] for number in range(1, nodes)}

    def run(self, seconds: float) -> None:
        for name, replies in self.replies.items():
            at = 0.0
            while at < seconds:
                # The next change ends the wait of a poll; the pacer then delays the reply.
                self._now = at + self._change_interval_s
                at = self._now + self._pacer.delay_s(name, self._nodes)
                replies.append(at)


@given("a leader with {count:d} upstreams and a follower that knows them")
def _(context: Context, count: int) -> None:
    context.following = FollowSubject(count)
    assert context.following.is_up_to_date()


@when("1 upstream joins, 1 is leaving and 1 is gone")
def _(context: Context) -> None:
    subject = context.following
    subject.join()
    subject.leave("u1")
    del subject.upstreams["u2"]
    subject.publish()


@when("the follower polls")
def _(context: Context) -> None:
    context.reply = context.following.poll()


@when("the follower polls without accepting changes of upstreams")
def _(context: Context) -> None:
    context.reply = context.following.poll(accepts_changes=False)


@when("the follower reads the list of upstreams from the store")
def _(context: Context) -> None:
    context.following.read_from_store()


@when("another leader with {count:d} upstreams begins a term")
def _(context: Context, count: int) -> None:
    context.following.begin_term(count)


@when("the list changes {count:d} times at random, and the follower polls after 1 in 6 changes")
def _(context: Context, count: int) -> None:
    for _change in range(count):
        context.following.change_at_random()
        context.following.poll_at_random(1 / 6)


@then("the reply has {count:d} upstreams and the id of the one that is gone")
def _(context: Context, count: int) -> None:
    assert context.reply.upstreams is None
    assert len(context.reply.upstream_changes) == count, context.reply
    assert context.reply.upstreams_removed == ["u2"], context.reply


@then("the reply has {count:d} upstreams")
def _(context: Context, count: int) -> None:
    assert context.reply.upstream_changes is None
    assert len(context.reply.upstreams) == count, context.reply


@then("the follower knows the upstreams of the leader")
def _(context: Context) -> None:
    assert context.following.is_up_to_date()


@then("the follower has known the upstreams of the leader after each poll")
def _(context: Context) -> None:
    results = context.following.are_equal_after_polls
    assert len(results) > 20, results
    assert all(results), results


@given("a fleet of {nodes:d} nodes in which the leader moves keys {changes:d} times a second")
def _(context: Context, nodes: int, changes: int) -> None:
    context.pacing = PacerSubject(nodes, changes)


@when("all other nodes poll for {seconds:d} s")
def _(context: Context, seconds: int) -> None:
    context.pacing.run(seconds)


@then("each of them gets at most {most:d} replies, evenly in time")
def _(context: Context, most: int) -> None:
    for replies in context.pacing.replies.values():
        assert 0 < len(replies) <= most, len(replies)
        gaps = [after - before for before, after in zip(replies, replies[1:], strict=False)]
        assert max(gaps) < 1.5 * min(gaps), (min(gaps), max(gaps))


@then("each of them gets at least {least:d} replies")
def _(context: Context, least: int) -> None:
    for replies in context.pacing.replies.values():
        assert len(replies) >= least, len(replies)


@then("these extra delays apply in elections")
def _(context: Context) -> None:
    for row in context.table:
        delay_ms = election_delay_s(float(row["cores"])) * 1000
        assert abs(delay_ms - int(row["delay ms"])) < 1, delay_ms

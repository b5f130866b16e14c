"""Steps for entries of other writers among those of the upstreams."""

import json
import random
import re
from dataclasses import replace
from typing import Any

import eliot
from behave import given, then, when
from behave.runner import Context
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from foxtailshunt.admission import Call, QueueEntry, SlotPool
from foxtailshunt.assigning import UpstreamReader
from foxtailshunt.fleet import FleetView, Upstream
from foxtailshunt.http import format_request
from foxtailshunt.node import apply_reply, build_reply
from foxtailshunt.platform import (
    StoreChange,
    StoreItem,
    decode_upstream,
    upstream_request_headers,
)
from foxtailshunt.protocol import FollowReply
from foxtailshunt.upstreams import LatencyEstimator

_ENTRY: dict[str, Any] = {
    "service": "one",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left": "1500ms",
    "seq": 4,
    "born": 1_786_088_844_109,
}
_AT_LIMITS: dict[str, Any] = {
    "service": "s" * 200,
    "address": "255.255.255.254:65535",
    "zone": "z" * 200,
    "slots": 10_000,
    "warmup_left": "3600s",
    "born": 253_402_300_799_999,
}
_ODD_ID = "odd"
_REPEATED = re.compile(r"\{(.)\*(\d+)\}")
_ODD_VALUES = (
    "null", "true", "-1", "0", "1e999", "-0.0", "1e3", "9" * 19, "9" * 400, "9" * 5000, '""',
    '"\\u0000"', '"\\ud800"', '"٣"', '"9e9s"', f'"{"9" * 400}s"', '"0.0.0.0:1"', '"1.2.3.4:65536"',
    '"1.2.3.4:٣"', "[" * 300 + "]" * 300, "{}", '{"a":1}', f'"{"x" * 5000}"', '"draining"', "7",
)  # fmt: skip


class ListedStore:
    """A store that holds fixed entries."""

    def __init__(self, entries: dict[str, bytes]) -> None:
        self._items = [StoreItem(key, value, 1, 0) for key, value in entries.items()]

    def list_items(self, prefix: str, stale: bool, timeout_s: float) -> tuple[list[StoreItem], int]:
        return self._items, 1

    def watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[StoreChange], int]:
        return [StoreChange(item.key, item) for item in self._items], after


class OddEntrySubject:
    """A leader that reads entries from a store, and its follower."""

    def __init__(self, odd_id: str, odd_entry: bytes) -> None:
        valid = json.dumps(_ENTRY).encode()
        self.odd_key = f"servers/{odd_id}"
        entries = {"servers/u1": valid, self.odd_key: odd_entry, "servers/u2": valid}
        self._leader = FleetView(lambda: 100.0)
        self._leader.begin_term(1)
        self._reader = UpstreamReader(ListedStore(entries), lambda: 100.0, self._leader)
        self.follower = FleetView(lambda: 100.0)
        self.logged: list[dict[str, Any]] = []

    def read(self, times: int) -> None:
        eliot.add_destinations(self.logged.append)
        try:
            for _time in range(times):
                upstreams = self._reader.poll()
        finally:
            eliot.remove_destination(self.logged.append)
        self._leader.update_upstreams(1, 1, upstreams, 0.0)

    def poll(self) -> None:
        _transmit(self._leader, self.follower)


class EntryMutator:
    """Changes a valid entry at random."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)

    def mutate(self) -> bytes:
        fields = {name: json.dumps(value) for name, value in _ENTRY.items()}
        for _change in range(self._rng.randint(0, 2)):
            fields[self._rng.choice([*fields, "other"])] = self._rng.choice(_ODD_VALUES)
        if self._rng.random() < 0.1:
            del fields[self._rng.choice(list(fields))]
        text = ",".join(f'"{name}":{value}' for name, value in fields.items())
        entry = bytearray(f"{{{text}}}".encode())
        for _change in range(self._rng.choice((0, 0, 1, 3))):
            at = self._rng.randrange(len(entry))
            entry[at : at + self._rng.randint(0, 2)] = self._rng.randbytes(self._rng.randint(0, 2))
        return bytes(entry)


def _transmit(leader: FleetView, follower: FleetView) -> None:
    factory = TCompactProtocolAcceleratedFactory()
    known = follower.versions
    sent = serialize(build_reply(leader, known, True, True), factory)
    apply_reply(follower, deserialize(FollowReply(), sent, factory), known)


def _queue_request(upstreams: list[Upstream]) -> None:
    pool = SlotPool(LatencyEstimator(), "a")
    pool.set_upstreams(upstreams)
    call = Call("r1", "one", None, None, "GET", "/", (), b"", 110.0, 105.0, 0, "route")
    entry = QueueEntry(call, lambda: None, 100.0)
    if pool.enqueue(entry, 100.0) is None:
        pool.assign(100.0)


def _expand(text: str) -> str:
    return _REPEATED.sub(lambda match: match[1] * int(match[2]), text)


def _subject(context: Context) -> OddEntrySubject:
    return context.odd_entry


@given("the entries of 2 upstreams and one in which {part} is {value}")
def _(context: Context, part: str, value: str) -> None:
    fields = {name: json.dumps(item) for name, item in _ENTRY.items()} | {part: _expand(value)}
    text = ",".join(f'"{name}":{item}' for name, item in fields.items())
    context.odd_entry = OddEntrySubject(_ODD_ID, f"{{{text}}}".encode())


@given("the entries of 2 upstreams and one whose id is {text}")
def _(context: Context, text: str) -> None:
    context.odd_entry = OddEntrySubject(json.loads(_expand(text)), json.dumps(_ENTRY).encode())


@given("the entries of 2 upstreams and one at all limits")
def _(context: Context) -> None:
    context.odd_entry = OddEntrySubject("i" * 192, json.dumps(_ENTRY | _AT_LIMITS).encode())


@when("the leader reads the entries {times:d} times and a follower polls it")
def _(context: Context, times: int) -> None:
    _subject(context).read(times)
    _subject(context).poll()


@then("the follower knows exactly the 2 upstreams")
def _(context: Context) -> None:
    known = _subject(context).follower.upstreams
    assert sorted(known) == ["u1", "u2"], [str(item)[:200] for item in known.values()]


@then("the follower knows all 3 upstreams")
def _(context: Context) -> None:
    known = _subject(context).follower.upstreams
    assert len(known) == 3, list(known)
    odd = known["i" * 192]
    assert (odd.slots, odd.warmup_s) == (10_000, 3600.0), odd
    assert odd.started_ms == _AT_LIMITS["born"], odd


@then("a request can be queued for the upstreams of the follower")
def _(context: Context) -> None:
    _queue_request(list(_subject(context).follower.upstreams.values()))


@then("the log names the odd entry once, in at most {most:d} characters")
def _(context: Context, most: int) -> None:
    lines = [
        item for item in _subject(context).logged if item["message_type"] == "upstream.unreadable"
    ]
    assert [item["key"] for item in lines] == [_subject(context).odd_key], lines
    assert len(lines[0]["reason"]) <= most, len(lines[0]["reason"])


@then("each of {count:d} random changes with seed {seed:d} is rejected or reaches a follower")
def _(context: Context, count: int, seed: int) -> None:
    mutator = EntryMutator(seed)
    accepted = 0
    for _change in range(count):
        entry = mutator.mutate()
        try:
            upstream = decode_upstream("servers/u1", entry)
        except ValueError:
            continue
        accepted += 1
        leader, follower = FleetView(lambda: 100.0), FleetView(lambda: 100.0)
        leader.begin_term(1)
        leader.update_upstreams(1, 1, {"u1": upstream}, 0.0)
        try:
            _transmit(leader, follower)
            _queue_request([upstream])
            format_request("GET", "/", upstream_request_headers((), "r1", 7, "u1", 1.0), b"")
        except Exception as exc:
            raise AssertionError(f"{type(exc).__name__}: {exc}: {entry[:300]!r}") from exc
        # The peer protocol carries whole milliseconds.
        received = replace(follower.upstreams["u1"], warmup_s=upstream.warmup_s)
        assert received == upstream, (entry[:300], received)
    assert count // 10 < accepted < count, accepted

"""Steps for what a node knows of the warm-up of upstreams."""

import json
import re
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import eliot
from behave import given, then, when
from behave.runner import Context

from features.cold_support import UNIX_START, cold_service, upstream
from features.scripted_upstream import ScriptedUpstream, SenderSubject, scripted_answer
from foxtailshunt.errors import Family
from foxtailshunt.fleet import Upstream
from foxtailshunt.node import NodeSettings, load_node_settings
from foxtailshunt.platform import decode_configuration
from foxtailshunt.relay import ColdUpstreams, Outcome
from foxtailshunt.upstreams import ColdBound, StartLimiter, WarmupStates

_TEMPLATE = Path("deploy/node.json")
_WARMUP_S = 3.0
_TOLERANCE_S = 1e-6
_CONFIGURATION: dict[str, Any] = {
    "version": "r7",
    "routes": {},
    "services": {"one": {"sharded": True, "warmup": "2s", "warmup_per_s": 5.6}},
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000,
        "header_timeout": "3000ms",
        "idle_timeout": "15s",
    },
}


class WarmupSubject:
    """The warm-up states of a node in virtual time."""

    def __init__(self, first: str) -> None:
        self.now = 1000.0
        self.states = WarmupStates()
        self.target = self._first_upstream(first)
        self._observe({} if first == "missing" else {"u1": self.target})

    @staticmethod
    def _first_upstream(first: str) -> Upstream:
        fields: dict[str, Any] = {}
        if left := re.search(r"with ([\d.]+) s left", first):
            fields["warmup_s"] = float(left[1])
        if born := re.search(r"born (\d+) s (ago|ahead)", first):
            sign = -1 if born[2] == "ago" else 1
            fields["started_ms"] = int((UNIX_START + sign * int(born[1])) * 1000)
        if "unknown" in first:
            fields["started_ms"] = 0
        return upstream(**fields)

    def _observe(self, listed: dict[str, Upstream]) -> None:
        self.states.observe(listed, self.now, 0.0)

    def let(self, event: str) -> None:
        """Apply an event of the table, given as its parts."""
        for part in re.split(r", | and ", event):
            self._apply(part)

    def _apply(self, part: str) -> None:
        seconds = re.search(r"([\d.]+) s", part)
        if part == "nothing happens":
            return
        if part.endswith("s pass"):
            self.now += float(seconds[1])
        elif "another start" in part:
            self._list(started_ms=self.target.started_ms + 1)
        elif "another address" in part:
            self._list(address=("10.0.0.2", 80))
        elif "is listed with" in part:
            self._list(warmup_s=float(seconds[1]))
        elif "missing for" in part:
            self._observe({})
            self.now += float(seconds[1])
        elif "another upstream joins" in part:
            self._observe({"u1": self.target, "u2": upstream("u2")})
        elif "listed" in part:
            self.now += float(seconds[1]) if seconds and "later" in part else 0.0
            born = int((UNIX_START - 60) * 1000) if "born" in part else self.target.started_ms
            self._list(started_ms=born)
        elif "refuses" in part:
            self.states.record_refusal(self.target, self.now)
        elif "responds" in part:
            left_s = float(seconds[1]) if seconds else 0.0
            self.states.record_response(self.target, left_s, self.now)
        elif "evacuation" in part:
            self.states.record_evacuation_end("zone-b" if "another" in part else "zone-a", self.now)
        else:
            raise AssertionError(f"unknown event {part!r}")

    def _list(self, **fields: object) -> None:
        self.target = replace(self.target, **fields)
        self._observe({"u1": self.target})

    def cold_for_s(self) -> float:
        return max(0.0, self.states.warm_at(self.target, _WARMUP_S, self.now) - self.now)


@given("an upstream that is {first} in a node's first list, with a warm-up of 3 s")
def _(context: Context, first: str) -> None:
    context.warmup = WarmupSubject(first)


@when("this happens: {event}")
def _(context: Context, event: str) -> None:
    context.warmup.let(event)


@then("the upstream is warm")
def _(context: Context) -> None:
    assert context.warmup.cold_for_s() == 0, context.warmup.cold_for_s()


@then("the upstream is cold for {seconds:g} s")
def _(context: Context, seconds: float) -> None:
    found = context.warmup.cold_for_s()
    assert abs(found - seconds) < _TOLERANCE_S, found


class ColdSenderSubject:
    """A sender of a service with a limit, in front of a scripted upstream that owns the key."""

    def __init__(self, is_sender: bool) -> None:
        self._address: tuple[str, int] | None = None
        self.header = ""
        self.server = ScriptedUpstream(self._answer, closes=False)
        service = cold_service(5.0, _WARMUP_S)
        self.states = WarmupStates()
        limiter = StartLimiter(
            self.states, lambda _name: service, lambda _upstream: is_sender, ColdBound()
        )
        self.sender = SenderSubject(
            {"u1": self.server}, slots=4, owner="u1", warmups=ColdUpstreams(self.states, limiter)
        )
        self.states.observe(self.sender.upstreams, time.monotonic(), 0.0)
        self.outcomes: list[Outcome] = []
        self.logged: list[dict[str, Any]] = []

    def _answer(self, head: bytes, number: int, total: int) -> Iterator[bytes]:
        yield scripted_answer(head, "200 OK", self.header)

    def send(self, count: int, timeout_s: float) -> None:
        with ThreadPoolExecutor(count) as executor:
            calls = [
                executor.submit(self.sender.send, f"r{number}", timeout_s)
                for number in range(count)
            ]
            self.outcomes = [call.result() for call in calls]

    def send_logged(self, count: int) -> None:
        eliot.add_destinations(self.logged.append)
        try:
            self.outcomes = [self.sender.send(f"r{number}", 30.0) for number in range(count)]
        finally:
            eliot.remove_destination(self.logged.append)


def _sender(context: Context) -> ColdSenderSubject:
    return context.cold_sender


@given("a sender of a cold service with the scripted upstream u1 whose sender {who}")
def _(context: Context, who: str) -> None:
    context.cold_sender = ColdSenderSubject(who == "it is")
    context.add_cleanup(context.cold_sender.server.close)


@given("u1 has terminated")
def _(context: Context) -> None:
    _sender(context).server.stop_listening()


@given("u1 responds with the header {header}")
def _(context: Context, header: str) -> None:
    _sender(context).header = header


@when("a request for its key is sent")
def _(context: Context) -> None:
    _sender(context).send(1, 30.0)


@when("u1 runs again and {duration:d} ms pass")
def _(context: Context, duration: int) -> None:
    _sender(context).server.listen_again()
    time.sleep(duration / 1000)


@when("{count:d} requests for its key are sent at once that have {deadline:d} ms")
def _(context: Context, count: int, deadline: int) -> None:
    _sender(context).send(count, deadline / 1000)


@when("{count:d} requests for its key are sent one by one")
def _(context: Context, count: int) -> None:
    _sender(context).send_logged(count)


@then("at most {most:d} requests have arrived at u1")
def _(context: Context, most: int) -> None:
    assert len(_sender(context).server.requests) <= most, len(_sender(context).server.requests)


@then("the others were refused as not run with a Retry-After time of at most {seconds:d} s")
def _(context: Context, seconds: int) -> None:
    refused = [item for item in _sender(context).outcomes if not item.arrived]
    assert refused, _sender(context).outcomes
    for outcome in refused:
        assert outcome.family is Family.NOT_RUN, outcome
        assert 0 < outcome.retry_after_s <= seconds, outcome


@then("{count:d} requests have arrived at u1 and were answered")
def _(context: Context, count: int) -> None:
    subject = _sender(context)
    assert len(subject.server.requests) == count, len(subject.server.requests)
    assert all(item.status == 200 for item in subject.outcomes), subject.outcomes


@then("the log names the malformed header {times:w}")
def _(context: Context, times: str) -> None:
    found = [
        line
        for line in _sender(context).logged
        if line["message_type"] == "upstream.header_ignored"
    ]
    assert len(found) == (1 if times == "once" else 0), found


@when("a configuration is decoded in which services.one.{field} is {value}")
def _(context: Context, field: str, value: str) -> None:
    document = json.dumps(_CONFIGURATION)
    previous = json.dumps({field: _CONFIGURATION["services"]["one"][field]})[1:-1]
    assert previous in document
    changed = document.replace(previous, f'"{field}": {value}')
    context.routes = decode_configuration(changed.encode())


@then("the service has a rate of {rate:g} and a warm-up of {warmup:g} s")
def _(context: Context, rate: float, warmup: float) -> None:
    service = context.routes.services["one"]
    assert (service.warmup_rate, service.warmup_s) == (rate, warmup), service


@then("{count:d} value of the configuration is reported as ignored")
def _(context: Context, count: int) -> None:
    assert len(context.routes.ignored_values) == count, context.routes.ignored_values
    assert all(len(item) <= 200 for item in context.routes.ignored_values)


#: Values that the platform fills in, by their names in the template.
_PLATFORM_VALUES: dict[str, Any] = {
    "node_name": "n0",
    "zone": "zone-a",
    "ip": "10.0.0.1",
    "listen.front": "10.0.0.1:1",
    "listen.ready": "10.0.0.1:2",
    "port_range.0": 9000,
    "provider.address": "10.0.0.2:1",
    "bounds.grace": "6s",
    "limits.cpu_share": 1.0,
    "limits.cores": 1.0,
    "bounds.retry_budget_ratio": 0.2,
    "bounds.budget_slack": 60,
}


def _render(template: str, values: dict[str, Any]) -> str:
    """Render a template as the platform does.

    A section is rendered for each entry of a list or table, else once if the value is present; an
    inverted section is rendered if it is not.
    """

    def section(match: re.Match) -> str:
        found = values.get(match[2])
        is_present = found is not None and found is not False
        if match[1] == "^":
            return "" if is_present else match[3]
        return match[3] * (len(found) if isinstance(found, list | dict) else int(is_present))

    def value(match: re.Match) -> str:
        found = values.get(match[1])
        if found is None:
            return ""
        return json.dumps(found) if match[2] else str(found)

    without_sections = re.sub(
        r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, without_sections)


def _load(context: Context, values: dict[str, Any]) -> NodeSettings:
    path = Path(context.settings_folder) / "node.json"
    path.write_text(_render(_TEMPLATE.read_text(encoding="utf-8"), values), encoding="utf-8")
    return load_node_settings(path)


@then("the settings template gives valid settings without the bounds of cold upstreams")
def _(context: Context) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.settings_folder = folder.name
    settings = _load(context, _PLATFORM_VALUES)
    assert (settings.cold_rate_ratio, settings.cold_reserve) == (None, None), settings


@then("with limits of {memory:d} MB and {fds:d} descriptors gives both, and without them neither")
def _(context: Context, memory: int, fds: int) -> None:
    limits = {"limits.memory_mb": memory, "limits.max_fds": fds}
    settings = _load(context, _PLATFORM_VALUES | limits)
    assert (settings.memory_mb, settings.max_fds) == (memory, fds), settings
    settings = _load(context, _PLATFORM_VALUES)
    assert (settings.memory_mb, settings.max_fds) == (None, None), settings


@then("with a region {region} and zones {zones} gives the region {expected:w} of zone-a")
def _(context: Context, region: str, zones: str, expected: str) -> None:
    settings = _load(context, _PLATFORM_VALUES | {"region": region, "zones": json.loads(zones)})
    assert settings.region == region, settings
    assert settings.zone_regions.get("zone-a", "none") == expected, settings


@then("with them gives a ratio of {ratio:g} and a reserve of {reserve:g}")
def _(context: Context, ratio: float, reserve: float) -> None:
    bounds = {"bounds.warmup_over": ratio, "bounds.warmup_slack": reserve}
    settings = _load(context, _PLATFORM_VALUES | bounds)
    assert (settings.cold_rate_ratio, settings.cold_reserve) == (ratio, reserve), settings

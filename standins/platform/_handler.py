"""The platform's HTTP calls."""

import base64
import json
import re
import time
from collections.abc import Callable

from standins.http import Answer, DroppedAnswer, Request, SilentAnswer, WholeAnswer, json_answer
from standins.platform._counts import WRITES, CallCounts, CallKind
from standins.platform._faults import Faults, Outage
from standins.platform._instances import InstanceList, ListedInstance
from standins.platform._limits import RateLimit
from standins.platform._store import KvEntry, KvStore

_KV_PREFIX = "/v1/kv/"
_MAX_VALUE_BYTES = 1_000_000
_DEFAULT_WAIT_S = 300.0
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m)")
_UNIT_S = {"ms": 0.001, "s": 1.0, "m": 60.0}
_KEY_WRITES = (CallKind.CAS, CallKind.ACQUIRE)


class PlatformHandler:
    """Answers the platform's calls, and those that control the stand-in.

    :param store: keys and sessions.
    :param instances: the list of instances.
    :param write_limit: limit on writes.
    :param read_limit: limit on reads, a waiting one counted once.
    :param reset_withheld: resets the connections that an outage left without an answer.
    """

    def __init__(
        self,
        store: KvStore,
        instances: InstanceList,
        write_limit: RateLimit,
        read_limit: RateLimit,
        reset_withheld: Callable[[], None],
    ) -> None:
        self._store = store
        self._instances = instances
        self._write_limit = write_limit
        self._read_limit = read_limit
        self._reset_withheld = reset_withheld
        self._faults = Faults()
        self._counts = CallCounts()

    def __call__(self, req: Request) -> Answer:
        """Answer one request.

        :param req: the request.
        """
        try:
            if req.path.startswith("/standin/"):
                return self._control(req)
            return self._call(req)
        except (ValueError, KeyError, TypeError) as exc:
            return json_answer(400, {"error": str(exc)})

    def _control(self, req: Request) -> Answer:
        if req.path == "/standin/counts":
            return json_answer(200, self._counts.snapshot())
        if req.path == "/standin/faults" and req.method == "PUT":
            self._faults.put(req.json_body())
            self._reset_withheld()
            return json_answer(200, True)
        if req.path == "/standin/instances" and req.method == "PUT":
            self._instances.put(_listed_instances(req.body))
            return json_answer(200, True)
        return json_answer(404, {"error": "no such control"})

    def _call(self, req: Request) -> Answer:
        kind = _kind_of(req)
        if kind is None:
            return json_answer(404, {"error": "no such call"})
        self._counts.count(kind)
        failure = self._failure(req)
        if failure is not None:
            return failure
        time.sleep(self._faults.delay_s)
        limit = self._write_limit if kind in WRITES else self._read_limit
        if not limit.take():
            self._counts.count_limited()
            return json_answer(429, {"error": "over the limit"})
        answer = self._perform(kind, req)
        written = kind in _KEY_WRITES and answer.status == 200
        if written and self._faults.takes_answer(req.path.removeprefix(_KV_PREFIX)):
            return DroppedAnswer()
        return self._failure(req) or answer

    def _failure(self, req: Request) -> Answer | None:
        outage = self._faults.outage_for(req.caller_ip)
        if outage is Outage.REFUSE_503:
            return json_answer(503, {"error": "outage"})
        if outage is Outage.HANG:
            return SilentAnswer()
        return None

    def _perform(self, kind: CallKind, req: Request) -> WholeAnswer:
        if kind is CallKind.LIST:
            return json_answer(200, [_node(instance) for instance in self._instances.visible()])
        if kind in (CallKind.READ, CallKind.WATCH):
            return self._read(kind, req)
        if kind in _KEY_WRITES:
            return self._write(kind, req)
        return self._session(kind, req)

    def _read(self, kind: CallKind, req: Request) -> WholeAnswer:
        key = req.path.removeprefix(_KV_PREFIX)
        if kind is CallKind.READ:
            return self._entry_answer(key, self._store.read(key))
        index = int(req.query_value("index") or 0)
        wait = req.query_value("wait")
        wait_s = _seconds(wait) if wait else _DEFAULT_WAIT_S
        return self._entry_answer(key, self._store.wait(key, index, wait_s))

    def _entry_answer(self, key: str, entry: KvEntry | None) -> WholeAnswer:
        if entry is None:
            headers = (("X-Consul-Index", str(max(self._store.index, 1))),)
            return WholeAnswer(404, b"", headers)
        value = {
            "Key": key,
            "Value": base64.b64encode(entry.value).decode(),
            "ModifyIndex": entry.modify_index,
        }
        if entry.session_id is not None:
            value["Session"] = entry.session_id
        headers = (("X-Consul-Index", str(entry.modify_index)),)
        return json_answer(200, [value], headers)

    def _write(self, kind: CallKind, req: Request) -> WholeAnswer:
        key = req.path.removeprefix(_KV_PREFIX)
        if len(req.body) > _MAX_VALUE_BYTES:
            return json_answer(413, {"error": f"value over {_MAX_VALUE_BYTES} bytes"})
        if kind is CallKind.CAS:
            index = int(req.query_value("cas") or 0)
            return json_answer(200, self._store.compare_and_swap(key, req.body, index))
        session_id = req.query_value("acquire") or ""
        return json_answer(200, self._store.acquire(key, req.body, session_id))

    def _session(self, kind: CallKind, req: Request) -> WholeAnswer:
        if kind is CallKind.SESSION_CREATE:
            session_id = self._store.create_session(_seconds(req.json_body()["TTL"]))
            return json_answer(200, {"ID": session_id})
        session_id = req.path.rpartition("/")[2]
        if kind is CallKind.SESSION_DESTROY:
            self._store.destroy_session(session_id)
            return json_answer(200, True)
        if self._store.renew_session(session_id):
            return json_answer(200, [{"ID": session_id}])
        return json_answer(404, {"error": "no such session"})


def _kind_of(req: Request) -> CallKind | None:
    if req.path.startswith(_KV_PREFIX):
        return _kv_kind_of(req)
    if req.method == "GET":
        return CallKind.LIST if req.path == "/v1/catalog/nodes" else None
    if req.path == "/v1/session/create":
        return CallKind.SESSION_CREATE
    if req.path.startswith("/v1/session/renew/"):
        return CallKind.SESSION_RENEW
    if req.path.startswith("/v1/session/destroy/"):
        return CallKind.SESSION_DESTROY
    return None


def _kv_kind_of(req: Request) -> CallKind | None:
    if req.method == "GET":
        return CallKind.READ if req.query_value("index") is None else CallKind.WATCH
    if req.method == "PUT" and req.query_value("cas") is not None:
        return CallKind.CAS
    if req.method == "PUT" and req.query_value("acquire") is not None:
        return CallKind.ACQUIRE
    return None


def _seconds(text: str) -> float:
    match = _DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f"'{text}' is no duration such as 1.0s or 250ms")
    return float(match[1]) * _UNIT_S[match[2]]


def _listed_instances(body: bytes) -> tuple[ListedInstance, ...]:
    return tuple(ListedInstance(item["Node"], item["state"]) for item in json.loads(body))


def _node(instance: ListedInstance) -> dict[str, object]:
    return {"Node": instance.name, "Meta": {"state": instance.state}}
